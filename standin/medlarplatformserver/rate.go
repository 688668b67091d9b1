package medlarplatformserver

import (
	"sync"
	"time"
)

// rateLimiter is a token bucket that holds at most one second's worth of calls. A rate of zero sets no cap.
type rateLimiter struct {
	mu      sync.Mutex
	rate    float64
	tokens  float64
	updated time.Time
}

func newRateLimiter(perSecond int, now time.Time) *rateLimiter {
	return &rateLimiter{rate: float64(perSecond), tokens: float64(perSecond), updated: now}
}

// allow reports whether a call may proceed, or else the time until the next one may.
func (r *rateLimiter) allow(now time.Time) (time.Duration, bool) {
	if r.rate == 0 {
		return 0, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = min(r.rate, r.tokens+now.Sub(r.updated).Seconds()*r.rate)
	r.updated = now
	if r.tokens < 1 {
		return time.Duration((1 - r.tokens) / r.rate * float64(time.Second)), false
	}
	r.tokens--
	return 0, true
}
