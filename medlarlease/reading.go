package medlarlease

import "medlarwheel"

// ClockReading is a moment on the monotonic clock of a worker's agent. Deadlines of task leases are readings, so that they
// mean the same however long a message was on its way.
type ClockReading struct {
	// Incarnation counts the starts of the agent. Zero names no moment.
	Incarnation medlarwheel.Incarnation `json:"incarnation"`
	Uptime      medlarwheel.Duration    `json:"uptime"`
}

// IsZero reports whether r names no moment.
func (r ClockReading) IsZero() bool { return r == ClockReading{} }

// Before reports whether r is before o. A moment of an earlier incarnation is before all of a later one.
func (r ClockReading) Before(o ClockReading) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation < o.Incarnation
	}
	return r.Uptime < o.Uptime
}

// ClockReadingOf returns the agent's clock as the report states it.
func ClockReadingOf(report *medlarwheel.TaskReport) ClockReading {
	return ClockReading{Incarnation: report.Incarnation, Uptime: report.Uptime}
}
