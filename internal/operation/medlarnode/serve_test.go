package medlarnode

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"medlarwheel/internal/acceptance/medlargroupcommit"
	"medlarwheel/internal/acceptance/medlarroute"
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

// TestInstanceWithoutTableIsNotReady guards against clients that stay with an instance of a data centre that is cut off from
// the table for most of the cut, and against instances that leave the load balancer because of one failed call.
func TestInstanceWithoutTableIsNotReady(t *testing.T) {
	clock := &stepClock{now: time.Unix(1000, 0), steps: []time.Duration{0}}
	n := &Node{
		clock: clock, health: medlargroupcommit.NewTableHealth(clock),
		config: Config{ReadyMaxTableAge: 2 * time.Second, ReadyMaxFailedAge: 700 * time.Millisecond},
	}
	n.routes.Store(&medlarroute.Table{})
	n.health.Report(true)
	if !n.IsReady() {
		t.Error("not ready just after a response of the table")
	}
	clock.now = clock.now.Add(300 * time.Millisecond)
	n.health.Report(false)
	if !n.IsReady() {
		t.Error("not ready just after one failed call")
	}
	clock.now = clock.now.Add(500 * time.Millisecond)
	if n.IsReady() {
		t.Error("ready 800 ms after the last response, with a failed call since")
	}
	n.health.Report(true)
	if !n.IsReady() {
		t.Error("not ready after the table has responded again")
	}
	n.stopping.Store(true)
	if n.IsReady() {
		t.Error("ready while stopping")
	}
}
