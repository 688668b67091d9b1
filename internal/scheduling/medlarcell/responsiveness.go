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

func (r *responsiveness) recordOrder(now time.Time) {
	if r.unansweredSince.IsZero() {
		r.unansweredSince = now
	}
}

func (r *responsiveness) recordResponse() { r.unansweredSince = time.Time{} }

func (r *responsiveness) isUnresponsive(now time.Time, timeout time.Duration) bool {
	return !r.unansweredSince.IsZero() && now.Sub(r.unansweredSince) >= timeout
}

// recordOrder records that an order was sent to a worker.
func (c *Cell) recordOrder(now time.Time, w *worker) {
	w.responsiveness.recordOrder(now)
	w.centreResponsiveness.recordOrder(now)
}

// recordResponse records a response of a worker.
func (c *Cell) recordResponse(now time.Time, w *worker) {
	w.lastContact = now
	w.responsiveness.recordResponse()
	w.centreResponsiveness.recordResponse()
	c.failureCache.workerChanged(w)
}

// isUnresponsive reports whether the worker, or all workers of its data centre, have left an order without a response
// for so long that they get no new tasks until one responds. A task that is sent into a network partition is blocked
// there until its lease ends.
func (w *worker) isUnresponsive(now time.Time, c *Config) bool {
	return w.responsiveness.isUnresponsive(now, c.ResponseTimeout) || w.centreResponsiveness.isUnresponsive(now, c.ResponseTimeout)
}

// responsivenessMap holds the responsiveness of each data centre.
type responsivenessMap map[medlarwheel.DataCentreID]*responsiveness

func (m responsivenessMap) of(id medlarwheel.DataCentreID) *responsiveness {
	r := m[id]
	if r == nil {
		r = &responsiveness{}
		m[id] = r
	}
	return r
}
