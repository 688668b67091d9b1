package medlarplacement

import "time"

// rateWindow is the length of the sliding window of a rateLimiter.
const rateWindow = time.Minute

// rateLimiter allows a number of events in any window of one minute. It stores the time of each event that it allows in
// a window.
type rateLimiter struct {
	// times is a ring buffer of the times of the last events.
	times []time.Time
	// next is the index of the oldest time, which the next event replaces.
	next int
}

func newRateLimiter(perMinute int) rateLimiter {
	return rateLimiter{times: make([]time.Time, max(0, perMinute))}
}

// allows reports whether one more event may happen now.
func (l *rateLimiter) allows(now time.Time) bool {
	if len(l.times) == 0 {
		return false
	}
	oldest := l.times[l.next]
	return oldest.IsZero() || now.Sub(oldest) >= rateWindow
}

// record counts an event. The caller must have checked allows.
func (l *rateLimiter) record(now time.Time) {
	l.times[l.next] = now
	l.next = (l.next + 1) % len(l.times)
}
