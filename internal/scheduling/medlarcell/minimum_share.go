package medlarcell

import (
	"cmp"
	"slices"
	"time"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/scheduling/medlarrank"
)

// A best-effort submission of which nothing runs gets one task with a minimum share: on a worker with free memory, beside serving tasks
// without headroom and other best-effort tasks that use all of the CPU. The order of the queue alone bounds no wait, and a
// submission whose image interferes with all serving tasks would never begin.
//
// Such a task runs at minimumPace until there is room for it on its worker, where it then gets a full share, or on another one, to which
// it moves.
const (
	// minimumShareDelay is how long nothing of a submission past its hard deadline has run before it gets a minimum share. One whose
	// result is still of use waits for minimumShareDelayOfUseful, since the task can't go to the worker on which there is room first.
	minimumShareDelay         = time.Second
	minimumShareDelayOfUseful = 2 * time.Second
	// minimumSharesInterval is the time between two rounds of starts. A worker gets at most one task in each.
	minimumSharesInterval = 100 * time.Millisecond
	// maxMinimumShareFailures bounds the number of submissions in a round that no worker has memory for. A round begins after
	// those of the last one.
	maxMinimumShareFailures = 20
	// moveInterval is the time between two rounds of moves, and maxMoveFailures bounds the number of runs in one for which there is no
	// room elsewhere: each takes a look at all workers. A run is not moved before minMoveAge.
	moveInterval    = 250 * time.Millisecond
	maxMoveFailures = 5
	minMoveAge      = 500 * time.Millisecond
	// minimumPace is the pace of such a task, in percent. Twenty of them interfere as much as one task with a full share.
	minimumPace = 5
	// minimumShareMemory is the share of a worker's memory in use from which it gets no such task, so that others find room. One
	// task may exceed it: otherwise none would start beside workers that are all a little less than half full.
	minimumShareMemory = 0.5
)

// moveMinimumShares stops runs with a minimum share for which there is room on other workers, in the order of the queue.
func (c *Cell) moveMinimumShares(now time.Time) {
	if len(c.minimumShareRuns) == 0 || now.Sub(c.minimumSharesMovedAt) < moveInterval {
		return
	}
	c.minimumSharesMovedAt = now
	usable := slices.Clone(c.listUsableWorkers(now))
	var runs []*run
	for _, r := range c.minimumShareRuns {
		if r.phase == runConfirmed && !r.stopping && now.Sub(r.confirmedAt) >= minMoveAge {
			r.step.rank = c.rankOf(now, r.step)
			runs = append(runs, r)
		}
	}
	slices.SortStableFunc(runs, func(a, b *run) int { return compareSteps(a.step, b.step) })
	failed := 0
	for n := range runs {
		r := runs[(c.nextMove+n)%len(runs)]
		w := c.bestWorker(r.step, r.task(), usable)
		if w == nil {
			if failed++; failed == maxMoveFailures {
				c.nextMove += n + 1
				return
			}
			continue
		}
		c.emitMinimumShare(now, EventMinimumShareMoved, r, r.sentAt)
		c.stop(now, r)
		usable = slices.DeleteFunc(usable, func(other *worker) bool { return other == w })
	}
	c.nextMove = 0
}

// placeAtMinimumShare starts tasks with a minimum share.
func (c *Cell) placeAtMinimumShare(now time.Time) {
	if now.Sub(c.minimumSharesAt) < minimumSharesInterval || !c.mayStartMore() {
		return
	}
	c.minimumSharesAt = now
	var workers []*worker
	failures, failed := 0, map[minimumShareClass]medlarsubmission.Size{}
	for n := range c.queue {
		s := c.queue[(c.nextMinimumShare+n)%len(c.queue)]
		if !c.needsMinimumShare(now, s) {
			continue
		}
		if workers == nil {
			workers = c.workersForMinimumShares(now)
		}
		if len(workers) == 0 {
			return
		}
		if smallest, known := failed[s.minimumShareClass()]; known && smallest.Fits(s.reservedSize()) {
			continue
		}
		if i := c.minimumShareWorker(s, workers); i >= 0 {
			c.startAtMinimumShare(now, workers[i], s)
			workers = slices.Delete(workers, i, i+1)
			continue
		}
		failed[s.minimumShareClass()] = s.reservedSize()
		if failures++; failures == maxMinimumShareFailures {
			c.nextMinimumShare += n + 1
			return
		}
	}
	c.nextMinimumShare = 0
}

// minimumShareClass identifies steps that differ only in their size in where they may have a minimum share.
type minimumShareClass struct {
	service  medlarwheel.ServiceName
	requires string
	// spread is the step if it has a limit of tasks per worker.
	spread *step
}

func (s *step) minimumShareClass() minimumShareClass {
	class := minimumShareClass{service: s.occurrence.job.submission.Service, requires: s.spec.RequiredLabel}
	if s.spec.MaxPerWorker > 0 {
		class.spread = s
	}
	return class
}

// minimumShareWorker returns the index of the first worker for a task of the step, one that the task avoids only if there is no other, or -1.
func (c *Cell) minimumShareWorker(s *step, workers []*worker) int {
	t, avoided := &s.tasks[s.ready[0]], -1
	for i, w := range workers {
		switch {
		case !c.isFeasibleAtMinimumShare(s, t, w):
		case w.info.ID == t.avoidWorker:
			avoided = i
		default:
			return i
		}
	}
	return avoided
}

