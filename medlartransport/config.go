package medlartransport

import (
	"net"
	"time"

	"medlarwheel"
)

// Header names of the protocol towards upstreams.
const (
	HeaderAttempt    = "Medlar-Attempt"
	HeaderRequestKey = "Medlar-Request-Key"
	HeaderLeaving    = "Medlar-Leaving"
	// HeaderNotRun is set to "true" by an upstream that rejects a request before it has any effect.
	HeaderNotRun = "Medlar-Not-Run"
)

// ProbePath is the path that a probe asks for.
const ProbePath = "/healthz"

// Dialer opens connections to upstreams.
type Dialer interface {
	Dial(address string, timeout time.Duration) (net.Conn, error)
}

// DialerFunc is a function that is a Dialer.
type DialerFunc func(address string, timeout time.Duration) (net.Conn, error)

// Dial returns f(address, timeout).
func (f DialerFunc) Dial(address string, timeout time.Duration) (net.Conn, error) {
	return f(address, timeout)
}

// ConnectionBudget counts the open connections to an upstream against this instance's share of its connections.
type ConnectionBudget interface {
	// Open counts one more connection, if the share allows it.
	Open(id medlarwheel.UpstreamID) bool
	// Closed counts one connection less.
	Closed(id medlarwheel.UpstreamID)
}

// Config holds the settings of the connections to upstreams.
type Config struct {
	// Dialer opens connections.
	Dialer Dialer
	// Clock tells the time.
	Clock medlarwheel.Clock
	// Budget bounds the open connections to each upstream.
	Budget ConnectionBudget
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is the age at which an idle connection is closed.
	IdleTimeout time.Duration
	// MinStallTimeout is the least silence limit.
	MinStallTimeout time.Duration
	// ProbeTimeout bounds the time that a probe may take.
	ProbeTimeout time.Duration
	// MaxResponseBody bounds the body of a response in bytes.
	MaxResponseBody int
	// ReadBufferSize is the size of the read buffer of a connection in bytes. It bounds the response header.
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
