package medlarlease

import "time"

// Holder is the holder's side of a lease.
type Holder struct {
	term       time.Duration
	heldSince  time.Time
	renewedAt  time.Time
	latestTime time.Time
}

// NewHolder returns a holder without a lease.
func NewHolder(term time.Duration) Holder { return Holder{term: term} }

// RecordRenewal records a renewal that took effect. sentAt is the time just before it was sent, because the other side may
// have seen it at any time after that.
func (h *Holder) RecordRenewal(sentAt time.Time) {
	if !sentAt.After(h.renewedAt) {
		return
	}
	if h.renewedAt.IsZero() || !sentAt.Before(h.renewedAt.Add(h.term)) {
		h.heldSince = sentAt
	}
	h.renewedAt = sentAt
}

// MayAct reports whether the lease holds at now. A time earlier than one seen before counts as the later one, so that
// a caller that was paused with an old time in hand gains nothing.
func (h *Holder) MayAct(now time.Time) bool {
	return !h.renewedAt.IsZero() && h.advanceTime(now).Before(h.renewedAt.Add(h.term))
}

// HeldSince returns when the unbroken tenure began. What was read before it may have changed while the lease had lapsed.
func (h *Holder) HeldSince() time.Time { return h.heldSince }

// Release gives the lease up.
func (h *Holder) Release() { h.renewedAt, h.heldSince = time.Time{}, time.Time{} }

func (h *Holder) advanceTime(now time.Time) time.Time {
	if now.After(h.latestTime) {
		h.latestTime = now
	}
	return h.latestTime
}
