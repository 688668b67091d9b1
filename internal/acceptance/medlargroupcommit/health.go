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
	// failingSince is when the first call without a response since the last success was reported, and changed is closed when
	// HasFailed changes.
	failingSince time.Time
	changed      chan struct{}
}

// NewTableHealth returns the health of a table that has not been called yet.
func NewTableHealth(clock medlarwheel.Clock) *TableHealth {
	return &TableHealth{clock: clock, changed: make(chan struct{})}
}

// Report records whether a call had a response.
func (h *TableHealth) Report(ok bool) {
	now := h.clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	hadFailed := h.hasFailed()
	if ok {
		h.lastSuccess = now
	} else {
		h.lastFailure = now
	}
	if h.hasFailed() == hadFailed {
		return
	}
	if !hadFailed {
		h.failingSince = now
	}
	close(h.changed)
	h.changed = make(chan struct{})
}

// Outage reports whether the last reported call had no response, and since when no call has had one. The channel is closed when
// this changes.
func (h *TableHealth) Outage() (since time.Time, failing bool, changed <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failingSince, h.hasFailed(), h.changed
}

// LastSuccess returns the time of the last response of the table.
func (h *TableHealth) LastSuccess() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastSuccess
}

// HasFailed reports whether the last reported call had no response. Requests are then not sent to the table, which is probed in the
// background until it responds.
func (h *TableHealth) HasFailed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hasFailed()
}

func (h *TableHealth) hasFailed() bool { return h.lastFailure.After(h.lastSuccess) }
