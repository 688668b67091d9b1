package medlarlease

import "medlarwheel"

// Reading is a moment on the monotonic clock of a worker's agent. Deadlines of task leases are readings, so that they
// mean the same however long a message was on its way.
type Reading struct {
	// Incarnation counts the starts of the agent. Zero names no moment.
	Incarnation medlarwheel.Incarnation `json:"incarnation"`
	Uptime      medlarwheel.Duration    `json:"uptime"`
}

// IsZero reports whether r names no moment.
func (r Reading) IsZero() bool { return r == Reading{} }

// Before reports whether r is before o. A moment of an earlier incarnation is before all of a later one.
func (r Reading) Before(o Reading) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation < o.Incarnation
	}
	return r.Uptime < o.Uptime
}

// ReadingOf returns the agent's clock as the report states it.
func ReadingOf(report *medlarwheel.TaskReport) Reading {
	return Reading{Incarnation: report.Incarnation, Uptime: report.Uptime}
}
