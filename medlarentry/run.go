package medlarentry

import (
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"medlarwheel"
	"medlarwheel/medlartransport"
)

// maxUpstreamTries bounds the upstreams that one request is sent to.
const maxUpstreamTries = 3

// forward sends the request to an upstream and, where that is safe, to another one when it fails. It reports whether bytes
// of the request may have reached an upstream that did not reject it.
func (d *Daemon) forward(c *call, request *fasthttp.Request, gate *serviceAdmission) (result *callResult, sent bool) {
	var tried []medlarwheel.UpstreamID
	refusal := medlarwheel.NotRun(medlarwheel.ReasonNoUpstream, defaultRetryAfter)
	for range maxUpstreamTries {
		upstream, permit, ok := d.routing.acquire(c, tried)
		if !ok {
			break
		}
		if !c.maySend(d.clock.Now()) {
			d.routing.finish(permit, medlartransport.ResponseInfo{}, unsentFailure(upstream))
			refusal = forwardingRefusal(&medlartransport.Failure{Cause: medlartransport.CauseDeadline}, sent)
			break
		}
		result, failure := d.sendToUpstream(c, request, upstream, permit)
		if result != nil {
			return result, true
		}
		if !failure.ProbeAnswered {
			// An upstream that answered a probe is healthy; only the connection was lost.
			tried = append(tried, upstream.ID)
		}
		refusal = forwardingRefusal(failure, sent)
		sent = sent || failure.Sent
		if (sent && !c.idempotent) || !gate.trySpendRetry() {
			break
		}
	}
	return refusalResult(refusal), sent
}

// forwardingRefusal tells a caller about a failure. Once bytes may have been received the outcome is unknown.
func forwardingRefusal(failure *medlartransport.Failure, sentBefore bool) medlarwheel.Refusal {
	if failure.Sent || sentBefore {
		return medlarwheel.Unknown(failure.Reason(), defaultRetryAfter)
	}
	return medlarwheel.NotRun(failure.Reason(), defaultRetryAfter)
}

// sendToUpstream makes one attempt at one upstream. Exactly one of the results is set.
func (d *Daemon) sendToUpstream(c *call, request *fasthttp.Request, u medlarwheel.Upstream, permit permit) (*callResult, *medlartransport.Failure) {
	out, in := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(out)
	defer fasthttp.ReleaseResponse(in)
	prepareUpstreamRequest(out, request, c, u)
	report, err := d.links.Do(medlartransport.Call{
		Upstream: u, Attempt: c.attempt, Deadline: c.deadline, Idempotent: c.idempotent,
		RequireEcho: c.template.Service.RequireEcho, Request: out, Response: in,
	})
	var failure *medlartransport.Failure
	if err != nil && !errors.As(err, &failure) {
		failure = &medlartransport.Failure{Upstream: u.ID, Cause: medlartransport.CauseClosed, Sent: true, Err: err}
	}
	if failure == nil && report.NotRun {
		failure = &medlartransport.Failure{Upstream: u.ID, Cause: medlartransport.CauseRejected, Err: errUpstreamRejected}
	}
	d.routing.release(permit, u, c.deadline, report, failure)
	if failure != nil {
		d.recordUpstreamFailure(c, failure)
		return nil, failure
	}
	return copyResponse(in), nil
}

// unsentFailure is the end of a permit that was not used.
func unsentFailure(u medlarwheel.Upstream) *medlartransport.Failure {
	return &medlartransport.Failure{Upstream: u.ID, Cause: medlartransport.CauseRejected}
}

var errUpstreamRejected = errors.New("upstream rejected the request before it had any effect")

// hopByHopHeaders are meaningful for one connection only and are not passed on.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// prepareUpstreamRequest fills in the request for the upstream.
func prepareUpstreamRequest(out, request *fasthttp.Request, c *call, u medlarwheel.Upstream) {
	request.Header.CopyTo(&out.Header)
	for _, name := range hopByHopHeaders {
		out.Header.Del(name)
	}
	out.Header.Del(HeaderDeadline)
	out.SetRequestURI("http://" + u.Address + c.upstreamPath)
	out.Header.SetHost(u.Address)
	out.SetBodyRaw(request.Body())
}

// reservedHeaders are set by this instance on every answer and are not taken over from an upstream.
var reservedHeaders = []string{
	HeaderOutcome, HeaderReason, HeaderRetryAfter, medlartransport.HeaderAttempt, medlartransport.HeaderLeaving, medlartransport.HeaderNotRun,
	fasthttp.HeaderContentLength, fasthttp.HeaderContentType,
}

// copyResponse copies a complete response, because the response object is reused.
func copyResponse(response *fasthttp.Response) *callResult {
	a := &callResult{status: response.StatusCode(), body: slices.Clone(response.Body())}
	a.headers = append(a.headers, responseHeader{fasthttp.HeaderContentType, string(response.Header.ContentType())})
	for name, value := range response.Header.All() {
		if field := string(name); !slices.Contains(hopByHopHeaders, field) && !slices.Contains(reservedHeaders, field) {
			a.headers = append(a.headers, responseHeader{field, string(value)})
		}
	}
	return a
}

// roundUpSeconds returns d in whole seconds, at least one.
func roundUpSeconds(d time.Duration) int {
	return max(1, int((d+time.Second-1)/time.Second))
}
