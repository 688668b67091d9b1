package medlarplatformserver

import (
	"sync"
	"time"
)

// rateLimiter is a token bucket with a capacity of one second's calls. A rate of zero means no limit.
type rateLimiter struct {
	mu      sync.Mutex
	rate    float64
	tokens  float64
	updated time.Time
}

func newRateLimiter(perSecond int, now time.Time) *rateLimiter {
	return &rateLimiter{rate: float64(perSecond), tokens: float64(perSecond), updated: now}
}

// allow reports whether a call may proceed. If not, it returns the time until the next call may.
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
