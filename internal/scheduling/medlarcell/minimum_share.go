package medlarcell

import (
	"cmp"
	"slices"
	"time"

	"medlarwheel/internal/scheduling/medlarrank"
)

// A best-effort submission of which nothing runs gets one task with a minimum share: on a worker with free memory, beside serving tasks
// without headroom and other best-effort tasks that use all of the CPU. The order of the queue alone bounds no wait, and a
// submission whose image interferes with all serving tasks would never begin.
//
// Such a task runs at minimumPace until there is room for it on its worker, where it then gets a full share, or on another one, to which
// it moves.
const (
	// minimumShareDelay is how long nothing of a submission past its hard deadline has run before it gets a minimum share. Others wait
	// for InterferenceConfig.MaxDeferral, since the task can't go to the worker on which there is room first.
	minimumShareDelay = 2 * time.Second
	// minimumSharesInterval is the time between two rounds. A worker gets at most one task in each.
	minimumSharesInterval = 100 * time.Millisecond
	// minimumPace is the pace of such a task, in percent. Twenty of them interfere as much as one task with a full share.
	minimumPace = 5
	// minimumShareMemory is the share of a worker's memory that these tasks leave free for others.
	minimumShareMemory = 0.5
)

// updateMinimumShares places the deferred steps, and once per interval moves and starts tasks with a minimum share. Those that move have
// been idle for longer than the submissions of deferred steps.
func (c *Cell) updateMinimumShares(now time.Time, placeDeferred func()) {
	isDue := now.Sub(c.minimumSharesAt) >= minimumSharesInterval
	if isDue {
		c.minimumSharesAt = now
		c.moveMinimumShares(now)
	}
	placeDeferred()
	if isDue {
		c.placeAtMinimumShare(now)
	}
}

// moveMinimumShares stops runs with a minimum share for which there is room on other workers.
func (c *Cell) moveMinimumShares(now time.Time) {
	if len(c.minimumShareRuns) == 0 {
		return
	}
	usable := slices.Clone(c.listUsableWorkers(now))
	failed := 0
	for _, r := range c.minimumShareRuns {
		if len(usable) == 0 || failed == maxFailedStepsPerPass {
			return
		}
		if r.phase != runConfirmed || r.stopping || now.Sub(r.confirmedAt) < minimumShareDelay {
			continue
		}
		w := c.bestWorker(r.step, r.task(), usable)
		if w == nil {
			failed++
			continue
		}
		c.stop(now, r)
		usable = slices.DeleteFunc(usable, func(other *worker) bool { return other == w })
	}
}

// placeAtMinimumShare starts tasks with a minimum share.
func (c *Cell) placeAtMinimumShare(now time.Time) {
	var workers []*worker
	for _, s := range c.queue {
		if !c.needsMinimumShare(now, s) {
			continue
		}
		if workers == nil {
			workers = c.workersForMinimumShares(now)
		}
		if len(workers) == 0 {
			return
		}
		t := &s.tasks[s.ready[0]]
		i := slices.IndexFunc(workers, func(w *worker) bool {
			return t.avoidWorker != w.info.ID && c.isFeasibleAtMinimumShare(s, t, w) && c.leavesMemory(s, w)
		})
		if i >= 0 {
			r := newRun(now, workers[i], s, s.ready[0], max(c.firstRun, t.lastRun+1))
			r.hasMinimumShare = true
			c.start(now, r)
			workers = slices.Delete(workers, i, i+1)
		}
	}
}

// raiseMinimumShares gives a full share to each run for which there is room on its worker, the one of the submission that has been idle
// for longest first. It does so before further submissions take turns.
func (p *placementPass) raiseMinimumShares() {
	if p.hasRaised {
		return
	}
	p.hasRaised = true
	c := p.cell
	slices.SortStableFunc(c.minimumShareRuns, func(a, b *run) int { return a.job().idleSince.Compare(b.job().idleSince) })
	c.minimumShareRuns = slices.DeleteFunc(c.minimumShareRuns, func(r *run) bool {
		if r.phase != runConfirmed || r.stopping || !c.hasUnusedCPU(r.step, r.worker) {
			return false
		}
		if _, ok := c.interferenceCost(r.step, r.worker); !ok {
			return false
		}
		r.worker.removeRun(r)
		r.job().minimumShareRuns--
		r.hasMinimumShare = false
		r.job().addRun(r)
		r.worker.addRun(r)
		return true
	})
}

// needsMinimumShare reports whether nothing of the step's submission has run for so long that it gets a minimum share.
func (c *Cell) needsMinimumShare(now time.Time, s *step) bool {
	j := s.occurrence.job
	if !s.isMeasuredBestEffort() || s.spec.Gang || j.runs+j.minimumShareRuns > 0 || s.isDrained() || !c.isEligible(now, s) {
		return false
	}
	delay := minimumShareDelay
	if s.rank.Timeliness != medlarrank.TimelinessExpired {
		delay = c.config.Interference.MaxDeferral
	}
	for _, since := range []time.Time{j.idleSince, j.minimumShareEndedAt, s.occurrence.startAt} {
		if now.Sub(since) < delay {
			return false
		}
	}
	return true
}

// workersForMinimumShares returns the usable workers, those without serving tasks above their targets first, and among them those with
// the most CPU that no task asks for.
func (c *Cell) workersForMinimumShares(now time.Time) []*worker {
	workers := slices.Clone(c.listUsableWorkers(now))
	slices.SortStableFunc(workers, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(a.servingRunsOverTarget(), b.servingRunsOverTarget()),
			cmp.Compare(c.unusedCPU(b)-b.bestEffortCPU, c.unusedCPU(a)-a.bestEffortCPU))
	})
	return workers
}

func (w *worker) servingRunsOverTarget() int {
	n := 0
	for r := range w.runs {
		if !r.overTargetSince.IsZero() {
			n++
		}
	}
	return n
}

// leavesMemory reports whether a task of the step leaves enough of the worker's memory to others.
func (c *Cell) leavesMemory(s *step, w *worker) bool {
	return float64(w.committed.MemoryMB+s.spec.Size.MemoryMB) <= (1-minimumShareMemory)*float64(w.info.Capacity.MemoryMB)
}

// maxPace returns the highest pace, in percent, that the run may get.
func (r *run) maxPace() int {
	if r.hasMinimumShare {
		return minimumPace
	}
	return fullPace
}
