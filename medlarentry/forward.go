package medlarentry

import (
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"medlarwheel"
	"medlarwheel/medlartransport"
)

// maxUpstreamTries bounds how often one request is sent to an upstream.
const maxUpstreamTries = 3

// forward sends the request to an upstream and, if that fails and a repetition is safe, to another one. It reports whether
// bytes of the request may have reached an upstream that did not reject it.
func (d *Daemon) forward(c *call, request *fasthttp.Request, admission *serviceAdmission) (result *callResult, sent bool) {
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
			// An upstream that responded to a probe is healthy; only the connection was lost. It may be tried again.
			tried = append(tried, upstream.ID)
		}
		refusal = forwardingRefusal(failure, sent)
		sent = sent || failure.Sent
		if (sent && !c.idempotent) || !admission.trySpendRetry() {
			break
		}
	}
	return refusalResult(refusal), sent
}

// forwardingRefusal returns the refusal for a failure. Once an upstream may have received bytes of the request, the outcome
// is unknown.
func forwardingRefusal(failure *medlartransport.Failure, sentBefore bool) medlarwheel.Refusal {
	if failure.Sent || sentBefore {
		return medlarwheel.Unknown(failure.Reason(), defaultRetryAfter)
	}
	return medlarwheel.NotRun(failure.Reason(), defaultRetryAfter)
}

// sendToUpstream sends the request to one upstream once. Exactly one of the returned values is set.
func (d *Daemon) sendToUpstream(c *call, request *fasthttp.Request, upstream medlarwheel.Upstream, permit permit) (*callResult, *medlartransport.Failure) {
	upstreamRequest, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(upstreamRequest)
	defer fasthttp.ReleaseResponse(response)
	prepareUpstreamRequest(upstreamRequest, request, c, upstream)
	report, err := d.transport.Do(medlartransport.Call{
		Upstream: upstream, Attempt: c.attempt, Deadline: c.deadline, Idempotent: c.idempotent,
		RequireEcho: c.template.Service.RequireEcho, Request: upstreamRequest, Response: response,
	})
	var failure *medlartransport.Failure
	if err != nil && !errors.As(err, &failure) {
		failure = &medlartransport.Failure{Upstream: upstream.ID, Cause: medlartransport.CauseClosed, Sent: true, Err: err}
	}
	if failure == nil && report.NotRun {
		failure = &medlartransport.Failure{Upstream: upstream.ID, Cause: medlartransport.CauseRejected, Err: errUpstreamRejected}
	}
	d.routing.release(permit, upstream, c.deadline, report, failure)
	if failure != nil {
		d.recordUpstreamFailure(c, failure)
		return nil, failure
	}
	return copyResponse(response), nil
}

// unsentFailure returns the failure with which an unused permit is released.
func unsentFailure(upstream medlarwheel.Upstream) *medlartransport.Failure {
	return &medlartransport.Failure{Upstream: upstream.ID, Cause: medlartransport.CauseRejected}
}

var errUpstreamRejected = errors.New("upstream rejected the request before it had any effect")

// hopByHopHeaders apply to one connection only and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// prepareUpstreamRequest sets up the request to the upstream from the request of the client.
func prepareUpstreamRequest(upstreamRequest, request *fasthttp.Request, c *call, upstream medlarwheel.Upstream) {
	request.Header.CopyTo(&upstreamRequest.Header)
	for _, name := range hopByHopHeaders {
		upstreamRequest.Header.Del(name)
	}
	upstreamRequest.Header.Del(HeaderDeadline)
	upstreamRequest.SetRequestURI("http://" + upstream.Address + c.upstreamPath)
	upstreamRequest.Header.SetHost(upstream.Address)
	upstreamRequest.SetBodyRaw(request.Body())
}

// reservedHeaders are set by this instance and are not copied from the response of an upstream.
var reservedHeaders = []string{
	HeaderOutcome, HeaderReason, HeaderRetryAfter, medlartransport.HeaderAttempt, medlartransport.HeaderLeaving, medlartransport.HeaderNotRun,
	fasthttp.HeaderContentLength, fasthttp.HeaderContentType,
}

// copyResponse copies a response into a result, because the response object is reused.
func copyResponse(response *fasthttp.Response) *callResult {
	result := &callResult{status: response.StatusCode(), body: slices.Clone(response.Body())}
	result.headers = append(result.headers, responseHeader{fasthttp.HeaderContentType, string(response.Header.ContentType())})
	for name, value := range response.Header.All() {
		if field := string(name); !slices.Contains(hopByHopHeaders, field) && !slices.Contains(reservedHeaders, field) {
			result.headers = append(result.headers, responseHeader{field, string(value)})
		}
	}
	return result
}

// roundUpSeconds returns d rounded up to whole seconds, at least one.
func roundUpSeconds(d time.Duration) int {
	return max(1, int((d+time.Second-1)/time.Second))
}
