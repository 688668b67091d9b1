package medlartransport

import (
	"net"
	"time"

	"medlarwheel"
)

// Headers of the protocol between entry instances and upstreams.
const (
	HeaderAttempt    = "Medlar-Attempt"
	HeaderRequestKey = "Medlar-Request-Key"
	HeaderLeaving    = "Medlar-Leaving"
	// HeaderNotRun is set to "true" by an upstream that rejects a request before it has any effect.
	HeaderNotRun = "Medlar-Not-Run"
)

// ProbePath is the path of the health request that a probe sends.
const ProbePath = "/healthz"

// Dialer opens connections to upstreams.
type Dialer interface {
	Dial(address string, timeout time.Duration) (net.Conn, error)
}

// DialerFunc adapts a function to the Dialer interface.
type DialerFunc func(address string, timeout time.Duration) (net.Conn, error)

// Dial calls f(address, timeout).
func (f DialerFunc) Dial(address string, timeout time.Duration) (net.Conn, error) {
	return f(address, timeout)
}

// ConnectionBudget limits the open connections to each upstream to this instance's share of the upstream's connections.
type ConnectionBudget interface {
	// Open counts a new connection. It reports false, and counts nothing, when the share is used up.
	Open(id medlarwheel.UpstreamID) bool
	// Closed counts a connection as closed.
	Closed(id medlarwheel.UpstreamID)
}

// Config holds the settings of a Transport.
type Config struct {
	// Dialer opens connections to upstreams.
	Dialer Dialer
	// Clock is the source of the current time.
	Clock medlarwheel.Clock
	// Budget bounds the open connections to each upstream.
	Budget ConnectionBudget
	// DialTimeout bounds the time to establish a connection.
	DialTimeout time.Duration
	// IdleTimeout is the time since the last response after which an idle connection is closed.
	IdleTimeout time.Duration
	// MinStallTimeout is the lower bound of the stall timeout, which follows the measured latency of the upstream.
	MinStallTimeout time.Duration
	// ProbeTimeout bounds the duration of a probe, apart from the dial.
	ProbeTimeout time.Duration
	// MaxResponseBody is the largest accepted response body in bytes.
	MaxResponseBody int
	// ReadBufferSize is the size of a connection's read buffer in bytes. It also bounds the size of a response header.
	ReadBufferSize int
}

// DefaultConfig returns the settings for production.
func DefaultConfig(budget ConnectionBudget) Config {
	return Config{
		Dialer:          DialerFunc(dialTCP),
		Clock:           medlarwheel.SystemClock{},
		Budget:          budget,
		DialTimeout:     500 * time.Millisecond,
		IdleTimeout:     30 * time.Second,
		MinStallTimeout: 250 * time.Millisecond,
		ProbeTimeout:    250 * time.Millisecond,
		MaxResponseBody: 16 << 20,
		ReadBufferSize:  16 << 10,
	}
}

func dialTCP(address string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", address, timeout)
}
