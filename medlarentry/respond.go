package medlarentry

import (
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"medlarwheel"
)

// respond writes the answer to the caller. The call is nil when the request could not be read.
func (d *Daemon) respond(ctx *fasthttp.RequestCtx, c *call, a *callResult) {
	if a.refusal != nil {
		writeRefusal(ctx, *a.refusal)
	} else {
		writeResponse(ctx, a)
	}
	d.recordResult(c, a)
}

func writeResponse(ctx *fasthttp.RequestCtx, a *callResult) {
	ctx.SetStatusCode(a.status)
	for _, field := range a.headers {
		ctx.Response.Header.Add(field.name, field.value)
	}
	ctx.Response.Header.Set(HeaderOutcome, string(medlarwheel.OutcomeDone))
	ctx.SetBody(a.body)
}

func writeRefusal(ctx *fasthttp.RequestCtx, r medlarwheel.Refusal) {
	ctx.SetStatusCode(refusalStatusCode(r))
	header := &ctx.Response.Header
	header.Set(HeaderOutcome, string(r.Outcome))
	header.Set(HeaderReason, string(r.Reason))
	if r.RetryAfter > 0 {
		header.Set(HeaderRetryAfter, r.RetryAfter.String())
		header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(roundUpSeconds(r.RetryAfter)))
	}
}

func refusalStatusCode(r medlarwheel.Refusal) int {
	switch {
	case r.Outcome == medlarwheel.OutcomeUnknown:
		return fasthttp.StatusGatewayTimeout
	case r.Reason == medlarwheel.ReasonBadRequest:
		return fasthttp.StatusBadRequest
	case r.Reason == medlarwheel.ReasonUnknownTemplate:
		return fasthttp.StatusNotFound
	case r.Reason == medlarwheel.ReasonQuota:
		return fasthttp.StatusTooManyRequests
	default:
		return fasthttp.StatusServiceUnavailable
	}
}

func encodeFaults(faults medlarwheel.Faults) []byte {
	data, err := json.Marshal(struct {
		Faults medlarwheel.Faults `json:"faults"`
	}{faults})
	if err != nil {
		return nil
	}
	return data
}
