package medlarplatform

import (
	"context"
	"net"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// answer is a complete answer of the platform.
type answer struct {
	status     int
	body       []byte
	notRun     bool
	retryAfter time.Duration
}

// exchange sends one request once. An error is an *UnavailableError whose effect tells whether bytes were sent.
func (c *Client) exchange(ctx context.Context, method, path string, body []byte) (answer, error) {
	timeout := c.timeLeft(ctx, c.config.Timeout)
	if timeout <= 0 {
		return answer{}, &UnavailableError{Effect: EffectNone, Cause: errDeadlineExceeded}
	}
	if err := c.allow(); err != nil {
		return answer{}, err
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + c.config.Address + path)
	if len(body) > 0 {
		request.Header.SetContentType("application/json")
		request.SetBodyRaw(body)
	}
	if err := c.http.DoTimeout(request, response, timeout); err != nil {
		if errors.Is(err, fasthttp.ErrNoFreeConns) {
			c.abandonCall()
		} else {
			c.recordResult(false)
		}
		return answer{}, &UnavailableError{Effect: effectOf(err), Cause: err}
	}
	// An answer below 500 shows that the platform works, even if it refuses this call.
	c.recordResult(response.StatusCode() < fasthttp.StatusInternalServerError)
	a := answer{status: response.StatusCode(), body: append([]byte(nil), response.Body()...)}
	a.notRun = string(response.Header.Peek(HeaderNotRun)) == "true"
	if d, err := time.ParseDuration(string(response.Header.Peek(HeaderRetryAfter))); err == nil {
		a.retryAfter = d
	}
	return a, nil
}

// effectOf tells whether a request that failed in the HTTP library may have reached the platform.
func effectOf(err error) Effect {
	var dial *dialError
	if errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns) || errors.Is(err, fasthttp.ErrDialTimeout) {
		return EffectNone
	}
	return EffectUnknown
}

// timeLeft returns the shorter of limit and the time to the deadline of ctx.
func (c *Client) timeLeft(ctx context.Context, limit time.Duration) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	if deadline, ok := ctx.Deadline(); ok {
		return min(limit, time.Until(deadline))
	}
	return limit
}

// allow asks the breaker for leave to send.
func (c *Client) allow() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Clock.Now()
	if c.breaker.Allow(now) {
		return nil
	}
	return &UnavailableError{Effect: EffectNone, RetryAfter: c.breaker.RetryAfter(now), Cause: errBreakerOpen}
}

// recordResult tells the breaker how a call ended.
func (c *Client) recordResult(success bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if success {
		c.breaker.Success()
		return
	}
	c.breaker.Failure(c.config.Clock.Now(), c.config.Random)
}

// abandonCall tells the breaker that a call was not sent because all connections are in use.
func (c *Client) abandonCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaker.Abandon()
}

// sleep waits for about d. It reports false when the context ended first.
func (c *Client) sleep(ctx context.Context, d time.Duration) bool {
	c.mu.Lock()
	d = jitter(d, c.config.Random)
	c.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// dial connects to an IP number, without the resolver and cache of the HTTP library.
func dial(address string, timeout time.Duration) (net.Conn, error) {
	connection, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return connection, nil
}

// escapeSegment makes one path segment of a key with slashes.
func escapeSegment(segment string) string { return url.PathEscape(segment) }
