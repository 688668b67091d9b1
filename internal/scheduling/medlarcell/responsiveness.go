package medlarcell

import (
	"time"

	"medlarwheel"
)

// responsiveness detects that a worker, or a whole data centre, has stopped responding. It tracks orders only: responses
// to renewals may be delayed on purpose.
type responsiveness struct {
	// unansweredSince is when the first order since the last response was sent. Zero means that none was.
	unansweredSince time.Time
}

func (s *responsiveness) recordOrder(now time.Time) {
	if s.unansweredSince.IsZero() {
		s.unansweredSince = now
	}
}

func (s *responsiveness) recordResponse() { s.unansweredSince = time.Time{} }

func (s *responsiveness) isUnresponsive(now time.Time, timeout time.Duration) bool {
	return !s.unansweredSince.IsZero() && now.Sub(s.unansweredSince) >= timeout
}

// recordOrder records that an order was sent to a worker.
func (c *Cell) recordOrder(now time.Time, w *worker) {
	w.responsiveness.recordOrder(now)
	w.centreResponsiveness.recordOrder(now)
}

// recordResponse records a response of a worker, with its clock if the response has one.
func (c *Cell) recordResponse(now time.Time, w *worker, clock time.Duration) {
	w.recordContact(now, clock)
	w.responsiveness.recordResponse()
	w.centreResponsiveness.recordResponse()
	c.failureCache.workerChanged(w)
}

// isUnresponsive reports whether the worker, or all workers of its data centre, have owed the response to an order for
// so long that they get no new tasks until one responds. A task that is sent into a network partition is blocked there
// until its lease ends.
func (w *worker) isUnresponsive(now time.Time, c *Config) bool {
	return w.responsiveness.isUnresponsive(now, c.ResponseTimeout) || w.centreResponsiveness.isUnresponsive(now, c.ResponseTimeout)
}

// responsivenessMap holds the responsiveness of each data centre.
type responsivenessMap map[medlarwheel.DataCentreID]*responsiveness

func (m responsivenessMap) of(id medlarwheel.DataCentreID) *responsiveness {
	s := m[id]
	if s == nil {
		s = &responsiveness{}
		m[id] = s
	}
	return s
}
