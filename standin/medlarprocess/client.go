package medlarprocess

import (
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// NewHostClient returns an HTTP client for one address that does not retry requests.
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

// GetJSON decodes the JSON response of a GET request, which is sent over a new connection.
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
		return fmt.Errorf("get %s%s: got status %d, expected %d", address, path, response.StatusCode(), fasthttp.StatusOK)
	}
	return errors.WithMessagef(json.Unmarshal(response.Body(), into), "get %s%s: decode the response", address, path)
}
