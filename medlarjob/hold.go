package medlarjob

import (
	"fmt"
	"slices"
	"time"

	"medlarwheel"
)

// recordFailure counts a failure against a task. It holds the task if it has failed too often, and fails the job if the
// task has used up its attempts.
func (d *draft) recordFailure(index int, worker medlarwheel.WorkerID, reason string) {
	task := &d.job.Tasks[index]
	reason = d.config.truncateReason(reason)
	task.Failures++
	task.FailedOn = addFailure(task.FailedOn, worker)
	if limit := d.maxAttempts(); limit > 0 && task.Failures >= limit {
		task.State = medlarwheel.JobFailed
		task.Reason = d.config.truncateReason(fmt.Sprintf("failed %d times: %s", task.Failures, reason))
		d.cancelUnplacedTasks(d.config.truncateReason(fmt.Sprintf("task %d %s", index, task.Reason)))
		return
	}
	if !d.shouldHold(task) {
		d.requeue(task)
		return
	}
	wait := backoff(d.config.HoldWait, task.Holds, d.config.MaxHoldWait)
	d.requeue(task)
	task.Holds++
	task.State = medlarwheel.JobHeld
	task.HeldUntil = d.now.Add(wait)
	task.Reason = d.config.truncateReason(fmt.Sprintf("failed on %d workers: %s", len(task.FailedOn), reason))
}

// maxAttempts returns the bound on failed attempts, or zero for a service, whose tasks are held but never fail permanently.
func (d *draft) maxAttempts() int {
	switch {
	case d.job.Kind == medlarwheel.KindService:
		return 0
	case d.job.Spec.MaxAttempts > 0:
		return d.job.Spec.MaxAttempts
	default:
		return d.config.MaxAttempts
	}
}

func (d *draft) shouldHold(task *medlarwheel.Task) bool {
	failures := 0
	for _, f := range task.FailedOn {
		failures += f.Count
	}
	return len(task.FailedOn) >= d.config.HoldWorkers || failures >= d.config.HoldFailures
}

// EndHolds queues the held tasks whose hold has ended by now.
func (r *Record) EndHolds(token medlarwheel.FencingToken, now time.Time) (Decision, error) {
	at, held := r.NextHoldEnd()
	if !held || now.Before(at) {
		return r.unchanged(), nil
	}
	d, err := r.draft(token, now)
	if err != nil {
		return Decision{}, err
	}
	for i := range d.job.Tasks {
		task := &d.job.Tasks[i]
		if task.State == medlarwheel.JobHeld && !d.now.Before(task.HeldUntil) {
			task.FailedOn = nil
			d.requeue(task)
		}
	}
	return d.decision(), nil
}

// NextHoldEnd returns when the first hold ends, and false if no task is held.
func (r *Record) NextHoldEnd() (time.Time, bool) {
	var at time.Time
	held := false
	for i := range r.job.Tasks {
		task := &r.job.Tasks[i]
		if task.State == medlarwheel.JobHeld && (!held || task.HeldUntil.Before(at)) {
			at, held = task.HeldUntil, true
		}
	}
	return at, held
}

// ClearWorkerFailures removes the failures on a worker from the counts of the job's tasks. It is for a worker that was put
// on probation, because its failures say nothing about the job. A task that was held only because of them is queued again.
func (r *Record) ClearWorkerFailures(worker medlarwheel.WorkerID, token medlarwheel.FencingToken, now time.Time) (Decision, error) {
	onWorker := func(f medlarwheel.WorkerFailures) bool { return f.Worker == worker }
	affected := slices.ContainsFunc(r.job.Tasks, func(t medlarwheel.Task) bool {
		return slices.ContainsFunc(t.FailedOn, onWorker)
	})
	if !affected || r.job.State.IsFinal() {
		return r.unchanged(), nil
	}
	d, err := r.draft(token, now)
	if err != nil {
		return Decision{}, err
	}
	for i := range d.job.Tasks {
		task := &d.job.Tasks[i]
		at := slices.IndexFunc(task.FailedOn, onWorker)
		if at < 0 || task.State.IsFinal() {
			continue
		}
		task.Failures -= task.FailedOn[at].Count
		task.FailedOn = slices.Delete(slices.Clone(task.FailedOn), at, at+1)
		if task.State == medlarwheel.JobHeld && !d.shouldHold(task) {
			task.Holds--
			task.Reason = ""
			d.requeue(task)
		}
	}
	return d.decision(), nil
}

// holdReason returns the reason of the first held task of a held job, and an empty text for any other job.
func holdReason(job *medlarwheel.Job) string {
	if job.State != medlarwheel.JobHeld {
		return ""
	}
	at := slices.IndexFunc(job.Tasks, func(t medlarwheel.Task) bool { return t.State == medlarwheel.JobHeld })
	return job.Tasks[at].Reason
}

func addFailure(list []medlarwheel.WorkerFailures, worker medlarwheel.WorkerID) []medlarwheel.WorkerFailures {
	next := slices.Clone(list)
	for i := range next {
		if next[i].Worker == worker {
			next[i].Count++
			return next
		}
	}
	return append(next, medlarwheel.WorkerFailures{Worker: worker, Count: 1})
}

// backoff returns base doubled n times, but at most limit.
func backoff(base time.Duration, n int, limit time.Duration) time.Duration {
	for range n {
		if base >= limit/2 {
			return limit
		}
		base *= 2
	}
	return base
}
