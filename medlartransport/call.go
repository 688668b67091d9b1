package medlartransport

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"medlarwheel"
)

// Call is one request to one upstream.
type Call struct {
	Upstream medlarwheel.Upstream
	Attempt  medlarwheel.AttemptID
	// Deadline is when the caller gives up.
	Deadline time.Time
	// Idempotent lets a silent connection be given up at the first limit, because the request can be sent again.
	Idempotent bool
	// RequireEcho rejects a response that does not echo the attempt id.
	RequireEcho bool
	Request     *fasthttp.Request
	Response    *fasthttp.Response
}

// ResponseInfo tells what else a complete response showed.
type ResponseInfo struct {
	// Latency is the time from sending the request to the end of the response.
	Latency time.Duration
	// Leaving tells that the upstream announced that it is leaving.
	Leaving bool
	// NotRun tells that the upstream rejected the request before it had any effect.
	NotRun bool
}

var (
	errStalled          = errors.New("no byte within the silence limit")
	errNoBodyLength     = errors.New("response has neither a length nor chunks")
	errAttemptMismatch  = errors.New("response belongs to another attempt")
	errDeadlineExceeded = errors.New("deadline passed")
)

// Do sends the request once and reads the whole response. It never sends a request twice. Every error is a *Failure.
func (l *Transport) Do(call Call) (ResponseInfo, error) {
	p := l.pool(call.Upstream)
	start := l.config.Clock.Now()
	c, err := p.get(start)
	if err != nil {
		return ResponseInfo{}, connectFailure(call, err)
	}
	report, failure := l.exchange(p, c, call)
	if failure != nil {
		p.discard(c)
		return ResponseInfo{}, failure
	}
	now := l.config.Clock.Now()
	report.Latency = now.Sub(start)
	p.latency.observe(report.Latency)
	if call.Response.ConnectionClose() || c.reader.Buffered() > 0 {
		p.discard(c)
	} else {
		p.put(c, now)
	}
	return report, nil
}

func connectFailure(call Call, err error) *Failure {
	cause := CauseConnect
	if errors.Is(err, errNoFreeConnection) {
		cause = CauseNoFreeConnection
	}
	return &Failure{Upstream: call.Upstream.ID, Cause: cause, Err: err}
}

func (l *Transport) exchange(p *pool, c *conn, call Call) (ResponseInfo, *Failure) {
	fail := func(cause Cause, err error) *Failure {
		return &Failure{Upstream: call.Upstream.ID, Cause: cause, Sent: true, Err: err}
	}
	call.Request.Header.Set(HeaderAttempt, string(call.Attempt))
	if err := c.SetWriteDeadline(call.Deadline); err != nil {
		return ResponseInfo{}, fail(CauseWrite, err)
	}
	sentAt := l.config.Clock.Now()
	if err := call.Request.Write(c.writer); err != nil {
		return ResponseInfo{}, fail(CauseWrite, err)
	}
	if err := c.writer.Flush(); err != nil {
		return ResponseInfo{}, fail(CauseWrite, err)
	}
	if failure := l.awaitFirstByte(p, c, call, sentAt); failure != nil {
		return ResponseInfo{}, failure
	}
	return l.readResponse(p, c, call, fail)
}

func (l *Transport) readResponse(p *pool, c *conn, call Call, fail func(Cause, error) *Failure) (ResponseInfo, *Failure) {
	c.deadline = call.Deadline
	c.readTimeout = p.latency.stallTimeout(2*l.config.MinStallTimeout, call.Deadline.Sub(l.config.Clock.Now()))
	if err := l.readComplete(c, call); err != nil {
		return ResponseInfo{}, fail(CauseIncomplete, err)
	}
	echo := string(call.Response.Header.Peek(HeaderAttempt))
	if echo != string(call.Attempt) && (echo != "" || call.RequireEcho) {
		return ResponseInfo{}, fail(CauseMismatch, errAttemptMismatch)
	}
	return ResponseInfo{
		Leaving: string(call.Response.Header.Peek(HeaderLeaving)) == "true",
		NotRun:  string(call.Response.Header.Peek(HeaderNotRun)) == "true",
	}, nil
}

// readComplete reads the header, body and trailer. A body whose end is not marked may be cut short and is refused.
func (l *Transport) readComplete(c *conn, call Call) error {
	const identity, chunked = -2, -1
	header := &call.Response.Header
	for {
		if err := header.Read(c.reader); err != nil {
			return err
		}
		// An interim response such as 100 Continue comes before the final one.
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
	if err := call.Response.ReadBody(c.reader, l.config.MaxResponseBody); err != nil {
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

// awaitFirstByte waits until the response begins. When the silence limit passes it probes the upstream once; when the
// second limit passes with the probe answered it gives the connection up.
func (l *Transport) awaitFirstByte(p *pool, c *conn, call Call, sentAt time.Time) *Failure {
	limit := p.latency.stallTimeout(l.config.MinStallTimeout, call.Deadline.Sub(sentAt))
	err := waitForByte(c, sentAt.Add(limit))
	if err == nil {
		return nil
	}
	if !isTimeout(err) {
		return &Failure{Upstream: call.Upstream.ID, Cause: CauseClosed, Sent: true, Err: err}
	}
	answered := l.probe(p, c, call)
	if c.reader.Buffered() > 0 {
		return nil
	}
	if answered {
		l.handleStall(call.Upstream, sentAt, l.config.Clock.Now())
		if call.Idempotent {
			return stallFailure(call, answered)
		}
	}
	return l.awaitSecondStallTimeout(p, c, call, sentAt, limit, answered)
}

func (l *Transport) awaitSecondStallTimeout(p *pool, c *conn, call Call, sentAt time.Time, limit time.Duration, answered bool) *Failure {
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
		// Counted as a slow response, so that the limit grows when the upstream itself has become slower.
		p.latency.observe(2 * limit)
		return stallFailure(call, answered)
	default:
		return &Failure{Upstream: call.Upstream.ID, Cause: CauseDeadline, Sent: true, Err: errDeadlineExceeded}
	}
}

func stallFailure(call Call, answered bool) *Failure {
	return &Failure{Upstream: call.Upstream.ID, Cause: CauseStalled, Sent: true, ProbeAnswered: answered, Err: errStalled}
}

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

// probe asks the upstream for its health on a fresh connection. It returns early without success when the watched
// connection makes progress.
func (l *Transport) probe(p *pool, watched *conn, call Call) bool {
	now := l.config.Clock.Now()
	end := now.Add(l.config.ProbeTimeout)
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
