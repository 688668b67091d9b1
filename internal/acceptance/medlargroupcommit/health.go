package medlargroupcommit

import (
	"sync"
	"time"

	"medlarwheel"
)

// TableHealth records whether recent calls to the table had a response.
type TableHealth struct {
	clock                    medlarwheel.Clock
	mu                       sync.Mutex
	lastSuccess, lastFailure time.Time
}

// NewTableHealth returns the health of a table that has not been called yet.
func NewTableHealth(clock medlarwheel.Clock) *TableHealth { return &TableHealth{clock: clock} }

// Report records whether a call had a response.
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

// LastSuccess returns the time of the last response of the table.
func (h *TableHealth) LastSuccess() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastSuccess
}

// HasFailed reports whether the last reported call had no response. Requests are then refused at once, and the table is
// probed in the background until it responds.
func (h *TableHealth) HasFailed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastFailure.After(h.lastSuccess)
}
