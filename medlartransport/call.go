package medlartransport

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"medlarwheel"
)

// Call describes one request to one upstream.
type Call struct {
	Upstream medlarwheel.Upstream
	Attempt  medlarwheel.AttemptID
	// Deadline is the time by which the response must be complete.
	Deadline time.Time
	// Idempotent allows a stalled connection to be abandoned after the first stall timeout, because the request can be sent
	// again.
	Idempotent bool
	// RequireEcho rejects a response that does not echo the attempt ID in HeaderAttempt.
	RequireEcho bool
	Request     *fasthttp.Request
	Response    *fasthttp.Response
}

// ResponseInfo describes a complete response beyond its header and body.
type ResponseInfo struct {
	// Latency is the time from sending the request to the end of the response.
	Latency time.Duration
	// Leaving reports that the upstream has announced that it is leaving the service.
	Leaving bool
	// NotRun reports that the upstream rejected the request before it had any effect.
	NotRun bool
}

var (
	errStalled          = errors.New("no response byte within the stall timeout although the upstream answered a probe")
	errNoBodyLength     = errors.New("response has neither a Content-Length nor chunked transfer encoding")
	errAttemptMismatch  = errors.New("response echoes another attempt")
	errDeadlineExceeded = errors.New("no response byte before the deadline")
)

// Do sends the request at most once and reads the whole response. Every error is a *Failure.
func (t *Transport) Do(call Call) (ResponseInfo, error) {
	p := t.pool(call.Upstream)
	start := t.config.Clock.Now()
	c, err := p.get(start)
	if err != nil {
		return ResponseInfo{}, connectFailure(call, err)
	}
	info, failure := t.exchange(p, c, call)
	if failure != nil {
		p.discard(c)
		return ResponseInfo{}, failure
	}
	now := t.config.Clock.Now()
	info.Latency = now.Sub(start)
	p.latency.observe(info.Latency)
	if call.Response.ConnectionClose() || c.reader.Buffered() > 0 {
		p.discard(c)
	} else {
		p.put(c, now)
	}
	return info, nil
}

func connectFailure(call Call, err error) *Failure {
	cause := CauseConnect
	if errors.Is(err, errNoFreeConnection) {
		cause = CauseNoFreeConnection
	}
	return &Failure{Upstream: call.Upstream.ID, Cause: cause, Err: err}
}

func (t *Transport) exchange(p *pool, c *conn, call Call) (ResponseInfo, *Failure) {
	fail := func(cause Cause, err error) *Failure {
		return &Failure{Upstream: call.Upstream.ID, Cause: cause, Sent: true, Err: err}
	}
	call.Request.Header.Set(HeaderAttempt, string(call.Attempt))
	if err := c.SetWriteDeadline(call.Deadline); err != nil {
		return ResponseInfo{}, fail(CauseWrite, err)
	}
	sentAt := t.config.Clock.Now()
	if err := call.Request.Write(c.writer); err != nil {
		return ResponseInfo{}, fail(CauseWrite, err)
	}
	if err := c.writer.Flush(); err != nil {
		return ResponseInfo{}, fail(CauseWrite, err)
	}
	if failure := t.awaitFirstByte(p, c, call, sentAt); failure != nil {
		return ResponseInfo{}, failure
	}
	return t.readResponse(p, c, call, fail)
}

func (t *Transport) readResponse(p *pool, c *conn, call Call, fail func(Cause, error) *Failure) (ResponseInfo, *Failure) {
	c.deadline = call.Deadline
	c.readTimeout = p.latency.stallTimeout(2*t.config.MinStallTimeout, call.Deadline.Sub(t.config.Clock.Now()))
	if err := t.readComplete(c, call); err != nil {
		return ResponseInfo{}, fail(CauseIncomplete, err)
	}
	echo := string(call.Response.Header.Peek(HeaderAttempt))
	if echo != string(call.Attempt) && (echo != "" || call.RequireEcho) {
		return ResponseInfo{}, fail(CauseMismatch, errors.WithMessagef(errAttemptMismatch, "got %q, expected %q", echo, call.Attempt))
	}
	return ResponseInfo{
		Leaving: string(call.Response.Header.Peek(HeaderLeaving)) == "true",
		NotRun:  string(call.Response.Header.Peek(HeaderNotRun)) == "true",
	}, nil
}

