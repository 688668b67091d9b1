package medlarlease

import "medlarwheel"

// ClockReading is a time on the monotonic clock of a worker's agent. Deadlines of task leases are clock readings, so that
// the transit time of a message does not shift them.
type ClockReading struct {
	// Incarnation counts the starts of the agent. It is zero if the reading is not set.
	Incarnation medlarwheel.Incarnation `json:"incarnation"`
	Uptime      medlarwheel.Duration    `json:"uptime"`
}

// IsZero reports whether r is not set.
func (r ClockReading) IsZero() bool { return r == ClockReading{} }

// Before reports whether r is before o. All readings of an incarnation are before those of later ones.
func (r ClockReading) Before(o ClockReading) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation < o.Incarnation
	}
	return r.Uptime < o.Uptime
}

// ClockReadingOf returns the agent's clock reading from the report.
func ClockReadingOf(report *medlarwheel.TaskReport) ClockReading {
	return ClockReading{Incarnation: report.Incarnation, Uptime: report.Uptime}
}
