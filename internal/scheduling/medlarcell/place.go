package medlarcell

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
	"medlarwheel/internal/scheduling/medlarrank"
)

// Place starts waiting tasks on workers with free capacity, in the order of the queue. Steps that could not be placed
// are tried again only on workers that have changed since, so that the cost of a pass depends on the events before it.
func (c *Cell) Place(now time.Time) {
	if len(c.queue)+len(c.unranked)+len(c.minimumShareRuns) == 0 || now.After(c.authorityEnd) {
		c.failureCache.reset()
		return
	}
	c.passStartedAt = now
	c.updateRacks()
	c.updateQueue(now)
	c.updateOpportunityCosts(now)
	c.failureCache.beginPass(now)
	c.releaseGangReservation(now)
	p := placementPass{cell: c, now: now, deferred: c.deferredSteps[:0]}
	first, last := 0, len(c.queue)
	for ; first < last && p.failed < maxFailedStepsPerPass && c.mayStartMore(); first++ {
		p.try(c.queue[first])
	}
	// The rest of the pass goes on where the last one has ended, so that the first steps of the queue do not hide the others.
	resume := max(first, slices.Index(c.queue, c.resumeStep))
	c.resumeStep = nil
	for i := range last - first {
		s := c.queue[first+(resume-first+i)%(last-first)]
		if p.failed >= maxFailedStepsPerPass+maxFurtherFailedSteps || !c.mayStartMore() {
			c.resumeStep = s
			break
		}
		p.try(s)
	}
	p.reserveForWaitingGang()
	p.raiseMinimumShares()
	c.moveMinimumShares(now)
	p.placeDeferred()
	c.placeAtMinimumShare(now)
	c.placeOnSuspended(now)
}

// placementPass is one pass over the queue.
type placementPass struct {
	cell *Cell
	now  time.Time
	// usable holds the usable workers once a step has been tried on all of them. failed counts the steps that still wait.
	usable []*worker
	failed int
	// deferred holds the steps that get further tasks in the last round of the pass.
	deferred    []*step
	isLastRound bool
	// hasRaised is true once runs with a minimum share have got full shares.
	hasRaised bool
	// waitingGang is the gang that has waited the longest of those that could not be placed.
	waitingGang *step
}

// try starts the waiting tasks of a step, unless they have failed on all workers that have not changed since.
func (p *placementPass) try(s *step) {
	c := p.cell
	known := c.knownFailure(s)
	if known != nil && known.changesSeen == len(c.failureCache.changes) || s.isDrained() || !c.isEligible(p.now, s) {
		return
	}
	takesTurn := s.takesTurns() && !p.isLastRound
	if takesTurn {
		p.raiseMinimumShares()
	}
	if takesTurn && s.occurrence.job.runs > 0 && !s.spec.Gang {
		p.deferred = append(p.deferred, s)
		return
	}
	limit := len(s.ready)
	if rk := c.rackOf(s); rk != nil {
		if limit = p.tryNear(s, rk); limit == 0 {
			return
		}
	}
	waiting := len(s.ready) - limit
	workers := p.usable
	c.leastRefusedHarm = math.Inf(1)
	if known != nil {
		c.leastRefusedHarm = known.leastHarm
	}
	if known != nil && !s.spec.Gang {
		workers = c.workersChangedSince(p.now, known.changesSeen)
	} else if p.usable == nil {
		p.usable = c.listUsableWorkers(p.now)
		workers = p.usable
	}
	switch {
	case s.spec.Gang:
		c.placeGang(p.now, s, workers)
		p.noteWaitingGang(s)
	case takesTurn:
		c.placeTasks(p.now, s, workers, 1)
		if s.occurrence.job.runs > 0 {
			p.deferred = append(p.deferred, s)
			return
		}
	default:
		c.placeTasks(p.now, s, workers, limit)
	}
	if len(s.ready) > waiting && c.mayStartMore() {
		p.failed++
		c.recordFailure(s)
	}
}

// placeDeferred starts further tasks of the steps whose submissions have something running.
func (p *placementPass) placeDeferred() {
	p.isLastRound = true
	limit := p.failed + maxFurtherFailedSteps
	for _, s := range p.deferred {
		if p.failed >= limit || !p.cell.mayStartMore() {
			break
		}
		p.try(s)
	}
	p.cell.deferredSteps = p.deferred
}

// takesTurns reports whether the step gets no second task while submissions like its own have nothing running. Best-effort work past
// its hard deadline is served last, so that after a burst the larger part of it would not begin for minutes.
func (s *step) takesTurns() bool {
	return s.spec.BestEffort && s.rank.Timeliness == medlarrank.TimelinessExpired
}

