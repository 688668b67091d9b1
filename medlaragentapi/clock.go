package medlaragentapi

import (
	"time"

	"medlarwheel"
)

// ClockReading is a reading of the monotonic clock of an agent.
type ClockReading struct {
	// Incarnation identifies the start of the agent. Readings of different incarnations cannot be compared.
	Incarnation medlarwheel.Incarnation `json:"incarnation"`
	// Uptime is the time since that start.
	Uptime medlarwheel.Duration `json:"now"`
}

// ClockEstimator estimates an agent's clock from the clock readings in its responses. It reads no clock and takes no lock.
type ClockEstimator struct {
	known      bool
	reading    ClockReading
	receivedAt time.Time
}

// Observe records the clock reading of a response received at a time. A reading of an older incarnation, and one that
// would make the estimate less accurate, is ignored.
func (e *ClockEstimator) Observe(receivedAt time.Time, reading ClockReading) {
	if e.known && reading.Incarnation < e.reading.Incarnation {
		return
	}
	if current, ok := e.At(receivedAt); ok && reading.Incarnation == current.Incarnation && reading.Uptime <= current.Uptime {
		return
	}
	e.known, e.reading, e.receivedAt = true, reading, receivedAt
}

// At returns a reading that is no later than the agent's clock at t. It assumes that both clocks run at the same rate; the
// safety margin of the owner covers the difference. It returns false if t is before the receipt of the observed reading or
// if there is none.
func (e *ClockEstimator) At(t time.Time) (ClockReading, bool) {
	if !e.known || t.Before(e.receivedAt) {
		return ClockReading{}, false
	}
	// The agent read its clock before the response was received, so its clock shows at least this time.
	return ClockReading{Incarnation: e.reading.Incarnation, Uptime: e.reading.Uptime + medlarwheel.Duration(t.Sub(e.receivedAt))}, true
}
