package medlarplacement

import "time"

// budgetWindow is the time over which a budget counts.
const budgetWindow = time.Minute

// budget allows a number of events in any window of one minute. It remembers as many times as it allows events.
type budget struct {
	// times is a ring of the last events.
	times []time.Time
	next  int
}

func newBudget(perMinute int) budget { return budget{times: make([]time.Time, max(0, perMinute))} }

// allows reports whether one more event may happen now.
func (b *budget) allows(now time.Time) bool {
	if len(b.times) == 0 {
		return false
	}
	oldest := b.times[b.next]
	return oldest.IsZero() || now.Sub(oldest) >= budgetWindow
}

// spend records an event. The caller has asked allows.
func (b *budget) spend(now time.Time) {
	b.times[b.next] = now
	b.next = (b.next + 1) % len(b.times)
}
