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
	_, runs := w.runs[w.trialRun]
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
	if now.After(c.suspensionsEnd) {
		return
	}
	var suspended []*worker
	for _, w := range c.workersByID() {
		if w.isSuspended(now) && (w.hasPassedTrial() || now.Sub(w.triedAt) >= suspendedTrialDelay) && c.isAvailable(now, w) {
			suspended = append(suspended, w)
		}
	}
	for _, s := range c.queue {
		if len(suspended) == 0 {
			return
		}
		if !s.spec.LongRunning || s.spec.Gang || s.isDrained() || !c.isEligible(now, s) {
			continue
		}
		index := s.ready[0]
		t := &s.tasks[index]
		if now.Sub(s.waitsSince(t)) < suspendedTrialDelay {
			continue
		}
		w := c.bestWorker(s, t, suspended)
		if w == nil {
			continue
		}
		c.startTask(now, w, s, index, 0)
		if !w.hasPassedTrial() {
			w.triedAt, w.trialRun = now, t.runs[len(t.runs)-1]
		}
		suspended = slices.DeleteFunc(suspended, func(other *worker) bool { return other == w })
	}
}
