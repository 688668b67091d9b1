package medlarcell

import (
	"time"

	"medlarwheel"
	"medlarwheel/internal/scheduling/medlarlocality"
)

// replanInterval is the time after which the predicted ends of the runs on a rack are predicted again, although none has ended.
const replanInterval = 100 * time.Millisecond

// rack is a rack of workers of one service, with the plan of the waits for it.
type rack struct {
	workers []*worker
	// changes counts the changes of its workers, like placementFailureCache.changes.
	changes uint64
	plan    medlarlocality.Plan
	// planNumber identifies the plan of plannedAt, which was made after plannedChanges.
	planNumber, plannedChanges uint64
	plannedAt                  time.Time
	// waiting is the number of tasks in the plan that wait for a place.
	waiting int
}

type rackKey struct {
	service medlarwheel.ServiceName
	id      medlarwheel.RackID
}

// racks holds the racks if tasks take longer away from their data. byKey is nil after a worker was added, removed or moved.
type racks struct {
	byKey map[rackKey]*rack
	// byService lists them in the order of the ids of their first workers.
	byService map[medlarwheel.ServiceName][]*rack
	// groupPlan is the memory of the plans for gangs.
	groupPlan medlarlocality.Plan
	// plans is the number of plans so far.
	plans  uint64
	counts PlaceCounts
}

// PlaceCounts counts the starts of tasks that take longer away from their rack.
type PlaceCounts struct {
	// Near and Away count the starts by place, and AwayAfterWait those of Away whose step had waited for its rack. Waited is the total time
	// that the tasks of Near have waited for it.
	Near, Away, AwayAfterWait int64
	Waited                    time.Duration
}

// TakePlaceCounts returns the counts since the last call.
func (c *Cell) TakePlaceCounts() PlaceCounts {
	taken := c.racks.counts
	c.racks.counts = PlaceCounts{}
	return taken
}

// nearWait is the wait of a step for its rack.
type nearWait struct {
	// readySince is that of the step when the wait began. A step that became ready again since has a new wait.
	readySince time.Time
	// since is when the wait began, or zero.
	since time.Time
	// planNumber is the plan in which the step waits.
	planNumber uint64
	// isOver is true once the waiting tasks start anywhere.
	isOver bool
	// nextCheck is when a gang is tried again.
	nextCheck time.Time
}

// updateRacks sorts the workers by rack if they have changed.
func (c *Cell) updateRacks() {
	if !c.hasRemoteFactor() || c.racks.byKey != nil {
		return
	}
	c.racks.byKey, c.racks.byService = map[rackKey]*rack{}, map[medlarwheel.ServiceName][]*rack{}
	for _, w := range c.workersByID() {
		w.rack = nil
		if w.info.Rack == "" {
			continue
		}
		key := rackKey{service: w.info.Service, id: w.info.Rack}
		if c.racks.byKey[key] == nil {
			c.racks.byKey[key] = &rack{}
			c.racks.byService[key.service] = append(c.racks.byService[key.service], c.racks.byKey[key])
		}
		w.rack = c.racks.byKey[key]
		w.rack.workers = append(w.rack.workers, w)
	}
}

// rackOf returns the rack near which tasks of the step run faster, or nil if they run alike everywhere, or if none of its workers is
// known. Best-effort tasks run on what serving tasks leave, which changes with their load, so no end of a run predicts a place for them.
func (c *Cell) rackOf(s *step) *rack {
	if s.spec.Rack == "" || !c.hasRemoteFactor() || s.spec.BestEffort || s.spec.LongRunning || s.spec.Gang {
		return nil
	}
	return c.racks.byKey[rackKey{service: s.occurrence.job.submission.Service, id: s.spec.Rack}]
}

// isPlanCurrent reports whether the plan of the rack was made with what is known.
func (rk *rack) isPlanCurrent(now time.Time) bool {
	return rk.planNumber > 0 && rk.plannedChanges == rk.changes && now.Sub(rk.plannedAt) < replanInterval
}

// updatePlan predicts when the workers of the rack have room. Tasks that wait are added in the order in which they are tried.
func (c *Cell) updatePlan(now time.Time, rk *rack) {
	if rk.isPlanCurrent(now) {
		return
	}
	c.racks.plans++
	rk.planNumber, rk.plannedChanges, rk.plannedAt = c.racks.plans, rk.changes, now
	rk.waiting = 0
	c.fillPlan(now, rk, &rk.plan)
}

