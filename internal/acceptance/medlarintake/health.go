package medlarintake

import (
	"sync"
	"time"

	"medlarwheel"
)

// Health tells whether the table has answered lately.
type Health struct {
	clock          medlarwheel.Clock
	mu             sync.Mutex
	lastOK, lastNo time.Time
}

// NewHealth returns the health of a table that has not been tried yet.
func NewHealth(clock medlarwheel.Clock) *Health { return &Health{clock: clock} }

// Report takes in whether a call was answered.
func (h *Health) Report(ok bool) {
	now := h.clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if ok {
		h.lastOK = now
	} else {
		h.lastNo = now
	}
}

// LastOK returns when the table last answered.
func (h *Health) LastOK() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastOK
}

// HasFailed reports whether the last call of which the outcome is known has failed. Requests are then refused at once, and
// the table is asked in the background until it answers.
func (h *Health) HasFailed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastNo.After(h.lastOK)
}
