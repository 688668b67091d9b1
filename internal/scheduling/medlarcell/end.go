package medlarcell

import (
	"slices"
	"time"

	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// handleEnd processes one ended run from a worker's report.
func (c *Cell) handleEnd(now time.Time, w *worker, e *medlarorder.Ended) {
	r := w.findRun(e.Task, e.Run)
	if r != nil {
		if r.phase != runConfirmed {
			c.confirm(now, r)
		}
		c.detach(now, r)
	}
	j := c.jobs[e.Task.Submission]
	if j == nil {
		return
	}
	s, t := j.findTask(e.Task)
	if t == nil {
		return
	}
	c.queueCreated(now, j)
	t.lastEndedRun = max(t.lastEndedRun, e.Run)
	t.lastRun = max(t.lastRun, e.Run)
	if j.state.IsFinal() || t.done {
		return
	}
	c.withdrawCrash(s, e.Task.Index, e.Run)
	if e.Checkpoint != "" {
		c.setCheckpoint(s, e.Task.Index, e.Checkpoint)
	}
	switch e.Kind {
	case medlarorder.EndDone:
		c.handleDone(now, w, r, s, e)
	case medlarorder.EndFailed:
		c.handleFailure(now, w, r, s, e)
	default:
		c.markTaskDirty(s, e.Task.Index)
		c.requeue(now, s, e.Task.Index)
	}
}

// handleDone processes a run that has completed its task.
func (c *Cell) handleDone(now time.Time, w *worker, r *run, s *step, e *medlarorder.Ended) {
	w.recentFailedJobs, w.suspensions = w.recentFailedJobs[:0], 0
	j := s.occurrence.job
	if !j.started {
		c.markStarted(j)
	}
	if s.spec.LongRunning {
		c.requeue(now, s, e.Task.Index)
		return
	}
	if r != nil {
		c.observeRunSpeed(now, r)
		c.observeRunTime(now, r)
	}
	for _, other := range append([]*run(nil), s.tasks[e.Task.Index].runs...) {
		c.stop(now, other)
	}
	remaining := s.remainingTasks
	if s.spec.Gang {
		// The end of one member completes the whole gang.
		for i := range s.tasks {
			s.completeTask(i)
			c.markTaskDirty(s, i)
		}
	}
	s.completeTask(e.Task.Index)
	c.observeBestEffortDone(s, remaining-s.remainingTasks)
	c.needsCompaction = true
	c.markTaskDirty(s, e.Task.Index)
	if s.remainingTasks == 0 {
		for _, later := range s.occurrence.steps {
			c.enqueue(now, later)
		}
	}
	c.checkComplete(now, j)
}

func (c *Cell) checkComplete(now time.Time, j *job) {
	if j.schedule.remaining > 0 || j.state.IsFinal() {
		return
	}
	c.finish(now, j, medlarsubmission.StateCompleted)
	c.emit(Event{
		Kind: EventCompleted, Submission: j.submission.ID, Route: j.submission.Route, Age: now.Sub(j.submission.AcceptedAt),
		Reason: completionTimeliness(now, j),
	})
}

func completionTimeliness(now time.Time, j *job) string {
	lag := j.lag(j.submission.Occurrences() - 1)
	switch {
	case !now.After(j.softDeadline.Add(lag)):
		return "in time"
	case !now.After(j.hardDeadline.Add(lag)):
		return "late"
	default:
		return "too late"
	}
}

// handleFailure counts a failed run, and fails the submission once its attempts are exhausted.
func (c *Cell) handleFailure(now time.Time, w *worker, r *run, s *step, e *medlarorder.Ended) {
	j, t := s.occurrence.job, &s.tasks[e.Task.Index]
	if r != nil && len(w.recentFailedJobs) == 0 {
		c.extendDeadlines(now, r)
	}
	c.countWorkerFailure(now, w, j)
	t.avoidWorker = w.info.ID
	c.emit(Event{Kind: EventTaskFailed, Task: e.Task, Run: e.Run, Worker: w.info.ID, Count: len(t.failedRuns) + 1})
	if s.spec.LongRunning {
		c.requeue(now, s, e.Task.Index)
		return
	}
	if !slices.Contains(t.failedRuns, e.Run) {
		t.failedRuns = append(t.failedRuns, e.Run)
	}
	c.markTaskDirty(s, e.Task.Index)
	if len(t.failedRuns) >= max(1, j.submission.Policy.MaxAttempts) {
		c.finish(now, j, medlarsubmission.StateFailed)
		c.emit(Event{Kind: EventFailed, Submission: j.submission.ID, Route: j.submission.Route, Task: e.Task, Worker: w.info.ID, Age: now.Sub(j.submission.AcceptedAt)})
		return
	}
	c.requeue(now, s, e.Task.Index)
}

// extendDeadlines postpones the deadlines of a submission in proportion to the duration of a failed run, which lengthens
// its critical path. The caller skips it for a worker whose previous run has failed too, since the worker may be the
// cause.
func (c *Cell) extendDeadlines(now time.Time, r *run) {
	j, t := r.job(), r.task()
	if r.confirmedAt.IsZero() || r.step.spec.LongRunning || j.submission.OccurrenceCount > 0 {
		return
	}
	t.failedTime += now.Sub(r.confirmedAt)
	if t.failedTime <= j.failedTime {
		return
	}
	extension := time.Duration(j.submission.Policy.Stretch * float64(t.failedTime-j.failedTime))
	j.failedTime = t.failedTime
	j.softDeadline = j.softDeadline.Add(extension)
	j.hardDeadline = j.hardDeadline.Add(time.Duration(c.config.HardDeadlineFactor * float64(extension)))
}
