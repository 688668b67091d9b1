package medlarplatform

import (
	"math/rand/v2"
	"time"

	"medlarwheel"
)

// Config holds the settings of a Client.
type Config struct {
	// Address is the IP address and port of the platform.
	Address string
	// Timeout limits one HTTP exchange, including connection set-up.
	Timeout time.Duration
	// ResolveTimeout limits the time that Transact spends on finding the result of an operation whose response was lost.
	ResolveTimeout time.Duration
	// ResolveBackoff is the delay before the second attempt to find that result. It doubles after each
	// further attempt, up to ten times its value.
	ResolveBackoff time.Duration
	// MaxConnections limits the open connections to the platform.
	MaxConnections int
	// MaxIdleTime is the time after which an unused connection is closed.
	MaxIdleTime time.Duration
	// MaxResponseBytes limits the size of a response body.
	MaxResponseBytes int
	// Breaker configures when calls fail without being sent.
	Breaker BreakerConfig
	// Clock provides the current time to the breaker.
	Clock medlarwheel.Clock
	// Random adds jitter to backoffs and probes. The client accesses it under a lock.
	Random *rand.Rand
}

const (
	defaultTimeout        = time.Second
	defaultResolveTimeout = 3 * time.Second
	defaultResolveBackoff = 20 * time.Millisecond
	defaultMaxConnections = 64
	// Shorter than the idle timeout of common servers, so that the client closes first and sends no request on a connection
	// that the server is closing.
	defaultMaxIdleTime      = 5 * time.Second
	defaultMaxResponseBytes = 64 << 20
)

// DefaultConfig returns the settings for the platform at address.
func DefaultConfig(address string) Config {
	return Config{
		Address:          address,
		Timeout:          defaultTimeout,
		ResolveTimeout:   defaultResolveTimeout,
		ResolveBackoff:   defaultResolveBackoff,
		MaxConnections:   defaultMaxConnections,
		MaxIdleTime:      defaultMaxIdleTime,
		MaxResponseBytes: defaultMaxResponseBytes,
		Breaker:          DefaultBreakerConfig(),
		Clock:            medlarwheel.SystemClock{},
		Random:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}
