package medlarcell

import (
	"time"

	"medlarwheel"
)

// silence tells whether a worker, or a whole data centre, has stopped answering. Only an order shows it: renewals may wait
// for their answers on purpose.
type silence struct {
	// askedAt is when the first order since the last answer was sent. Zero means that none was.
	askedAt time.Time
}

func (s *silence) asked(now time.Time) {
	if s.askedAt.IsZero() {
		s.askedAt = now
	}
}

func (s *silence) answered() { s.askedAt = time.Time{} }

func (s *silence) isSilent(now time.Time, timeout time.Duration) bool {
	return !s.askedAt.IsZero() && now.Sub(s.askedAt) >= timeout
}

// asked notes an order to a worker.
func (c *Cell) asked(now time.Time, w *worker) {
	w.silence.asked(now)
	w.centre.asked(now)
}

// heard notes an answer of a worker, with its clock if the answer has one.
func (c *Cell) heard(now time.Time, w *worker, clock time.Duration) {
	w.heard(now, clock)
	w.silence.answered()
	w.centre.answered()
	c.misses.changed(w)
}

// isSilent reports whether a worker, or all workers of its data centre, owe the answer to an order for so long that they
// get no new tasks until one answers. A task that is sent into a partition is stuck there until its lease ends.
func (w *worker) isSilent(now time.Time, c *Config) bool {
	return w.silence.isSilent(now, c.SilenceTimeout) || w.centre.isSilent(now, c.SilenceTimeout)
}

// centres holds the silence of each data centre.
type centres map[medlarwheel.DataCentreID]*silence

func (m centres) of(id medlarwheel.DataCentreID) *silence {
	s := m[id]
	if s == nil {
		s = &silence{}
		m[id] = s
	}
	return s
}
