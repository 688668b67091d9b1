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
	// watchedSince is the same, but restarts after a gap in the reads.
	watchedSince time.Time
	// lastSent and lastDone are when the latest read was sent and answered.
	lastSent, lastDone time.Time
}

// Observe records a read of the row, sent at sentAt and answered at doneAt.
func (o *Observer) Observe(version medlarwheel.RowVersion, sentAt, doneAt time.Time, maxGap time.Duration) {
	switch {
	case version != o.version || o.lastDone.IsZero():
		o.version, o.unchangedSince, o.watchedSince = version, doneAt, doneAt
	case sentAt.Sub(o.lastDone) > maxGap:
		o.watchedSince = doneAt
	}
	if sentAt.After(o.lastSent) {
		o.lastSent = sentAt
	}
	if doneAt.After(o.lastDone) {
		o.lastDone = doneAt
	}
}

// RunOut reports whether a holder with the term can no longer act: a read sent at least term and margin after the last
// renewal was first seen still found that renewal.
func (o *Observer) RunOut(term, margin time.Duration) bool {
	return !o.watchedSince.IsZero() && o.lastSent.Sub(o.watchedSince) >= term+margin
}

// Silent reports the same as RunOut without regard to gaps between the reads. It tells that a holder has stopped by its
// own count, not that the holder is dead.
func (o *Observer) Silent(term, margin time.Duration) bool {
	return !o.unchangedSince.IsZero() && o.lastSent.Sub(o.unchangedSince) >= term+margin
}