// readComplete reads the header, body and trailer. It rejects a response without a Content-Length or chunked encoding,
// because a truncated body could not be detected.
func (t *Transport) readComplete(c *conn, call Call) error {
	const identity, chunked = -2, -1
	header := &call.Response.Header
	for {
		if err := header.Read(c.reader); err != nil {
			return err
		}
		// Skips interim responses such as 100 Continue.
		if header.StatusCode() >= fasthttp.StatusOK {
			break
		}
	}
	if call.Request.Header.IsHead() || isBodyless(header.StatusCode()) {
		return nil
	}
	length := header.ContentLength()
	if length == identity {
		return errNoBodyLength
	}
	if err := call.Response.ReadBody(c.reader, t.config.MaxResponseBody); err != nil {
		return err
	}
	if length != chunked {
		return nil
	}
	return header.ReadTrailer(c.reader)
}

func isBodyless(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// awaitFirstByte waits for the first byte of the response. After the stall timeout it probes the upstream once. If the
// upstream answers the probe, the connection is abandoned, for a non-idempotent request only after a second stall timeout.
func (t *Transport) awaitFirstByte(p *pool, c *conn, call Call, sentAt time.Time) *Failure {
	limit := p.latency.stallTimeout(t.config.MinStallTimeout, call.Deadline.Sub(sentAt))
	err := waitForByte(c, sentAt.Add(limit))
	if err == nil {
		return nil
	}
	if !isTimeout(err) {
		return &Failure{Upstream: call.Upstream.ID, Cause: CauseClosed, Sent: true, Err: err}
	}
	answered := t.probe(p, c, call)
	if c.reader.Buffered() > 0 {
		return nil
	}
	if answered {
		t.handleStall(call.Upstream, sentAt, t.config.Clock.Now())
		if call.Idempotent {
			return stallFailure(call, answered, limit)
		}
	}
	return t.awaitSecondStallTimeout(p, c, call, sentAt, limit, answered)
}

// awaitSecondStallTimeout waits for the first byte until twice the stall timeout if the upstream answered the probe, and
// otherwise until the deadline.
func (t *Transport) awaitSecondStallTimeout(p *pool, c *conn, call Call, sentAt time.Time, limit time.Duration, answered bool) *Failure {
	end := sentAt.Add(2 * limit)
	if !answered || end.After(call.Deadline) {
		end = call.Deadline
	}
	err := waitForByte(c, end)
	switch {
	case err == nil:
		return nil
	case !isTimeout(err):
		return &Failure{Upstream: call.Upstream.ID, Cause: CauseClosed, Sent: true, Err: err}
	case answered:
		// Recorded as a slow response, so that the stall timeout grows when the upstream itself has become slower.
		p.latency.observe(2 * limit)
		return stallFailure(call, answered, end.Sub(sentAt))
	default:
		err = errors.WithMessagef(errDeadlineExceeded, "waited %s", call.Deadline.Sub(sentAt))
		return &Failure{Upstream: call.Upstream.ID, Cause: CauseDeadline, Sent: true, Err: err}
	}
}

func stallFailure(call Call, answered bool, waited time.Duration) *Failure {
	err := errors.WithMessagef(errStalled, "waited %s", waited)
	return &Failure{Upstream: call.Upstream.ID, Cause: CauseStalled, Sent: true, ProbeAnswered: answered, Err: err}
}

// waitForByte waits until a byte can be read from c, without consuming it, or until end.
func waitForByte(c *conn, end time.Time) error {
	if err := c.SetReadDeadline(end); err != nil {
		return err
	}
	_, err := c.reader.Peek(1)
	return err
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// probe reports whether the upstream answers a health request on a new connection. It cancels the probe when a byte
// arrives on the watched connection.
func (t *Transport) probe(p *pool, watched *conn, call Call) bool {
	now := t.config.Clock.Now()
	end := now.Add(t.config.ProbeTimeout)
	if end.After(call.Deadline) {
		end = call.Deadline
	}
	fresh, err := p.dial(now)
	if err != nil {
		return false
	}
	defer p.discard(fresh)
	done := make(chan bool, 1)
	go func() { done <- sendProbe(fresh, end) }()
	if waitForByte(watched, end) == nil {
		_ = fresh.SetDeadline(now)
	}
	return <-done
}

// sendProbe reports whether a complete response to a health request arrives on c before end.
func sendProbe(c *conn, end time.Time) bool {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + c.RemoteAddr().String() + ProbePath)
	request.Header.SetMethod(fasthttp.MethodGet)
	if c.SetDeadline(end) != nil {
		return false
	}
	if request.Write(c.writer) != nil || c.writer.Flush() != nil {
		return false
	}
	return response.Read(c.reader) == nil
}
