package medlaragent

import (
	"context"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"medlarwheel"
	"medlarwheel/medlaragentapi"
	"medlarwheel/standin/medlarprocess"
)

// Handle serves one request. The calls for the history and the faults are not blocked while the agent is frozen.
func (a *Agent) Handle(ctx *fasthttp.RequestCtx) {
	route := string(ctx.Method()) + " " + string(ctx.Path())
	switch route {
	case "GET /v1/history":
		medlarprocess.WriteJSON(ctx, fasthttp.StatusOK, a.History())
		return
	case "POST /v1/faults":
		f, err := medlarwheel.Decode[Faults](ctx.PostBody())
		if err != nil {
			medlarprocess.WriteError(ctx, fasthttp.StatusBadRequest, err)
			return
		}
		a.SetFaults(f)
		return
	}
	a.waitWhileFrozen(ctx.Done())
	switch route {
	case "POST /v1/tasks/start":
		handleCommand(ctx, func(r medlaragentapi.StartRequest) (any, error) { return a.Start(commandContext, r) })
	case "POST /v1/tasks/checkpoint":
		handleCommand(ctx, func(r medlaragentapi.CheckpointRequest) (any, error) { return a.Checkpoint(commandContext, r) })
	case "POST /v1/tasks/renew":
		handleCommand(ctx, func(r medlaragentapi.RenewRequest) (response any, err error) {
			a.withMachine(func(m *machine) { response, err = m.renew(r) })
			return response, err
		})
	case "POST /v1/tasks/throttle":
		handleCommand(ctx, func(r medlaragentapi.ThrottleRequest) (response any, err error) {
			a.withMachine(func(m *machine) { response, err = m.throttle(r) })
			return response, err
		})
	case "POST /v1/tasks/stop":
		handleCommand(ctx, func(r medlaragentapi.StopRequest) (response any, err error) {
			a.withMachine(func(m *machine) { response, err = m.stop(r) })
			return response, err
		})
	case "GET /v1/tasks":
		medlarprocess.WriteJSON(ctx, fasthttp.StatusOK, a.Tasks())
	case "GET /v1/usage":
		var report medlaragentapi.UsageReport
		a.withMachine(func(m *machine) { report = m.usageReport() })
		medlarprocess.WriteJSON(ctx, fasthttp.StatusOK, report)
	default:
		ctx.Error("no such path and method", fasthttp.StatusNotFound)
	}
}

// commandContext is never cancelled, so that a command in progress completes during a shutdown of the server. Accesses to
// the object store have timeouts.
var commandContext = context.Background()

// handleCommand decodes a request, calls run with it and writes the response.
func handleCommand[T any, P interface {
	*T
	Check() medlarwheel.Faults
}](ctx *fasthttp.RequestCtx, run func(T) (any, error)) {
	r, err := medlarwheel.Decode[T, P](ctx.PostBody())
	if err != nil {
		medlarprocess.WriteError(ctx, fasthttp.StatusBadRequest, err)
		return
	}
	response, err := run(r)
	var refused *medlaragentapi.RefusedError
	switch {
	case errors.As(err, &refused):
		medlarprocess.WriteJSON(ctx, fasthttp.StatusConflict, refused)
	case err != nil:
		medlarprocess.WriteError(ctx, fasthttp.StatusInternalServerError, err)
	default:
		medlarprocess.WriteJSON(ctx, fasthttp.StatusOK, response)
	}
}
