package medlarlease

import (
	"time"

	"medlarwheel"
)

// Observer tracks a lease that another process holds, by reading the row that the holder renews.
type Observer struct {
	version medlarwheel.RowVersion
	// unchangedSince is when the current version was first seen.
	unchangedSince time.Time
	// continuousSince is like unchangedSince, but restarts when the interval between two reads is too long.
	continuousSince time.Time
	// lastSentAt and lastDoneAt are when the latest read was sent and when its response arrived.
	lastSentAt, lastDoneAt time.Time
}

// Observe records a read of the row that was sent at sentAt and whose response arrived at doneAt. A time of more than
// maxInterval between two reads restarts the count of Expired.
func (o *Observer) Observe(version medlarwheel.RowVersion, sentAt, doneAt time.Time, maxInterval time.Duration) {
	switch {
	case version != o.version || o.lastDoneAt.IsZero():
		o.version, o.unchangedSince, o.continuousSince = version, doneAt, doneAt
	case sentAt.Sub(o.lastDoneAt) > maxInterval:
		o.continuousSince = doneAt
	}
	if sentAt.After(o.lastSentAt) {
		o.lastSentAt = sentAt
	}
	if doneAt.After(o.lastDoneAt) {
		o.lastDoneAt = doneAt
	}
}

// Expired reports whether the lease has expired, so that its holder no longer acts: a read sent at least term+margin after
// the last renewal was first seen still returned that renewal.
func (o *Observer) Expired(term, margin time.Duration) bool {
	return !o.continuousSince.IsZero() && o.lastSentAt.Sub(o.continuousSince) >= term+margin
}

// Unresponsive is like Expired, but ignores the time between reads. It shows that the lease has expired by the holder's own
// clock, not that the holder has failed.
func (o *Observer) Unresponsive(term, margin time.Duration) bool {
	return !o.unchangedSince.IsZero() && o.lastSentAt.Sub(o.unchangedSince) >= term+margin
}
