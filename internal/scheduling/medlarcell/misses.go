package medlarcell

import (
	"time"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/scheduling/medlarrank"
)

// sweepInterval is how often all workers are looked at again for steps that have found no room. Between that, only workers
// are that have changed: what changes for all workers at once, such as learnt pressures, does so over seconds.
const sweepInterval = 250 * time.Millisecond

// shape is what steps have in common that fit the same workers, but for their size.
type shape struct {
	service  medlarwheel.ServiceName
	image    string
	fills    bool
	requires string
}

// miss remembers that a step has found no room, so that neither it nor a step that asks for more is tried again on the same
// workers. Steps of one shape share it.
type miss struct {
	// sweep is the sweep in which the step was tried. The miss means nothing in others.
	sweep uint64
	size  medlarsubmission.Size
	hope  medlarrank.Timeliness
	// seen is the number of changes of workers that the step has seen.
	seen int
}

// maxShapes bounds the shapes that are remembered, since new images come without end.
const maxShapes = 1000

// misses holds what is known about steps without room.
type misses struct {
	byShape map[shape]*miss
	// sweep counts the sweeps from 1, and sweptAt is when the last one began.
	sweep   uint64
	sweptAt time.Time
	// changes lists the workers that have changed since the sweep began, oldest first.
	changes []*worker
	// lastPass and thisPass are the numbers of changes at the start of the last two passes.
	lastPass, thisPass int
}

func newMisses() misses { return misses{byShape: map[shape]*miss{}} }

// begin begins a pass of placement.
func (m *misses) begin(now time.Time) {
	if now.Sub(m.sweptAt) >= sweepInterval {
		m.forget()
		m.sweptAt = now
	}
	m.lastPass, m.thisPass = m.thisPass, len(m.changes)
}

// forget drops what is known.
func (m *misses) forget() {
	m.sweep++
	if len(m.byShape) > maxShapes {
		// Waiting steps keep theirs.
		m.byShape = map[shape]*miss{}
	}
	m.changes = m.changes[:0]
	m.lastPass, m.thisPass = 0, 0
}

// changed notes a worker that may have more room than before, or that may be usable again.
func (m *misses) changed(w *worker) {
	if n := len(m.changes); n == 0 || m.changes[n-1] != w {
		m.changes = append(m.changes, w)
	}
}

// of returns the miss that a step shares. What limits the spread of a step, and a gang, say nothing about other steps.
func (m *misses) of(s *step) *miss {
	if s.spec.MaxPerWorker > 0 || s.spec.Gang {
		return &miss{}
	}
	key := shape{service: s.occurrence.job.submission.Service, image: s.spec.Image, fills: s.spec.Fills, requires: s.spec.Requires}
	shared := m.byShape[key]
	if shared == nil {
		shared = &miss{}
		m.byShape[key] = shared
	}
	return shared
}

// covers reports whether a step that asks for no less than s has found no room before.
func (m *miss) covers(s *step, sweep uint64) bool {
	return m.sweep == sweep && m.size.Fits(s.spec.Size) && s.rank.Timeliness >= m.hope
}

// record notes that a step has found no room on any worker.
func (m *misses) record(s *step) {
	if len(s.tasks[s.ready[0]].runs) > 0 {
		// A copy may not run where the first one does, which says nothing about other tasks.
		return
	}
	known := s.miss
	// A miss of a step that asks for less says more, as long as that step is still being tried.
	isCurrent := known.sweep == m.sweep && known.seen >= m.lastPass
	asksLess := s.spec.Size.Fits(known.size) && s.rank.Timeliness <= known.hope
	if isCurrent && !asksLess {
		return
	}
	*known = miss{sweep: m.sweep, size: s.spec.Size, hope: s.rank.Timeliness, seen: len(m.changes)}
}

// since returns the usable workers that have changed since a miss, each once.
func (c *Cell) since(now time.Time, seen int) []*worker {
	c.changedSince = c.changedSince[:0]
	c.mark++
	for _, w := range c.misses.changes[seen:] {
		if w.mark != c.mark && w.isUsable(now, &c.config) {
			w.mark = c.mark
			c.changedSince = append(c.changedSince, w)
		}
	}
	return c.changedSince
}
