package medlargroupcommit

import (
	"sync"
	"time"

	"medlarwheel"
)

// TableHealth tells whether the table has answered lately.
type TableHealth struct {
	clock                    medlarwheel.Clock
	mu                       sync.Mutex
	lastSuccess, lastFailure time.Time
}

// NewTableHealth returns the health of a table that has not been tried yet.
func NewTableHealth(clock medlarwheel.Clock) *TableHealth { return &TableHealth{clock: clock} }

// Report takes in whether a call was answered.
func (h *TableHealth) Report(ok bool) {
	now := h.clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if ok {
		h.lastSuccess = now
	} else {
		h.lastFailure = now
	}
}

// LastSuccess returns when the table last answered.
func (h *TableHealth) LastSuccess() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastSuccess
}

// HasFailed reports whether the last call of which the outcome is known has failed. Requests are then refused at once, and
// the table is asked in the background until it answers.
func (h *TableHealth) HasFailed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastFailure.After(h.lastSuccess)
}
