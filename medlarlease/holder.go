package medlarlease

import "time"

// Holder tracks a lease on the side of its holder.
type Holder struct {
	term time.Duration
	// heldSince is when the current uninterrupted holding of the lease began.
	heldSince time.Time
	renewedAt time.Time
	// latestTime is the latest time that a caller has passed.
	latestTime time.Time
}

// NewHolder returns a holder without a lease.
func NewHolder(term time.Duration) Holder { return Holder{term: term} }

// RecordRenewal records a successful renewal. sentAt is the time just before it was sent: an observer may have seen the
// renewal at any time after that.
func (h *Holder) RecordRenewal(sentAt time.Time) {
	if !sentAt.After(h.renewedAt) {
		return
	}
	if h.renewedAt.IsZero() || !sentAt.Before(h.renewedAt.Add(h.term)) {
		h.heldSince = sentAt
	}
	h.renewedAt = sentAt
}

// MayAct reports whether the lease is valid at now. If an earlier call passed a later time, that time is used, so that a
// caller that was paused after reading the clock cannot act on an expired lease.
func (h *Holder) MayAct(now time.Time) bool {
	return !h.renewedAt.IsZero() && h.advanceTime(now).Before(h.renewedAt.Add(h.term))
}

// HeldSince returns when the current uninterrupted holding of the lease began. Data read before that time may have
// changed while the lease was expired.
func (h *Holder) HeldSince() time.Time { return h.heldSince }

// Release gives up the lease.
func (h *Holder) Release() { h.renewedAt, h.heldSince = time.Time{}, time.Time{} }

// advanceTime returns the latest time passed so far, including now.
func (h *Holder) advanceTime(now time.Time) time.Time {
	if now.After(h.latestTime) {
		h.latestTime = now
	}
	return h.latestTime
}
