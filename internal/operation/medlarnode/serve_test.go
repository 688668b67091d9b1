package medlarnode

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"medlarwheel/internal/operation/medlarmetrics"
)

// TestHandlerPanicReturnsGatewayTimeout guards against a panic in one request that ends the process, and against a
// response that says the request was refused although it may have had an effect.
func TestHandlerPanicReturnsGatewayTimeout(t *testing.T) {
	n := &Node{log: zerolog.Nop(), meter: medlarmetrics.New()}
	handler := n.recoverPanics("test", func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyString("half an answer")
		panic("unexpected")
	})
	var ctx fasthttp.RequestCtx
	handler(&ctx)
	if got := ctx.Response.StatusCode(); got != fasthttp.StatusGatewayTimeout || len(ctx.Response.Body()) > 0 {
		t.Errorf("got status %d with body %q, want 504 without a body", got, ctx.Response.Body())
	}
}
