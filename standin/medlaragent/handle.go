package medlaragent

import (
	"context"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"medlarwheel"
	"medlarwheel/medlaragentapi"
	"medlarwheel/standin/medlarprocess"
)

// Handle answers one request. History and faults are exempt from a freeze.
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
		handleCommand(ctx, func(r medlaragentapi.RenewRequest) (answer any, err error) {
			a.withMachine(func(m *machine) { answer, err = m.renew(r) })
			return answer, err
		})
	case "POST /v1/tasks/throttle":
		handleCommand(ctx, func(r medlaragentapi.ThrottleRequest) (answer any, err error) {
			a.withMachine(func(m *machine) { answer, err = m.throttle(r) })
			return answer, err
		})
	case "POST /v1/tasks/stop":
		handleCommand(ctx, func(r medlaragentapi.StopRequest) (answer any, err error) {
			a.withMachine(func(m *machine) { answer, err = m.stop(r) })
			return answer, err
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

// commandContext lets a command that has begun finish during a stop of the server. Accesses to the store have time limits.
var commandContext = context.Background()

// handleCommand decodes a request, runs it and answers.
func handleCommand[T any, P interface {
	*T
	Check() medlarwheel.Faults
}](ctx *fasthttp.RequestCtx, run func(T) (any, error)) {
	r, err := medlarwheel.Decode[T, P](ctx.PostBody())
	if err != nil {
		medlarprocess.WriteError(ctx, fasthttp.StatusBadRequest, err)
		return
	}
	answer, err := run(r)
	var refused *medlaragentapi.RefusedError
	switch {
	case errors.As(err, &refused):
		medlarprocess.WriteJSON(ctx, fasthttp.StatusConflict, refused)
	case err != nil:
		medlarprocess.WriteError(ctx, fasthttp.StatusInternalServerError, err)
	default:
		medlarprocess.WriteJSON(ctx, fasthttp.StatusOK, answer)
	}
}