// maxFailedStepsPerPass bounds the number of steps without a feasible worker that one pass considers in the order of the queue, and
// maxFurtherFailedSteps that of the others, by turns.
const (
	maxFailedStepsPerPass = 60
	maxFurtherFailedSteps = 30
)

func (c *Cell) isEligible(now time.Time, s *step) bool {
	if s.occurrence.job.inherited && !c.reconciled {
		return false
	}
	return s.isEligible(now)
}

// isDrained reports whether no task of the step waits for a worker.
func (s *step) isDrained() bool { return len(s.ready) == 0 || s.occurrence.job.state.IsFinal() }

// compactQueue removes steps without waiting tasks from the queue.
func (c *Cell) compactQueue() {
	if c.needsCompaction {
		c.queue, c.needsCompaction = removeDrainedSteps(c.queue), false
	}
}

func removeDrainedSteps(steps []*step) []*step {
	return slices.DeleteFunc(steps, func(s *step) bool {
		if !s.isDrained() {
			return false
		}
		s.queued = false
		return true
	})
}

// workersByID returns the workers sorted by id, so that placement is deterministic.
func (c *Cell) workersByID() []*worker {
	if c.sortedWorkers == nil {
		c.sortedWorkers = slices.SortedFunc(maps.Values(c.workers), func(a, b *worker) int {
			return strings.Compare(string(a.info.ID), string(b.info.ID))
		})
	}
	return c.sortedWorkers
}

// listUsableWorkers returns the workers that may get new tasks.
func (c *Cell) listUsableWorkers(now time.Time) []*worker {
	c.usableWorkers = c.usableWorkers[:0]
	for _, w := range c.workersByID() {
		if c.isUsable(now, w) {
			c.usableWorkers = append(c.usableWorkers, w)
		}
	}
	return c.usableWorkers
}

// chooseForGang returns runs of the tasks of a gang that fit together, fewer than the gang has tasks if not all of them do.
func (c *Cell) chooseForGang(now time.Time, s *step, usable []*worker, number medlarorder.RunNumber) []*run {
	var chosen []*run
	for i := range s.tasks {
		w := c.bestWorker(s, &s.tasks[i], usable)
		if w == nil {
			break
		}
		r := newRun(now, w, s, i, number)
		w.addRun(r)
		chosen = append(chosen, r)
	}
	for _, r := range chosen {
		r.worker.removeRun(r)
	}
	return chosen
}

// placeGang starts all tasks of a step or none.
func (c *Cell) placeGang(now time.Time, s *step, usable []*worker) {
	if len(s.ready) < len(s.tasks) {
		c.stopIncompleteGang(now, s)
		return
	}
	if !c.hasRunMemory(len(s.tasks)) && c.runs > 0 {
		return
	}
	number := c.firstRun
	for i := range s.tasks {
		number = max(number, s.tasks[i].lastRun+1)
	}
	var chosen []*run
	if c.isGroup(s) {
		chosen = c.chooseForGroup(now, s, usable, number)
	} else {
		chosen = c.chooseForGang(now, s, usable, number)
	}
	if len(chosen) < len(s.tasks) {
		return
	}
	checkpoint := s.tasks[0].checkpoint
	for _, r := range chosen {
		c.setCheckpoint(s, r.index, checkpoint)
		c.startTask(now, r.worker, s, r.index, number)
	}
}

// startTask orders a worker to start a task. Number 0 stands for the task's next run number.
func (c *Cell) startTask(now time.Time, w *worker, s *step, index int, number medlarorder.RunNumber) {
	if number == 0 {
		number = max(c.firstRun, s.tasks[index].lastRun+1)
	}
	c.start(now, newRun(now, w, s, index, number))
}

// start orders the worker of a new run to start it.
func (c *Cell) start(now time.Time, r *run) {
	w := r.worker
	r.task().lastRun = r.number
	c.attach(r)
	if r.step.spec.BestEffort && w.longRunningCPU > 0 {
		// Beside serving tasks that exceed their targets anyway, further work does less harm than before.
		c.failureCache.workerChanged(w)
	}
	c.order(now, pendingOrder{kind: orderStart, run: r})
}

// isFeasible reports whether the task may run on the worker and fits its free capacity.
func (c *Cell) isFeasible(s *step, t *task, w *worker) bool {
	return c.isFeasibleAtMinimumShare(s, t, w) && !c.isReservedForGang(s, w) && (!s.spec.BestEffort || c.hasUnusedCPU(s, w))
}

