package medlarcell

import (
	"slices"
	"time"

	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// ended takes in one end from a worker's list.
func (c *Cell) ended(now time.Time, w *worker, e *medlarorder.Ended) {
	r := w.find(e.Task, e.Run)
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
	s, t := j.taskOf(e.Task)
	if t == nil {
		return
	}
	t.endedRun = max(t.endedRun, e.Run)
	t.lastRun = max(t.lastRun, e.Run)
	if j.state.IsFinal() || t.done {
		return
	}
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	switch e.Kind {
	case medlarorder.EndDone:
		c.done(now, w, r, s, e)
	case medlarorder.EndFailed:
		c.failed(now, w, r, s, e)
	default:
		c.markDirty(j)
		c.requeue(now, s, e.Task.Index)
	}
}

// done records the end of a task's work.
func (c *Cell) done(now time.Time, w *worker, r *run, s *step, e *medlarorder.Ended) {
	w.failedJobs, w.suspensions = w.failedJobs[:0], 0
	j := s.occurrence.job
	if !j.started {
		c.markStarted(j)
	}
	if s.spec.LongRunning {
		c.requeue(now, s, e.Task.Index)
		return
	}
	if r != nil {
		c.learn(now, r)
		c.learnRunTime(now, r)
	}
	for _, other := range append([]*run(nil), s.tasks[e.Task.Index].runs...) {
		c.stop(now, other)
	}
	if s.spec.Gang {
		// One end stands for all members.
		for i := range s.tasks {
			s.complete(i)
		}
	}
	s.complete(e.Task.Index)
	c.hasIdle = true
	c.markDirty(j)
	if s.left == 0 {
		for _, later := range s.occurrence.steps {
			c.enqueue(now, later)
		}
	}
	c.checkComplete(now, j)
}

func (c *Cell) checkComplete(now time.Time, j *job) {
	for _, o := range j.occurrences {
		if o.left > 0 {
			return
		}
	}
	if j.state.IsFinal() {
		return
	}
	c.finish(now, j, medlarsubmission.StateCompleted)
	c.note(Note{
		Kind: NoteCompleted, Submission: j.submission.ID, Route: j.submission.Route, Age: now.Sub(j.submission.AcceptedAt),
		Reason: timeliness(now, j),
	})
}

func timeliness(now time.Time, j *job) string {
	switch {
	case !now.After(j.due):
		return "in time"
	case !now.After(j.useless):
		return "late"
	default:
		return "too late"
	}
}

// failed counts a failed run, and fails the submission once the attempts are used up.
func (c *Cell) failed(now time.Time, w *worker, r *run, s *step, e *medlarorder.Ended) {
	j, t := s.occurrence.job, &s.tasks[e.Task.Index]
	if r != nil && len(w.failedJobs) == 0 {
		c.extend(now, r)
	}
	c.blame(now, w, j)
	t.avoid = w.info.ID
	c.note(Note{Kind: NoteTaskFailed, Task: e.Task, Run: e.Run, Worker: w.info.ID, Count: len(t.failed) + 1})
	if s.spec.LongRunning {
		c.requeue(now, s, e.Task.Index)
		return
	}
	if !slices.Contains(t.failed, e.Run) {
		t.failed = append(t.failed, e.Run)
	}
	c.markDirty(j)
	if len(t.failed) >= max(1, j.submission.Terms.MaxAttempts) {
		c.finish(now, j, medlarsubmission.StateFailed)
		c.note(Note{Kind: NoteFailed, Submission: j.submission.ID, Route: j.submission.Route, Task: e.Task, Worker: w.info.ID, Age: now.Sub(j.submission.AcceptedAt)})
		return
	}
	c.requeue(now, s, e.Task.Index)
}

// extend moves the objective of a submission by a run that has failed: the chain of its work is that much longer. A worker
// whose last run has failed too may be the cause itself.
func (c *Cell) extend(now time.Time, r *run) {
	j, t := r.job(), r.task()
	if r.confirmedAt.IsZero() || r.step.spec.LongRunning || j.submission.Times > 0 {
		return
	}
	t.failedFor += now.Sub(r.confirmedAt)
	if t.failedFor <= j.failedFor {
		return
	}
	longer := time.Duration(j.submission.Terms.Stretch * float64(t.failedFor-j.failedFor))
	j.failedFor = t.failedFor
	j.due = j.due.Add(longer)
	j.useless = j.useless.Add(time.Duration(c.config.LateFactor * float64(longer)))
}

// blame counts a failed run against the worker. Failures of different submissions in a row point to the worker; those of
// one submission point to the submission.
func (c *Cell) blame(now time.Time, w *worker, j *job) {
	if slices.Contains(w.failedJobs, j.submission.ID) {
		return
	}
	w.failedJobs = append(w.failedJobs, j.submission.ID)
	if len(w.failedJobs) < c.config.FailuresToSuspend {
		return
	}
	pause := c.config.SuspendTime << min(w.suspensions, maxSuspendDoublings)
	w.suspensions++
	w.failedJobs = w.failedJobs[:0]
	w.pausedTo = now.Add(pause)
	c.note(Note{Kind: NoteWorkerSuspended, Worker: w.info.ID, Age: pause, Count: w.suspensions})
}

// maxSuspendDoublings bounds the growth of the suspension of a worker that fails everything.
const maxSuspendDoublings = 3
