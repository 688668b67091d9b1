package medlarcell

import (
	"time"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
)

// fullScanInterval is how often all workers are considered again for steps that could not be placed. In between, only
// workers that have changed are considered. Inputs that affect all workers at once, such as interference coefficients,
// change over seconds.
const fullScanInterval = 250 * time.Millisecond

// placementClass identifies steps that may run on the same workers, apart from their size.
type placementClass struct {
	service    medlarwheel.ServiceName
	image      string
	bestEffort bool
	requires   string
}

// placementFailure records that a step could not be placed, so that neither it nor a step that asks for more is tried
// again on the same workers. Steps of one class share it.
type placementFailure struct {
	// scan is the full scan in which the step was tried. Later scans ignore the failure.
	scan uint64
	size medlarsubmission.Size
	// leastHarm is the smallest harm for which alone a worker was refused, or infinite. A step that asks for more may do more harm.
	leastHarm float64
	// yieldsToGang is true if the step had to leave capacity to a gang.
	yieldsToGang bool
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
	// changesTried is the number of changes that some step was tried on and failed.
	changesTried int
	// previousPassStart and currentPassStart are the numbers of changes at the start of the last two placement passes.
	previousPassStart, currentPassStart int
}

func newPlacementFailureCache() placementFailureCache {
	return placementFailureCache{byClass: map[placementClass]*placementFailure{}}
}

// beginPass begins a placement pass.
func (p *placementFailureCache) beginPass(now time.Time) {
	if now.Sub(p.scanStartedAt) >= fullScanInterval {
		p.reset()
		p.scanStartedAt = now
	}
	p.previousPassStart, p.currentPassStart = p.currentPassStart, len(p.changes)
}

// changesSinceLastPass returns the workers that have changed since the last pass began, unless a scan has begun since.
func (p *placementFailureCache) changesSinceLastPass() []*worker {
	return p.changes[min(p.previousPassStart, len(p.changes)):]
}

// reset discards all failures.
func (p *placementFailureCache) reset() {
	p.scan++
	if len(p.byClass) > maxPlacementClasses {
		// Waiting steps keep their references to dropped entries.
		p.byClass = map[placementClass]*placementFailure{}
	}
	p.changes = p.changes[:0]
	p.changesTried, p.previousPassStart, p.currentPassStart = 0, 0, 0
}

// workerChanged records a worker that may have more free capacity than before, or that may be usable again.
func (p *placementFailureCache) workerChanged(w *worker) {
	if n := len(p.changes); n == p.changesTried || p.changes[n-1] != w {
		p.changes = append(p.changes, w)
	}
}

// setEntries sets the failure entries of a step. Failures of a gang, and of a step with a limit per worker, say nothing about other
// steps, but those of other steps apply to a step with a limit.
func (p *placementFailureCache) setEntries(s *step) {
	switch {
	case s.spec.Gang:
		s.failure = &placementFailure{}
	case s.spec.MaxPerWorker > 0:
		s.failure, s.classFailure = &placementFailure{}, p.forClass(s)
	default:
		s.failure = p.forClass(s)
	}
}

// forClass returns the failure entry that steps of a class share.
func (p *placementFailureCache) forClass(s *step) *placementFailure {
	key := placementClass{service: s.occurrence.job.submission.Service, image: s.spec.Image, bestEffort: s.spec.BestEffort, requires: s.spec.RequiredLabel}
	shared := p.byClass[key]
	if shared == nil {
		shared = &placementFailure{}
		p.byClass[key] = shared
	}
	return shared
}

// knownFailure returns the latest failure in this scan of a step that asks for no more than s, or nil.
func (c *Cell) knownFailure(s *step) *placementFailure {
	known := c.ifApplies(s.failure, s)
	if shared := c.ifApplies(s.classFailure, s); known == nil || shared != nil && shared.changesSeen > known.changesSeen {
		known = shared
	}
	return known
}

// ifApplies returns the failure if it is that of a step that asks for no more than s in this scan, or nil.
func (c *Cell) ifApplies(f *placementFailure, s *step) *placementFailure {
	if f == nil || f.scan != c.failureCache.scan || !f.size.Fits(s.spec.Size) || f.yieldsToGang && !c.yieldsToGang(s) {
		return nil
	}
	if s.spec.BestEffort && f.leastHarm <= c.acceptableHarm(s) {
		return nil
	}
	return f
}

// recordFailure records that a step could not be placed on any worker.
func (c *Cell) recordFailure(s *step) {
	p := &c.failureCache
	if len(s.tasks[s.ready[0]].runs) > 0 {
		// A speculative copy may not run where the first run is, which says nothing about other tasks.
		return
	}
	p.changesTried = len(p.changes)
	c.updateFailure(s.failure, s)
	if s.classFailure != nil && !s.hasRuns() {
		// Its limit of tasks per worker has excluded no worker.
		c.updateFailure(s.classFailure, s)
	}
}

func (c *Cell) updateFailure(known *placementFailure, s *step) {
	p := &c.failureCache
	// A failure of a step that asks for less is more general, as long as that step is still being tried.
	isCurrent := known.scan == p.scan && known.changesSeen >= p.previousPassStart
	yields := c.yieldsToGang(s)
	asksLess := s.spec.Size.Fits(known.size) && c.leastRefusedHarm >= known.leastHarm && (!yields || known.yieldsToGang)
	if isCurrent && !asksLess {
		return
	}
	*known = placementFailure{scan: p.scan, size: s.spec.Size, leastHarm: c.leastRefusedHarm, yieldsToGang: yields, changesSeen: len(p.changes)}
}

// workersChangedSince returns the usable workers that have changed after the first seen changes of this scan, each once.
func (c *Cell) workersChangedSince(now time.Time, seen int) []*worker {
	c.changedWorkers = c.changedWorkers[:0]
	c.visitMark++
	for _, w := range c.failureCache.changes[seen:] {
		if w.visitMark != c.visitMark && c.isUsable(now, w) {
			w.visitMark = c.visitMark
			c.changedWorkers = append(c.changedWorkers, w)
		}
	}
	return c.changedWorkers
}
