package medlarcell

import (
	"time"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/scheduling/medlarrank"
)

// fullScanInterval is how often all workers are considered again for steps that could not be placed. In between, only
// workers that have changed are. What changes for all workers at once, such as interference coefficients, changes over
// seconds.
const fullScanInterval = 250 * time.Millisecond

// placementClass is what steps have in common that fit the same workers, apart from their size.
type placementClass struct {
	service    medlarwheel.ServiceName
	image      string
	bestEffort bool
	requires   string
}

// placementFailure records that a step could not be placed, so that neither it nor a step that asks for more is tried
// again on the same workers. Steps of one class share it.
type placementFailure struct {
	// scan is the full scan in which the step was tried. The failure is void in later scans.
	scan       uint64
	size       medlarsubmission.Size
	timeliness medlarrank.Timeliness
	// changesSeen is the number of worker changes, since the scan began, that the step was tried on.
	changesSeen int
}

// maxPlacementClasses bounds the number of remembered classes, since the number of images is unbounded.
const maxPlacementClasses = 1000

// placementFailureCache remembers which steps could not be placed on which workers.
type placementFailureCache struct {
	byClass map[placementClass]*placementFailure
	// scan counts the full scans from 1. scanStartedAt is when the last one began.
	scan          uint64
	scanStartedAt time.Time
	// changes lists the workers that have changed since the scan began, oldest first.
	changes []*worker
	// previousPassStart and currentPassStart are the numbers of changes at the start of the last two placement passes.
	previousPassStart, currentPassStart int
}

func newPlacementFailureCache() placementFailureCache {
	return placementFailureCache{byClass: map[placementClass]*placementFailure{}}
}

// beginPass begins a placement pass.
func (m *placementFailureCache) beginPass(now time.Time) {
	if now.Sub(m.scanStartedAt) >= fullScanInterval {
		m.reset()
		m.scanStartedAt = now
	}
	m.previousPassStart, m.currentPassStart = m.currentPassStart, len(m.changes)
}

// reset discards all failures.
func (m *placementFailureCache) reset() {
	m.scan++
	if len(m.byClass) > maxPlacementClasses {
		// Waiting steps keep their references to dropped entries.
		m.byClass = map[placementClass]*placementFailure{}
	}
	m.changes = m.changes[:0]
	m.previousPassStart, m.currentPassStart = 0, 0
}

// workerChanged records a worker that may have more free capacity than before, or that may be usable again.
func (m *placementFailureCache) workerChanged(w *worker) {
	if n := len(m.changes); n == 0 || m.changes[n-1] != w {
		m.changes = append(m.changes, w)
	}
}

// forStep returns the failure entry that a step shares. Failures of a gang, and of a step with a limit per worker, say
// nothing about other steps.
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

// appliesTo reports whether a step that asks for no more than s has failed in this scan.
func (m *placementFailure) appliesTo(s *step, scan uint64) bool {
	return m.scan == scan && m.size.Fits(s.spec.Size) && s.rank.Timeliness >= m.timeliness
}

// recordFailure records that a step could not be placed on any worker.
func (m *placementFailureCache) recordFailure(s *step) {
	if len(s.tasks[s.ready[0]].runs) > 0 {
		// A speculative copy may not run where the first run is, which says nothing about other tasks.
		return
	}
	known := s.failure
	// A failure of a step that asks for less is more general, as long as that step is still being tried.
	isCurrent := known.scan == m.scan && known.changesSeen >= m.previousPassStart
	asksLess := s.spec.Size.Fits(known.size) && s.rank.Timeliness <= known.timeliness
	if isCurrent && !asksLess {
		return
	}
	*known = placementFailure{scan: m.scan, size: s.spec.Size, timeliness: s.rank.Timeliness, changesSeen: len(m.changes)}
}

// workersChangedSince returns the usable workers that have changed after the first seen changes of this scan, each once.
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
