package medlarplacement

import "time"

// rateWindow is the time over which a budget counts.
const rateWindow = time.Minute

// rateLimiter allows a number of events in any window of one minute. It remembers as many times as it allows events.
type rateLimiter struct {
	// times is a ring of the last events.
	times []time.Time
	next  int
}

func newRateLimiter(perMinute int) rateLimiter {
	return rateLimiter{times: make([]time.Time, max(0, perMinute))}
}

// allows reports whether one more event may happen now.
func (b *rateLimiter) allows(now time.Time) bool {
	if len(b.times) == 0 {
		return false
	}
	oldest := b.times[b.next]
	return oldest.IsZero() || now.Sub(oldest) >= rateWindow
}

// record records an event. The caller has asked allows.
func (b *rateLimiter) record(now time.Time) {
	b.times[b.next] = now
	b.next = (b.next + 1) % len(b.times)
}
