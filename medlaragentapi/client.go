package medlaragentapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"medlarwheel"
)

// Config holds the settings of a Client.
type Config struct {
	// Address is the agent's IP number and port.
	Address string
	// Timeout bounds one call, including the connection set-up.
	Timeout time.Duration
	// MaxConnections bounds the open connections to the agent.
	MaxConnections int
	// MaxIdleTime closes a connection that was not used for that long.
	MaxIdleTime time.Duration
	// MaxResponseBytes bounds an answer in bytes.
	MaxResponseBytes int
}

// DefaultConfig returns the settings for the agent at address.
func DefaultConfig(address string) Config {
	return Config{Address: address, Timeout: 2 * time.Second, MaxConnections: 4, MaxIdleTime: 5 * time.Second, MaxResponseBytes: 8 << 20}
}

// Client calls one agent. It is safe for concurrent use. An error that matches medlarwheel.ErrUnavailable means that the
// command may have taken effect; the same command may be sent again. A *RefusedError means that it had none.
type Client struct {
	config Config
	http   *fasthttp.HostClient
}

// NewClient returns a client. It opens no connection yet.
func NewClient(config Config) *Client {
	return &Client{config: config, http: &fasthttp.HostClient{
		Addr: config.Address,
		Name: "medlarwheel",
		DialTimeout: func(address string, timeout time.Duration) (net.Conn, error) {
			return net.DialTimeout("tcp", address, timeout)
		},
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxConns:                  config.MaxConnections,
		MaxIdleConnDuration:       config.MaxIdleTime,
		MaxResponseBodySize:       config.MaxResponseBytes,
	}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Start starts an attempt of a task.
func (c *Client) Start(ctx context.Context, r StartRequest) (TaskResponse, error) {
	return exchange[TaskResponse](ctx, c, "start", fasthttp.MethodPost, "/v1/tasks/start", &r)
}

// Renew extends leases.
func (c *Client) Renew(ctx context.Context, r RenewRequest) (RenewResponse, error) {
	return exchange[RenewResponse](ctx, c, "renew", fasthttp.MethodPost, "/v1/tasks/renew", &r)
}

// Throttle limits the speed of a task.
func (c *Client) Throttle(ctx context.Context, r ThrottleRequest) (TaskResponse, error) {
	return exchange[TaskResponse](ctx, c, "throttle", fasthttp.MethodPost, "/v1/tasks/throttle", &r)
}

// Checkpoint writes a checkpoint and stops the task.
func (c *Client) Checkpoint(ctx context.Context, r CheckpointRequest) (TaskResponse, error) {
	return exchange[TaskResponse](ctx, c, "checkpoint", fasthttp.MethodPost, "/v1/tasks/checkpoint", &r)
}

// Stop stops a task and confirms that it does not run.
func (c *Client) Stop(ctx context.Context, r StopRequest) (TaskResponse, error) {
	return exchange[TaskResponse](ctx, c, "stop", fasthttp.MethodPost, "/v1/tasks/stop", &r)
}

// Tasks lists the tasks.
func (c *Client) Tasks(ctx context.Context) (TaskList, error) {
	return exchange[TaskList](ctx, c, "tasks", fasthttp.MethodGet, "/v1/tasks", nil)
}

// Usage reads the newest usage report.
func (c *Client) Usage(ctx context.Context) (UsageReport, error) {
	return exchange[UsageReport](ctx, c, "usage", fasthttp.MethodGet, "/v1/usage", nil)
}

// message is a wire type that reports its own faults.
type message interface{ Check() medlarwheel.Faults }

// exchange sends one request once and decodes its answer.
func exchange[T any, P interface {
	*T
	message
}](ctx context.Context, c *Client, step, method, path string, body message) (T, error) {
	var none T
	status, data, err := c.send(ctx, method, path, body)
	if err != nil {
		return none, medlarwheel.WithOperation(step, c.config.Address, err)
	}
	if status == fasthttp.StatusConflict {
		refused, err := medlarwheel.Decode[RefusedError](data)
		if err == nil {
			err = &refused
		}
		return none, medlarwheel.WithOperation(step, c.config.Address, err)
	}
	if status != fasthttp.StatusOK {
		text := data[:min(len(data), maxErrorBodyLength)]
		err := errors.WithMessage(medlarwheel.ErrUnavailable, fmt.Sprintf("status %d: %s", status, text))
		return none, medlarwheel.WithOperation(step, c.config.Address, err)
	}
	answer, err := medlarwheel.Decode[T, P](data)
	return answer, medlarwheel.WithOperation(step, c.config.Address, err)
}

// maxErrorBodyLength bounds the part of an unexpected answer that goes into an error.
const maxErrorBodyLength = 200

func (c *Client) send(ctx context.Context, method, path string, body message) (int, []byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + c.config.Address + path)
	if body != nil {
		if err := body.Check().Err(); err != nil {
			return 0, nil, err
		}
		data, err := json.Marshal(body)
		if err != nil {
			return 0, nil, err
		}
		request.Header.SetContentType("application/json")
		request.SetBodyRaw(data)
	}
	timeout := c.config.Timeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	if ctx.Err() != nil || timeout <= 0 {
		return 0, nil, errors.WithMessage(medlarwheel.ErrUnavailable, "deadline passed")
	}
	if err := c.http.DoTimeout(request, response, timeout); err != nil {
		return 0, nil, errors.WithMessage(medlarwheel.ErrUnavailable, err.Error())
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...), nil
}
