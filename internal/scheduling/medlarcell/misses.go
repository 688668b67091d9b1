package medlarcell

import (
	"time"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/scheduling/medlarrank"
)

// fullScanInterval is how often all workers are looked at again for steps that have found no room. Between that, only workers
// are that have changed: what changes for all workers at once, such as learnt pressures, does so over seconds.
const fullScanInterval = 250 * time.Millisecond

// placementClass is what steps have in common that fit the same workers, but for their size.
type placementClass struct {
	service    medlarwheel.ServiceName
	image      string
	bestEffort bool
	requires   string
}

// placementFailure remembers that a step has found no room, so that neither it nor a step that asks for more is tried again on the same
// workers. Steps of one shape share it.
type placementFailure struct {
	// scan is the sweep in which the step was tried. The miss means nothing in others.
	scan       uint64
	size       medlarsubmission.Size
	timeliness medlarrank.Timeliness
	// changesSeen is the number of changes of workers that the step has seen.
	changesSeen int
}

// maxPlacementClasses bounds the shapes that are remembered, since new images come without end.
const maxPlacementClasses = 1000

// placementFailureCache holds what is known about steps without room.
type placementFailureCache struct {
	byClass map[placementClass]*placementFailure
	// scan counts the sweeps from 1, and sweptAt is when the last one began.
	scan          uint64
	scanStartedAt time.Time
	// changes lists the workers that have changed since the sweep began, oldest first.
	changes []*worker
	// previousPassStart and thisPass are the numbers of changes at the start of the last two passes.
	previousPassStart, currentPassStart int
}

func newPlacementFailureCache() placementFailureCache {
	return placementFailureCache{byClass: map[placementClass]*placementFailure{}}
}

// beginPass begins a pass of placement.
func (m *placementFailureCache) beginPass(now time.Time) {
	if now.Sub(m.scanStartedAt) >= fullScanInterval {
		m.reset()
		m.scanStartedAt = now
	}
	m.previousPassStart, m.currentPassStart = m.currentPassStart, len(m.changes)
}

// reset drops what is known.
func (m *placementFailureCache) reset() {
	m.scan++
	if len(m.byClass) > maxPlacementClasses {
		// Waiting steps keep theirs.
		m.byClass = map[placementClass]*placementFailure{}
	}
	m.changes = m.changes[:0]
	m.previousPassStart, m.currentPassStart = 0, 0
}

// workerChanged notes a worker that may have more room than before, or that may be usable again.
func (m *placementFailureCache) workerChanged(w *worker) {
	if n := len(m.changes); n == 0 || m.changes[n-1] != w {
		m.changes = append(m.changes, w)
	}
}

// forStep returns the miss that a step shares. What limits the spread of a step, and a gang, say nothing about other steps.
func (m *placementFailureCache) forStep(s *step) *placementFailure {
	if s.spec.MaxPerWorker > 0 || s.spec.Gang {
		return &placementFailure{}
	}
	key := placementClass{service: s.occurrence.job.submission.Service, image: s.spec.Image, bestEffort: s.spec.BestEffort, requires: s.spec.RequiredLabel}
	shared := m.byClass[key]
	if shared == nil {
		shared = &placementFailure{}
		m.byClass[key] = shared
	}
	return shared
}

// appliesTo reports whether a step that asks for no less than s has found no room before.
func (m *placementFailure) appliesTo(s *step, sweep uint64) bool {
	return m.scan == sweep && m.size.Fits(s.spec.Size) && s.rank.Timeliness >= m.timeliness
}

// recordFailure notes that a step has found no room on any worker.
func (m *placementFailureCache) recordFailure(s *step) {
	if len(s.tasks[s.ready[0]].runs) > 0 {
		// A copy may not run where the first one does, which says nothing about other tasks.
		return
	}
	known := s.failure
	// A miss of a step that asks for less says more, as long as that step is still being tried.
	isCurrent := known.scan == m.scan && known.changesSeen >= m.previousPassStart
	asksLess := s.spec.Size.Fits(known.size) && s.rank.Timeliness <= known.timeliness
	if isCurrent && !asksLess {
		return
	}
	*known = placementFailure{scan: m.scan, size: s.spec.Size, timeliness: s.rank.Timeliness, changesSeen: len(m.changes)}
}

// workersChangedSince returns the usable workers that have changed since a miss, each once.
func (c *Cell) workersChangedSince(now time.Time, seen int) []*worker {
	c.changedWorkers = c.changedWorkers[:0]
	c.visitMark++
	for _, w := range c.failureCache.changes[seen:] {
		if w.visitMark != c.visitMark && w.isUsable(now, &c.config) {
			w.visitMark = c.visitMark
			c.changedWorkers = append(c.changedWorkers, w)
		}
	}
	return c.changedWorkers
}