// fillPlan fills a plan with the usable workers of a rack and their runs.
func (c *Cell) fillPlan(now time.Time, rk *rack, plan *medlarlocality.Plan) {
	plan.Reset()
	for _, w := range rk.workers {
		if !c.isUsable(now, w) {
			continue
		}
		plan.AddWorker(now, w.freeCapacity())
		for _, r := range w.runs {
			if !r.step.spec.LongRunning {
				plan.AddEnd(c.predictedEnd(now, r), r.step.reservedSize())
			}
		}
	}
}

// nearWorkers returns the usable workers of a rack that are no slower near than others are away.
func (c *Cell) nearWorkers(now time.Time, rk *rack) []*worker {
	c.rackWorkers = c.rackWorkers[:0]
	for _, w := range rk.workers {
		if c.isUsable(now, w) && w.relativeSpeed*c.config.RemoteFactor >= 1 {
			c.rackWorkers = append(c.rackWorkers, w)
		}
	}
	return c.rackWorkers
}

// tryNear starts waiting tasks of the step on its rack. It returns the number of those left that are not worth a further wait.
func (p *placementPass) tryNear(s *step, rk *rack) (remote int) {
	c := p.cell
	if s.nearWait.readySince != s.readySince {
		s.nearWait = nearWait{readySince: s.readySince}
	}
	if n := &s.nearWait; !n.since.IsZero() && !n.isOver && n.planNumber == rk.planNumber && rk.isPlanCurrent(p.now) {
		return 0
	}
	c.placeTasks(p.now, s, c.nearWorkers(p.now, rk), len(s.ready))
	if len(s.ready) == 0 {
		return 0
	}
	c.updatePlan(p.now, rk)
	waiting := c.planWait(p.now, s, rk)
	n := &s.nearWait
	n.planNumber = rk.planNumber
	if waiting > 0 && n.since.IsZero() {
		n.since = p.now
	}
	if waiting == 0 && !n.since.IsZero() && !n.isOver {
		c.emitPlaceWaitOver(p.now, s)
	}
	n.isOver = waiting == 0
	return len(s.ready) - waiting
}

func (c *Cell) emitPlaceWaitOver(now time.Time, s *step) {
	c.emit(Event{Kind: EventPlaceWaitOver, Task: s.name(s.ready[0]), Count: len(s.ready), Age: now.Sub(s.nearWait.since), Reason: string(s.spec.Rack)})
}

// planWait adds the waiting tasks of the step to the plan of its rack, and returns for how many of them the wait pays.
func (c *Cell) planWait(now time.Time, s *step, rk *rack) int {
	limit := c.waitLimit(now, s, s.nearWait.since)
	runTime := s.expectedRunTime()
	for i := range s.ready {
		if limit == 0 || !rk.plan.Reserve(now, s.reservedSize(), runTime, limit) {
			return i
		}
		rk.waiting++
	}
	return len(s.ready)
}

// waitLimit returns how long it pays for tasks of the step to wait for a place near from now on. since is when the wait began, or zero.
func (c *Cell) waitLimit(now time.Time, s *step, since time.Time) time.Duration {
	o := s.occurrence
	end := now.Add(o.job.criticalPaths[s.index])
	work := medlarlocality.Work{
		RunTime: s.expectedRunTime(), RemoteFactor: c.config.RemoteFactor, CriticalPath: o.job.criticalPaths[s.index], Slack: o.softDeadline().Sub(end), HardSlack: o.hardDeadline().Sub(end),
		IsIdle: o.job.runs == 0,
	}
	if !since.IsZero() {
		work.Waited = now.Sub(since)
	}
	return c.config.Locality.WaitLimit(work)
}

// countPlace counts a start by its place.
func (c *Cell) countPlace(now time.Time, s *step, w *worker) {
	counts := &c.racks.counts
	waited := time.Duration(0)
	if n := &s.nearWait; n.readySince.Equal(s.readySince) && !n.since.IsZero() {
		waited = now.Sub(n.since)
	}
	switch {
	case s.spec.Rack == "" || !c.hasRemoteFactor() || s.spec.LongRunning:
	case !c.isAway(s, w):
		counts.Near++
		counts.Waited += waited
	default:
		counts.Away++
		if waited > 0 {
			counts.AwayAfterWait++
		}
	}
}

// waitsNear reports whether tasks of the step wait for their rack.
func (s *step) waitsNear() bool {
	n := &s.nearWait
	return n.readySince.Equal(s.readySince) && !n.since.IsZero() && !n.isOver
}

// isWanted reports whether tasks wait for a place on the worker's rack.
func (c *Cell) isWanted(w *worker) bool {
	return w.rack != nil && w.rack.waiting > 0 && c.passStartedAt.Sub(w.rack.plannedAt) < replanInterval
}
