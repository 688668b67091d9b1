package medlarcell

import (
	"slices"
	"time"
)

// countWorkerFailure counts a failed run against the worker and suspends it after too many. Consecutive failures of
// different submissions point to the worker; those of one submission point to the submission.
func (c *Cell) countWorkerFailure(now time.Time, w *worker, j *job) {
	w.trialRun = nil
	if slices.Contains(w.recentFailedJobs, j.submission.ID) {
		return
	}
	w.recentFailedJobs = append(w.recentFailedJobs, j.submission.ID)
	if len(w.recentFailedJobs) < c.config.FailuresToSuspend {
		return
	}
	pause := c.config.SuspendDuration << min(w.suspensions, maxSuspendDoublings)
	w.suspensions++
	w.recentFailedJobs = w.recentFailedJobs[:0]
	w.suspendedUntil = now.Add(pause)
	if w.suspendedUntil.After(c.suspensionsEnd) {
		c.suspensionsEnd = w.suspendedUntil
	}
	c.emit(Event{Kind: EventWorkerSuspended, Worker: w.info.ID, Age: pause, Count: w.suspensions})
}

// maxSuspendDoublings bounds the exponential backoff of a worker on which every run fails.
const maxSuspendDoublings = 3

const (
	// suspendedTrialDelay is how long a long-running task waits before it is tried on a suspended worker, and how long a worker on
	// which one was tried is left alone unless that one runs.
	suspendedTrialDelay = time.Second
	// passedTrialTime is how long a task that was tried has to run until others follow it. On a worker that fails every run, they
	// fail earlier.
	passedTrialTime = 250 * time.Millisecond
)

// hasPassedTrial reports whether the worker runs the task that was tried there, and no run has failed since.
func (w *worker) hasPassedTrial() bool {
	if w.trialRun == nil {
		return false
	}
	runs := w.hasRun(w.trialRun)
	return runs && w.trialRun.reportedFor() >= passedTrialTime
}

// waitsSince returns since when a waiting task does not run.
func (s *step) waitsSince(t *task) time.Time {
	if !t.lostAt.IsZero() && t.lostAt.Before(s.readySince) {
		return t.lostAt
	}
	return s.readySince
}

// placeOnSuspended starts long-running tasks that have waited for suspendedTrialDelay on suspended workers: the failures may
// have been those of other tasks, and their attempts are not limited.
func (c *Cell) placeOnSuspended(now time.Time) {
	if now.After(c.suspensionsEnd) || !c.mayStartMore() {
		return
	}
	suspended := c.listTrialWorkers(now)
	if len(suspended) == 0 {
		return
	}
	for _, s := range c.listTrialSteps(now) {
		for _, r := range c.startTrial(now, s, suspended) {
			w := r.worker
			if !w.isSuspended(now) {
				continue
			}
			if !w.hasPassedTrial() {
				w.triedAt, w.trialRun = now, r
			}
			suspended = slices.DeleteFunc(suspended, func(other *worker) bool { return other == w })
		}
	}
}

// listTrialWorkers returns the suspended workers on which a task may be tried.
func (c *Cell) listTrialWorkers(now time.Time) (suspended []*worker) {
	for _, w := range c.workersByID() {
		if w.isSuspended(now) && (w.hasPassedTrial() || now.Sub(w.triedAt) >= suspendedTrialDelay) && c.isAvailable(now, w) {
			suspended = append(suspended, w)
		}
	}
	return suspended
}

// listTrialSteps returns the long-running steps that have waited for suspendedTrialDelay. They take turns, so that tasks that always
// fail do not take all trials.
func (c *Cell) listTrialSteps(now time.Time) (steps []*step) {
	for _, s := range c.queue {
		if s.spec.LongRunning && !s.isDrained() && c.isEligible(now, s) && now.Sub(s.waitsSince(&s.tasks[s.ready[0]])) >= suspendedTrialDelay {
			steps = append(steps, s)
		}
	}
	slices.SortStableFunc(steps, func(a, b *step) int { return a.turnSince().Compare(b.turnSince()) })
	return steps
}

// turnSince returns since when the step has waited for its turn on a suspended worker.
func (s *step) turnSince() time.Time {
	since := s.waitsSince(&s.tasks[s.ready[0]])
	if s.triedAt.After(since) {
		return s.triedAt
	}
	return since
}

// startTrial starts the first waiting task of the step on one of the suspended workers, or a gang on these and the usable workers. It
// returns the runs, or none if there is no room. Since gangs consider all workers, they are tried in full scans only.
func (c *Cell) startTrial(now time.Time, s *step, suspended []*worker) (started []*run) {
	if !s.spec.Gang {
		index := s.ready[0]
		w := c.bestWorker(s, &s.tasks[index], suspended)
		if w == nil {
			return nil
		}
		c.startTask(now, w, s, index, 0)
		s.triedAt = now
		return slices.Clone(s.tasks[index].runs)
	}
	if len(suspended) == 0 || !now.Equal(c.failureCache.scanStartedAt) {
		return nil
	}
	c.placeGang(now, s, slices.Concat(c.listUsableWorkers(now), suspended))
	if len(s.ready) > 0 {
		return nil
	}
	s.triedAt = now
	for i := range s.tasks {
		started = append(started, s.tasks[i].runs...)
	}
	return started
}
