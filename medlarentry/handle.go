package medlarentry

import (
	"strings"

	"github.com/valyala/fasthttp"

	"medlarwheel/medlaroperator"
)

// handle serves one request on the port for clients and operators.
func (d *Daemon) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case strings.HasPrefix(path, CallPrefix):
		d.handleCall(ctx)
	case path == medlaroperator.PathHealth:
		ctx.SetBodyString("ok")
	case path == medlaroperator.PathReady:
		d.handleReady(ctx)
	default:
		d.handleOperator(ctx)
	}
}

// handleReady responds to the readiness probe of the load balancer. An instance is ready if it has a configuration and is
// not shutting down.
func (d *Daemon) handleReady(ctx *fasthttp.RequestCtx) {
	if d.ready.Load() {
		ctx.SetBodyString("ready")
		return
	}
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString("not ready")
}
