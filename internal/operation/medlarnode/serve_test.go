package medlarnode

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"medlarwheel/internal/operation/medlarmetrics"
)

// TestHandlerPanicReturnsGatewayTimeout guards against an instance that ends with one request, and against an answer that says
// that such a request was refused: it may have had an effect.
func TestHandlerPanicReturnsGatewayTimeout(t *testing.T) {
	n := &Node{log: zerolog.Nop(), meter: medlarmetrics.New()}
	handler := n.recoverPanics("test", func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyString("half an answer")
		panic("unexpected")
	})
	var ctx fasthttp.RequestCtx
	handler(&ctx)
	if got := ctx.Response.StatusCode(); got != fasthttp.StatusGatewayTimeout || len(ctx.Response.Body()) > 0 {
		t.Errorf("status %d with body %q", got, ctx.Response.Body())
	}
}
