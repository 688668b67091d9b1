package medlarplatform

import (
	"math/rand/v2"
	"time"
)

// BreakerConfig holds the settings of a Breaker.
type BreakerConfig struct {
	// FailureThreshold is the number of consecutive failures that opens the breaker.
	FailureThreshold int
	// MinBackoff is the pause before the first probe of an open breaker.
	MinBackoff time.Duration
	// MaxBackoff bounds the pause, which doubles with every failed probe.
	MaxBackoff time.Duration
}

// DefaultBreakerConfig opens after 3 failures and probes every 100 ms to 2 s.
func DefaultBreakerConfig() BreakerConfig {
	return BreakerConfig{FailureThreshold: 3, MinBackoff: 100 * time.Millisecond, MaxBackoff: 2 * time.Second}
}

// Breaker decides whether a call may be sent to a peer that has failed repeatedly. It reads no clock and takes no lock.
// Each call that Allow lets through must be followed by one Success, Failure or Abandon.
type Breaker struct {
	config              BreakerConfig
	consecutiveFailures int
	open                bool
	probing             bool
	backoff             time.Duration
	nextProbe           time.Time
}

// NewBreaker returns a closed breaker.
func NewBreaker(config BreakerConfig) *Breaker { return &Breaker{config: config} }

// Allow reports whether a call may be sent. While the breaker is open it allows one probe at a time.
func (b *Breaker) Allow(now time.Time) bool {
	if !b.open {
		return true
	}
	if b.probing || now.Before(b.nextProbe) {
		return false
	}
	b.probing = true
	return true
}

// RetryAfter returns the time until the next probe, or the least pause while a probe runs.
func (b *Breaker) RetryAfter(now time.Time) time.Duration {
	if !b.open {
		return 0
	}
	return max(b.nextProbe.Sub(now), b.config.MinBackoff)
}

// Success closes the breaker.
func (b *Breaker) Success() { *b = Breaker{config: b.config} }

// Abandon ends a call that was not sent for a reason of the caller's own, which tells nothing about the peer.
func (b *Breaker) Abandon() { b.probing = false }

// Failure counts a failed call. A failure of a call that was sent before the breaker opened does not postpone the probe.
func (b *Breaker) Failure(now time.Time, random *rand.Rand) {
	b.consecutiveFailures++
	switch {
	case b.open && !b.probing:
		return
	case b.open:
		b.backoff = min(2*b.backoff, b.config.MaxBackoff)
	case b.consecutiveFailures < b.config.FailureThreshold:
		return
	default:
		b.backoff = b.config.MinBackoff
	}
	b.open, b.probing = true, false
	b.nextProbe = now.Add(jitter(b.backoff, random))
}

// jitter spreads d over half to one and a half times its value, so that instances do not probe together.
func jitter(d time.Duration, random *rand.Rand) time.Duration {
	return d/2 + time.Duration(random.Int64N(int64(d)+1))
}
