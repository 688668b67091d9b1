package medlarplatform

import (
	"math/rand/v2"
	"time"

	"medlarwheel"
)

// Config holds the settings of a Client.
type Config struct {
	// Address is the platform's IP number and port.
	Address string
	// Timeout bounds one HTTP exchange, including the connection set-up.
	Timeout time.Duration
	// ResolveTimeout bounds the time that Transact spends on finding out the result of an operation with a lost answer.
	ResolveTimeout time.Duration
	// ResolveBackoff is the pause before the second look at such an operation. It doubles up to ten times its value.
	ResolveBackoff time.Duration
	// MaxConnections bounds the open connections to the platform.
	MaxConnections int
	// MaxIdleTime closes a connection that was not used for that long.
	MaxIdleTime time.Duration
	// MaxResponseBytes bounds an answer in bytes.
	MaxResponseBytes int
	// Breaker decides when calls fail at once.
	Breaker BreakerConfig
	// Clock tells the time of the breaker and of the deadlines.
	Clock medlarwheel.Clock
	// Random spreads pauses and probes. The client guards it with a lock.
	Random *rand.Rand
}

const (
	defaultTimeout        = time.Second
	defaultResolveTimeout = 3 * time.Second
	defaultResolveBackoff = 20 * time.Millisecond
	defaultMaxConnections = 64
	// Shorter than the idle time-out of common servers, so that the client closes first and no request meets a closing
	// connection.
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
