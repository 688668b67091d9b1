package medlarprocess

import (
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// NewHostClient returns an HTTP client for one address that sends every request once.
func NewHostClient(address string, connections int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: address,
		DialTimeout: func(address string, timeout time.Duration) (net.Conn, error) {
			return net.DialTimeout("tcp", address, timeout)
		},
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxConns:                  connections,
		MaxIdleConnDuration:       time.Second,
		DisablePathNormalizing:    true,
	}
}

// GetJSON reads a value from a path of address over a connection of its own.
func GetJSON(address, path string, timeout time.Duration, into any) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	request.SetConnectionClose()
	if err := NewHostClient(address, 1).DoTimeout(request, response, timeout); err != nil {
		return fmt.Errorf("get %s%s: %w", address, path, err)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("get %s%s: status %d", address, path, response.StatusCode())
	}
	return json.Unmarshal(response.Body(), into)
}
