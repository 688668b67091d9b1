package medlaragentapi

import (
	"time"

	"medlarwheel"
)

// Stamp is a reading of an agent's clock.
type Stamp struct {
	// Incarnation names the start of the agent. Readings of different incarnations cannot be compared.
	Incarnation medlarwheel.Incarnation `json:"incarnation"`
	// Now is the time since that start.
	Now medlarwheel.Duration `json:"now"`
}

// Estimate tells an agent's clock from the stamps of its answers. It reads no clock and takes no lock.
type Estimate struct {
	known    bool
	stamp    Stamp
	received time.Time
}

// Observe takes note of a stamp that came with an answer received at a time. A stamp of an older incarnation, and one
// that makes the estimate less exact, is ignored.
func (e *Estimate) Observe(received time.Time, stamp Stamp) {
	if e.known && stamp.Incarnation < e.stamp.Incarnation {
		return
	}
	if present, ok := e.At(received); ok && stamp.Incarnation == present.Incarnation && stamp.Now <= present.Now {
		return
	}
	e.known, e.stamp, e.received = true, stamp, received
}

// At returns a stamp that is no later than the agent's clock at t. It assumes that both clocks run at the same rate; the
// owner's margin covers the difference. It reports false before the first observation.
func (e *Estimate) At(t time.Time) (Stamp, bool) {
	if !e.known || t.Before(e.received) {
		return Stamp{}, false
	}
	// The agent read its clock before the answer was received, so its clock is at least this far on.
	return Stamp{Incarnation: e.stamp.Incarnation, Now: e.stamp.Now + medlarwheel.Duration(t.Sub(e.received))}, true
}
