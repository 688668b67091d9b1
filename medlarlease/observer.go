package medlarlease

import (
	"time"

	"medlarwheel"
)

// Observer is another party's view of a lease: the row that the holder renews.
type Observer struct {
	version medlarwheel.RowVersion
	// unchangedSince is when the current version was first seen.
	unchangedSince time.Time
	// continuousSince is the same, but restarts after a gap in the reads.
	continuousSince time.Time
	// lastSentAt and lastDone are when the latest read was sent and answered.
	lastSentAt, lastDoneAt time.Time
}

// Observe records a read of the row, sent at sentAt and answered at doneAt.
func (o *Observer) Observe(version medlarwheel.RowVersion, sentAt, doneAt time.Time, maxGap time.Duration) {
	switch {
	case version != o.version || o.lastDoneAt.IsZero():
		o.version, o.unchangedSince, o.continuousSince = version, doneAt, doneAt
	case sentAt.Sub(o.lastDoneAt) > maxGap:
		o.continuousSince = doneAt
	}
	if sentAt.After(o.lastSentAt) {
		o.lastSentAt = sentAt
	}
	if doneAt.After(o.lastDoneAt) {
		o.lastDoneAt = doneAt
	}
}

// Expired reports whether a holder with the term can no longer act: a read sent at least term and margin after the last
// renewal was first seen still found that renewal.
func (o *Observer) Expired(term, margin time.Duration) bool {
	return !o.continuousSince.IsZero() && o.lastSentAt.Sub(o.continuousSince) >= term+margin
}

// Unresponsive reports the same as RunOut without regard to gaps between the reads. It tells that a holder has stopped by its
// own count, not that the holder is dead.
func (o *Observer) Unresponsive(term, margin time.Duration) bool {
	return !o.unchangedSince.IsZero() && o.lastSentAt.Sub(o.unchangedSince) >= term+margin
}