// isFeasibleAtMinimumShare reports the same, but for the CPU of a best-effort task.
func (c *Cell) isFeasibleAtMinimumShare(s *step, t *task, w *worker) bool {
	spec := s.spec
	if w.info.Service != s.occurrence.job.submission.Service || spec.RequiredLabel != "" && !w.info.HasLabel(spec.RequiredLabel) {
		return false
	}
	if spec.MaxPerWorker > 0 && s.tasksPerWorker[w] >= spec.MaxPerWorker {
		return false
	}
	for _, r := range t.runs {
		if r.worker == w {
			return false
		}
	}
	if w.isReservedForSuspect(s.occurrence.job) {
		return false
	}
	return len(w.runs) < c.config.Memory.RunsPerWorker && s.reservedSize().Fits(w.freeCapacity())
}

// reservedSize returns the capacity that a task of the step reserves on its worker. Best-effort tasks use CPU that others leave.
func (s *step) reservedSize() medlarsubmission.Size {
	size := s.spec.Size
	if s.spec.BestEffort {
		size.MilliCPU = 0
	}
	return size
}

// hasUnusedCPU reports whether the CPU that a best-effort task of the step asks for is left on the worker.
func (c *Cell) hasUnusedCPU(s *step, w *worker) bool {
	return w.bestEffortCPU+s.spec.Size.MilliCPU <= c.unusedCPU(w)
}

// unusedCPU estimates the CPU of a worker that tasks other than best-effort ones leave unused.
func (c *Cell) unusedCPU(w *worker) int64 {
	longRunning := float64(w.longRunningCPU) * c.config.LongRunningCPUShare
	return w.info.Capacity.MilliCPU - (w.committed.MilliCPU - w.longRunningCPU) - int64(longRunning)
}

// Weights of the terms of a score. The terms are shares of a worker's capacity, from 0 to 1.
const (
	otherRackPenalty    = 2.0
	avoidPenalty        = 4.0
	slownessPenalty     = 3.0
	bestEffortPenalty   = 0.5
	interferencePenalty = 2.0
	harmPenalty         = 1.0
	sameImageBonus      = 1.0
	sameSubmissionBonus = 1.0
	freeCapacityPenalty = 0.2
	suspectPenalty      = 2.0
	// wantedRackPenalty leaves the workers of a rack to the tasks that wait for it.
	wantedRackPenalty = 1.0
	// opportunityCostWeight is the weight of the opportunity cost against that of the unused CPU.
	opportunityCostWeight = 0.3
)

// score returns the score of a feasible worker. Higher is better.
func (c *Cell) score(s *step, t *task, w *worker) float64 {
	capacity := float64(max(1, w.info.Capacity.MilliCPU))
	score := 0.0
	switch {
	case s.spec.BestEffort:
		score = float64(c.unusedCPU(w)-w.bestEffortCPU)/capacity - opportunityCostWeight*c.opportunityCostForOthers(s, w)
	case s.spec.LongRunning:
		// Serving tasks are grouped by image: best-effort work then runs beside one image and can be placed where that
		// image tolerates it. Beside several images, it would have to be compatible with all of them. They are also
		// grouped by submission, whose tasks have their peaks at the same time.
		same := float64(w.longRunningCPUByImage[s.spec.Image])
		score = sameSubmissionBonus * float64(w.longRunningCPUOf(s.occurrence.job)) / capacity
		score += (sameImageBonus*same-(float64(w.longRunningCPU)-same))/capacity - float64(w.bestEffortCPU)/capacity -
			freeCapacityPenalty*float64(w.freeCapacity().MilliCPU)/capacity
	default:
		score = float64(w.freeCapacity().MilliCPU)/capacity - bestEffortPenalty*float64(w.bestEffortCPU)/capacity
	}
	speed := w.relativeSpeed
	switch {
	case s.spec.Rack == "" || s.spec.Rack == w.info.Rack:
	case c.isAway(s, w) && !s.spec.BestEffort:
		// Away from its data, a task takes as long as on a slow worker.
		speed /= c.config.RemoteFactor
	default:
		score -= otherRackPenalty
	}
	if w.rack != nil && s.spec.Rack != w.info.Rack && c.isWanted(w) {
		score -= wantedRackPenalty
	}
	if t.avoidWorker == w.info.ID {
		score -= avoidPenalty
	}
	if w.suspectRuns > 0 {
		score -= suspectPenalty
	}
	if t.isSuspect() {
		score -= suspectPenalty * w.crashExposure()
	}
	score -= float64(len(w.recentFailedJobs)) + slownessPenalty*max(0, 1-speed)
	return score
}
