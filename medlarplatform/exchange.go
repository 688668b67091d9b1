package medlarplatform

import (
	"context"
	"net"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// response is a complete response of the platform.
type response struct {
	status     int
	body       []byte
	notRun     bool
	retryAfter time.Duration
}

// exchange sends one request once. Its error is an *UnavailableError, whose effect is EffectUnknown if the request may
// have reached the platform.
func (c *Client) exchange(ctx context.Context, method, path string, body []byte) (response, error) {
	timeout := c.timeLeft(ctx, c.config.Timeout)
	if timeout <= 0 {
		return response{}, &UnavailableError{Effect: EffectNone, Cause: errDeadlineExceeded}
	}
	if err := c.allow(); err != nil {
		return response{}, err
	}
	httpRequest, httpResponse := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(httpRequest)
	defer fasthttp.ReleaseResponse(httpResponse)
	httpRequest.Header.SetMethod(method)
	httpRequest.SetRequestURI("http://" + c.config.Address + path)
	if len(body) > 0 {
		httpRequest.Header.SetContentType("application/json")
		httpRequest.SetBodyRaw(body)
	}
	if err := c.http.DoTimeout(httpRequest, httpResponse, timeout); err != nil {
		if errors.Is(err, fasthttp.ErrNoFreeConns) {
			c.abandonCall()
		} else {
			c.recordResult(false)
		}
		return response{}, &UnavailableError{Effect: effectOf(err), Cause: err}
	}
	// A status below 500 shows that the platform works, even if it rejects this call.
	c.recordResult(httpResponse.StatusCode() < fasthttp.StatusInternalServerError)
	r := response{status: httpResponse.StatusCode(), body: append([]byte(nil), httpResponse.Body()...)}
	r.notRun = string(httpResponse.Header.Peek(HeaderNotRun)) == "true"
	if d, err := time.ParseDuration(string(httpResponse.Header.Peek(HeaderRetryAfter))); err == nil {
		r.retryAfter = d
	}
	return r, nil
}

// effectOf returns EffectNone if err of the HTTP library shows that the request was not sent.
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

// allow returns an error if the breaker rejects the call.
func (c *Client) allow() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Clock.Now()
	if c.breaker.Allow(now) {
		return nil
	}
	return &UnavailableError{Effect: EffectNone, RetryAfter: c.breaker.RetryAfter(now), Cause: errBreakerOpen}
}

// recordResult records in the breaker whether a call succeeded.
func (c *Client) recordResult(success bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if success {
		c.breaker.Success()
		return
	}
	c.breaker.Failure(c.config.Clock.Now(), c.config.Random)
}

// abandonCall records in the breaker that a call was not sent because all connections are in use.
func (c *Client) abandonCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaker.Abandon()
}

// sleep waits for d with jitter. It returns false if the context ended first.
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

// dial connects to an IP address, without the resolver and the DNS cache of the HTTP library.
func dial(address string, timeout time.Duration) (net.Conn, error) {
	connection, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return connection, nil
}

// escapeSegment encodes a key, which may contain slashes, as one path segment.
func escapeSegment(segment string) string { return url.PathEscape(segment) }
