package medlarcell

import (
	"time"

	"medlarwheel"
)

// responsiveness tells whether a worker, or a whole data centre, has stopped answering. Only an order shows it: renewals may wait
// for their answers on purpose.
type responsiveness struct {
	// unansweredSince is when the first order since the last answer was sent. Zero means that none was.
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

// orderSent notes an order to a worker.
func (c *Cell) orderSent(now time.Time, w *worker) {
	w.responsiveness.orderSent(now)
	w.centreResponsiveness.orderSent(now)
}

// responseReceived notes an answer of a worker, with its clock if the answer has one.
func (c *Cell) responseReceived(now time.Time, w *worker, clock time.Duration) {
	w.recordResponse(now, clock)
	w.responsiveness.responseReceived()
	w.centreResponsiveness.responseReceived()
	c.failureCache.workerChanged(w)
}

// isUnresponsive reports whether a worker, or all workers of its data centre, owe the answer to an order for so long that they
// get no new tasks until one answers. A task that is sent into a partition is stuck there until its lease ends.
func (w *worker) isUnresponsive(now time.Time, c *Config) bool {
	return w.responsiveness.isUnresponsive(now, c.ResponseTimeout) || w.centreResponsiveness.isUnresponsive(now, c.ResponseTimeout)
}

// centreResponsiveness holds the silence of each data centre.
type centreResponsiveness map[medlarwheel.DataCentreID]*responsiveness

func (m centreResponsiveness) of(id medlarwheel.DataCentreID) *responsiveness {
	s := m[id]
	if s == nil {
		s = &responsiveness{}
		m[id] = s
	}
	return s
}
