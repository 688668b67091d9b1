package medlaragentapi

import (
	"time"

	"medlarwheel"
)

// ClockReading is a reading of an agent's clock.
type ClockReading struct {
	// Incarnation names the start of the agent. Readings of different incarnations cannot be compared.
	Incarnation medlarwheel.Incarnation `json:"incarnation"`
	// Uptime is the time since that start.
	Uptime medlarwheel.Duration `json:"now"`
}

// ClockEstimator tells an agent's clock from the stamps of its answers. It reads no clock and takes no lock.
type ClockEstimator struct {
	known      bool
	reading    ClockReading
	receivedAt time.Time
}

// Observe takes note of a stamp that came with an answer received at a time. A stamp of an older incarnation, and one
// that makes the estimate less exact, is ignored.
func (e *ClockEstimator) Observe(received time.Time, stamp ClockReading) {
	if e.known && stamp.Incarnation < e.reading.Incarnation {
		return
	}
	if present, ok := e.At(received); ok && stamp.Incarnation == present.Incarnation && stamp.Uptime <= present.Uptime {
		return
	}
	e.known, e.reading, e.receivedAt = true, stamp, received
}

// At returns a stamp that is no later than the agent's clock at t. It assumes that both clocks run at the same rate; the
// owner's margin covers the difference. It reports false before the first observation.
func (e *ClockEstimator) At(t time.Time) (ClockReading, bool) {
	if !e.known || t.Before(e.receivedAt) {
		return ClockReading{}, false
	}
	// The agent read its clock before the answer was received, so its clock is at least this far on.
	return ClockReading{Incarnation: e.reading.Incarnation, Uptime: e.reading.Uptime + medlarwheel.Duration(t.Sub(e.receivedAt))}, true
}
