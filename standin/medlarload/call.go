package medlarload

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"medlarwheel"
	"medlarwheel/standin/medlarrunner"
)

// Reasons that the generator finds itself.
const (
	reasonUnreachable   medlarwheel.Reason = "generator-unreachable"
	reasonTimeout       medlarwheel.Reason = "generator-timeout"
	reasonLost          medlarwheel.Reason = "generator-connection-lost"
	reasonNoOutcome     medlarwheel.Reason = "generator-no-outcome"
	reasonWrongResponse medlarwheel.Reason = "generator-wrong-answer"
	reasonBusy          medlarwheel.Reason = "generator-busy"
	// reasonStatus marks a complete answer of the upstream that is not a success.
	reasonStatus medlarwheel.Reason = "upstream-status"
)

// result is what a caller learns from one call.
type result struct {
	outcome    medlarwheel.Outcome
	reason     medlarwheel.Reason
	retryAfter time.Duration
	// upstream is the runner that answered.
	upstream medlarwheel.UpstreamID
	start    time.Time
	end      time.Time
}

// request is one request over all its calls.
type request struct {
	kind   *RequestKind
	key    medlarwheel.RequestKey
	nonce  string
	due    time.Time
	target int
}

// call sends a request to a target once. Attempt counts the calls of the request.
func (g *generator) call(r *request, target, attempt int) result {
	message, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(message)
	defer fasthttp.ReleaseResponse(response)
	message.Header.SetMethod(r.kind.Method)
	if r.kind.mutates() {
		message.SetBodyRaw(g.body)
	}
	if r.key != "" {
		message.Header.Set(medlarrunner.HeaderRequestKey, string(r.key))
	}
	address := g.config.Targets[target]
	if g.config.Direct {
		message.SetRequestURI("http://" + address + "/holds/" + r.nonce)
		message.Header.Set(medlarrunner.HeaderAttempt, r.nonce+"."+string(rune('a'+attempt)))
	} else {
		message.SetRequestURI("http://" + address + "/v1/call/" + string(r.kind.Template) + "/holds/" + r.nonce)
		message.Header.Set("Medlar-Client-Account", string(r.kind.Account))
		message.Header.Set("Medlar-Deadline", g.config.Deadline.String())
	}
	begin := time.Now()
	err := g.clients[target].DoTimeout(message, response, g.config.Deadline+g.config.Grace)
	result := g.classify(r, response, err)
	result.start, result.end = begin, time.Now()
	return result
}

// classify tells what a caller learns from a response or its absence.
func (g *generator) classify(r *request, response *fasthttp.Response, err error) result {
	var dial *dialError
	switch {
	case errors.As(err, &dial) || errors.Is(err, fasthttp.ErrDialTimeout):
		return result{outcome: medlarwheel.OutcomeNotRun, reason: reasonUnreachable}
	case errors.Is(err, fasthttp.ErrNoFreeConns):
		return result{outcome: medlarwheel.OutcomeNotRun, reason: reasonBusy}
	case errors.Is(err, fasthttp.ErrTimeout):
		return result{outcome: medlarwheel.OutcomeUnknown, reason: reasonTimeout}
	case err != nil:
		return result{outcome: medlarwheel.OutcomeUnknown, reason: reasonLost}
	}
	outcome, reason := g.reportedOutcome(response)
	out := result{outcome: outcome, reason: reason}
	if d, err := time.ParseDuration(string(response.Header.Peek("Medlar-Retry-After"))); err == nil {
		out.retryAfter = d
	}
	if outcome != medlarwheel.OutcomeDone {
		return out
	}
	if response.StatusCode() != fasthttp.StatusOK {
		out.reason = reasonStatus
		return out
	}
	if r.kind.Method == fasthttp.MethodHead {
		return out
	}
	var reply medlarrunner.Reply
	err = json.Unmarshal(response.Body(), &reply)
	rightKey := reply.Key == r.key || r.kind.Keys == KeysNone
	if err != nil || !rightKey || !strings.HasSuffix(reply.Path, "/"+r.nonce) || reply.BodyHash != g.bodyHash(r) {
		out.reason = reasonWrongResponse
	}
	out.upstream = reply.Upstream
	return out
}

// bodyHash returns the hash of the body that the runner must have seen.
func (g *generator) bodyHash(r *request) uint64 {
	if r.kind.mutates() {
		return xxhash.Sum64(g.body)
	}
	return xxhash.Sum64(nil)
}

// reportedOutcome returns the outcome that a complete response states.
func (g *generator) reportedOutcome(response *fasthttp.Response) (medlarwheel.Outcome, medlarwheel.Reason) {
	if g.config.Direct {
		switch {
		case response.StatusCode() == fasthttp.StatusOK:
			return medlarwheel.OutcomeDone, ""
		case string(response.Header.Peek(medlarrunner.HeaderNotRun)) == "true":
			return medlarwheel.OutcomeNotRun, medlarwheel.ReasonQueueFull
		}
		return medlarwheel.OutcomeUnknown, reasonNoOutcome
	}
	outcome := medlarwheel.Outcome(response.Header.Peek("Medlar-Outcome"))
	switch outcome {
	case medlarwheel.OutcomeDone, medlarwheel.OutcomeNotRun, medlarwheel.OutcomeUnknown:
		return outcome, medlarwheel.Reason(response.Header.Peek("Medlar-Reason"))
	}
	return medlarwheel.OutcomeUnknown, reasonNoOutcome
}

// dialError is a failure to connect. Nothing was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }
