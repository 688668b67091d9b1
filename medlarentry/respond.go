package medlarentry

import (
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"medlarwheel"
)

// respond writes the response to the client. The call is nil if the request could not be parsed.
func (d *Daemon) respond(ctx *fasthttp.RequestCtx, c *call, result *callResult) {
	if result.refusal != nil {
		writeRefusal(ctx, *result.refusal)
	} else {
		writeResponse(ctx, result)
	}
	d.recordResult(c, result)
}

func writeResponse(ctx *fasthttp.RequestCtx, result *callResult) {
	ctx.SetStatusCode(result.status)
	for _, field := range result.headers {
		ctx.Response.Header.Add(field.name, field.value)
	}
	ctx.Response.Header.Set(HeaderOutcome, string(medlarwheel.OutcomeDone))
	ctx.SetBody(result.body)
}

func writeRefusal(ctx *fasthttp.RequestCtx, refusal medlarwheel.Refusal) {
	ctx.SetStatusCode(refusalStatusCode(refusal))
	header := &ctx.Response.Header
	header.Set(HeaderOutcome, string(refusal.Outcome))
	header.Set(HeaderReason, string(refusal.Reason))
	if refusal.RetryAfter > 0 {
		header.Set(HeaderRetryAfter, refusal.RetryAfter.String())
		header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(roundUpSeconds(refusal.RetryAfter)))
	}
}

func refusalStatusCode(refusal medlarwheel.Refusal) int {
	switch {
	case refusal.Outcome == medlarwheel.OutcomeUnknown:
		return fasthttp.StatusGatewayTimeout
	case refusal.Reason == medlarwheel.ReasonBadRequest:
		return fasthttp.StatusBadRequest
	case refusal.Reason == medlarwheel.ReasonUnknownTemplate:
		return fasthttp.StatusNotFound
	case refusal.Reason == medlarwheel.ReasonQuota:
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