func (c *Cell) startAtMinimumShare(now time.Time, w *worker, s *step) {
	index := s.ready[0]
	r := newRun(now, w, s, index, max(c.firstRun, s.tasks[index].lastRun+1))
	r.hasMinimumShare = true
	c.emitMinimumShare(now, EventMinimumShare, r, s.readySince)
	c.start(now, r)
}

// raiseMinimumShares gives a full share to each run for which there is room on its worker, the one of the submission that has been idle
// for longest first. It does so before further submissions take turns.
func (p *placementPass) raiseMinimumShares() {
	c := p.cell
	if p.hasRaised || len(c.minimumShareRuns) == 0 {
		return
	}
	p.hasRaised = true
	runs := c.minimumSharesToRaise(p.now)
	slices.SortStableFunc(runs, func(a, b *run) int { return a.job().idleSince.Compare(b.job().idleSince) })
	for _, r := range runs {
		if !r.hasMinimumShare || r.phase != runConfirmed || r.stopping || !c.hasUnusedCPU(r.step, r.worker) || c.isReservedForGang(r.step, r.worker) {
			continue
		}
		if _, ok := c.interferenceCost(r.step, r.worker); ok {
			c.emitMinimumShare(p.now, EventMinimumShareRaised, r, r.sentAt)
			c.raiseMinimumShare(r)
		}
	}
}

// minimumSharesToRaise returns the runs with a minimum share on workers that have changed since the last pass, several times if the worker
// has, and once per interval all of them.
func (c *Cell) minimumSharesToRaise(now time.Time) []*run {
	if now.Sub(c.minimumSharesRaisedAt) >= minimumSharesInterval {
		c.minimumSharesRaisedAt = now
		return slices.Clone(c.minimumShareRuns)
	}
	var runs []*run
	for _, w := range c.failureCache.changesSinceLastPass() {
		if w.minimumShareRuns == 0 {
			continue
		}
		for _, r := range w.runs {
			if r.hasMinimumShare {
				runs = append(runs, r)
			}
		}
	}
	return runs
}

// raiseMinimumShare gives a run with a minimum share a full one.
func (c *Cell) raiseMinimumShare(r *run) {
	c.removeMinimumShare(r)
	r.worker.removeRun(r)
	r.job().minimumShareRuns--
	r.hasMinimumShare, r.job().hasOnlyMinimumShares = false, false
	r.job().addRun(r)
	r.worker.addRun(r)
}

func (c *Cell) removeMinimumShare(r *run) {
	if i := slices.Index(c.minimumShareRuns, r); i >= 0 {
		c.minimumShareRuns = slices.Delete(c.minimumShareRuns, i, i+1)
	}
}

// mayHaveMinimumShare reports whether tasks of the step may have a minimum share. The members of a gang work only together, and tasks that
// last serve nobody at that pace.
func (s *step) mayHaveMinimumShare() bool { return s.isMeasuredBestEffort() && !s.spec.Gang }

// needsMinimumShare reports whether nothing of the step's submission has run for so long that it gets a minimum share. A submission
// past its hard deadline with a single run gets one beside it, so that something runs between two of its turns.
func (c *Cell) needsMinimumShare(now time.Time, s *step) bool {
	j := s.occurrence.job
	if !s.mayHaveMinimumShare() || j.minimumShareRuns > 0 || j.runs > 1 || s.isDrained() || !c.isEligible(now, s) {
		return false
	}
	delay := minimumShareDelay
	if s.rank.Timeliness != medlarrank.TimelinessExpired {
		delay = minimumShareDelayOfUseful
	} else if j.runs == 1 {
		return true
	}
	for _, since := range []time.Time{j.idleSince, j.minimumShareEndedAt, s.occurrence.startAt} {
		if now.Sub(since) < delay {
			return false
		}
	}
	return j.runs == 0
}

// workersForMinimumShares returns the usable workers with free memory, those without serving tasks above their targets first, and among
// them those with the most CPU that no task asks for.
func (c *Cell) workersForMinimumShares(now time.Time) []*worker {
	type option struct {
		worker     *worker
		overTarget int
		unusedCPU  int64
	}
	var options []option
	for _, w := range c.listUsableWorkers(now) {
		if float64(w.committed.MemoryMB) <= minimumShareMemory*float64(w.info.Capacity.MemoryMB) {
			options = append(options, option{worker: w, overTarget: w.servingRunsOverTarget(), unusedCPU: c.unusedCPU(w) - w.bestEffortCPU})
		}
	}
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.overTarget, b.overTarget), cmp.Compare(b.unusedCPU, a.unusedCPU))
	})
	workers := make([]*worker, len(options))
	for i := range options {
		workers[i] = options[i].worker
	}
	return workers
}

func (w *worker) servingRunsOverTarget() int {
	n := 0
	for _, r := range w.runs {
		if !r.overTargetSince.IsZero() {
			n++
		}
	}
	return n
}

// maxPace returns the highest pace, in percent, that the run may get.
func (r *run) maxPace() int {
	if r.hasMinimumShare {
		return minimumPace
	}
	return fullPace
}

// emitMinimumShare emits a decision on a run with a minimum share, with the timeliness of its submission and the number of such runs.
func (c *Cell) emitMinimumShare(now time.Time, kind EventKind, r *run, since time.Time) {
	c.emit(Event{
		Kind: kind, Task: r.name(), Run: r.number, Worker: r.worker.info.ID, Reason: timelinessName(r.step.rank.Timeliness),
		Age: now.Sub(since), Count: len(c.minimumShareRuns),
	})
}
