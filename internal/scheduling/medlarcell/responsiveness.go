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

func (s *responsiveness) orderSent(now time.Time) {
	if s.unansweredSince.IsZero() {
		s.unansweredSince = now
	}
}

func (s *responsiveness) responseReceived() { s.unansweredSince = time.Time{} }

func (s *responsiveness) isUnresponsive(now time.Time, timeout time.Duration) bool {
	return !s.unansweredSince.IsZero() && now.Sub(s.unansweredSince) >= timeout
}

// orderSent records that an order was sent to a worker.
func (c *Cell) orderSent(now time.Time, w *worker) {
	w.responsiveness.orderSent(now)
	w.centreResponsiveness.orderSent(now)
}

// responseReceived records a response of a worker, with its clock if the response has one.
func (c *Cell) responseReceived(now time.Time, w *worker, clock time.Duration) {
	w.recordResponse(now, clock)
	w.responsiveness.responseReceived()
	w.centreResponsiveness.responseReceived()
	c.failureCache.workerChanged(w)
}

// isUnresponsive reports whether the worker, or all workers of its data centre, have owed the response to an order for
// so long that they get no new tasks until one responds. A task that is sent into a network partition is blocked there
// until its lease ends.
func (w *worker) isUnresponsive(now time.Time, c *Config) bool {
	return w.responsiveness.isUnresponsive(now, c.ResponseTimeout) || w.centreResponsiveness.isUnresponsive(now, c.ResponseTimeout)
}

// centreResponsiveness holds the responsiveness of each data centre.
type centreResponsiveness map[medlarwheel.DataCentreID]*responsiveness

func (m centreResponsiveness) of(id medlarwheel.DataCentreID) *responsiveness {
	s := m[id]
	if s == nil {
		s = &responsiveness{}
		m[id] = s
	}
	return s
}
