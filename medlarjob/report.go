package medlarjob

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/medlarlease"
	"medlarwheel/medlarworker"
)

// ApplyReport applies a worker's report about an attempt. worker is the record of the worker's row; it is required when
// the attempt has ended. If the report of an ended attempt does not mention a checkpoint (phases stopped and absent), the
// caller has to look for the checkpoint object first and to set CheckpointWritten. A report from before the attempt was
// placed changes nothing.
func (r *Record) ApplyReport(
	report *medlarwheel.TaskReport, worker *medlarworker.Record, token medlarwheel.FencingToken, now time.Time,
) (Decision, error) {
	index, ok := r.taskIndex(report.Task)
	if !ok {
		return Decision{}, medlarwheel.WithOperation("apply report on task "+string(report.Task)+" to job "+string(r.job.ID),
			string(report.Worker), medlarwheel.ErrNotFound)
	}
	if current, err := r.isCurrent(index, report.Attempt); !current || report.Worker != r.job.Tasks[index].Run.Worker {
		return r.unchanged(), err
	}
	if report.Token < r.job.Tasks[index].Run.Token {
		return r.unchanged(), nil
	}
	if !report.Phase.IsEnded() {
		return r.markRunning(index, token, now)
	}
	proof, err := medlarlease.ProofFromReport(report)
	if err != nil {
		return Decision{}, err
	}
	result, reason := r.attemptResult(report)
	return r.endAttempt(index, attemptEnd{
		proof: proof, result: result, reason: reason, checkpointed: report.CheckpointWritten, worker: worker,
	}, token, now)
}

// ExpireAttempt ends an attempt whose lease has expired. checkpointed is set if the attempt's checkpoint object exists.
func (r *Record) ExpireAttempt(
	attempt medlarwheel.TaskAttempt, proof medlarlease.Proof, checkpointed bool, worker *medlarworker.Record,
	token medlarwheel.FencingToken, now time.Time,
) (Decision, error) {
	index, ok := r.taskIndex(attempt.Task)
	if !ok {
		return Decision{}, medlarwheel.WithOperation("expire attempt of task "+string(attempt.Task)+" of job "+string(r.job.ID), "",
			medlarwheel.ErrNotFound)
	}
	if current, err := r.isCurrent(index, attempt.Attempt); !current {
		return r.unchanged(), err
	}
	return r.endAttempt(index, attemptEnd{
		proof: proof, result: medlarwheel.ResultLost, reason: "lease ran out", checkpointed: checkpointed, worker: worker,
	}, token, now)
}

// isCurrent reports whether an attempt is the one that is on a worker by the row. An earlier attempt has ended already.
// For a later one it returns ErrOutdated, because the row is older than the event.
func (r *Record) isCurrent(index int, attempt medlarwheel.AttemptNumber) (bool, error) {
	task := &r.job.Tasks[index]
	switch {
	case attempt < task.Attempt || task.State.IsFinal():
		return false, nil
	case attempt > task.Attempt || task.Run == nil:
		return false, errors.Wrapf(ErrOutdated, "event about attempt %d of task %s, row at attempt %d", attempt,
			r.job.TaskID(index), task.Attempt)
	default:
		return true, nil
	}
}

func (r *Record) markRunning(index int, token medlarwheel.FencingToken, now time.Time) (Decision, error) {
	if r.job.Tasks[index].State != medlarwheel.JobPlacing {
		return r.unchanged(), nil
	}
	d, err := r.draft(token, now)
	if err != nil {
		return Decision{}, err
	}
	task := &d.job.Tasks[index]
	run := *task.Run
	run.StartedAt = d.now
	task.Run = &run
	task.State = medlarwheel.JobRunning
	return d.decision(), nil
}

// attemptResult returns the result and the reason of an ended attempt. A service is expected to run until it is stopped,
// so a service task that ends by itself has failed.
func (r *Record) attemptResult(report *medlarwheel.TaskReport) (medlarwheel.AttemptResult, string) {
	switch report.Phase {
	case medlarwheel.PhaseDone:
		if r.job.Kind == medlarwheel.KindService {
			return medlarwheel.ResultFailed, "service task ended"
		}
		return medlarwheel.ResultDone, report.Reason
	case medlarwheel.PhaseFailed:
		return medlarwheel.ResultFailed, report.Reason
	case medlarwheel.PhaseAbsent:
		return medlarwheel.ResultLost, "not known to the worker"
	default:
		return medlarwheel.ResultEvicted, report.Reason
	}
}

// attemptEnd describes how an attempt ended.
type attemptEnd struct {
	proof        medlarlease.Proof
	result       medlarwheel.AttemptResult
	reason       string
	checkpointed bool
	worker       *medlarworker.Record
}

// endAttempt releases the commitment, records the proof and the checkpoint, and assigns the next attempt number.
func (r *Record) endAttempt(index int, e attemptEnd, token medlarwheel.FencingToken, now time.Time) (Decision, error) {
	d, err := r.draft(token, now)
	if err != nil {
		return Decision{}, err
	}
	task := &d.job.Tasks[index]
	if e.worker == nil || e.worker.Worker().ID != task.Run.Worker {
		return Decision{}, medlarwheel.WithOperation("find row of worker to release "+string(r.job.TaskID(index)), string(task.Run.Worker),
			medlarwheel.ErrNotFound)
	}
	attempt := d.currentAttempt(index)
	if err := e.proof.Covers(attempt, task.Run.Worker, task.Run.Token); err != nil {
		return Decision{}, err
	}
	err = e.worker.RemoveCommitment(attempt, e.proof, e.result, now)
	if errors.Is(err, medlarworker.ErrNotCommitted) || errors.Is(err, medlarwheel.ErrStale) {
		return Decision{}, errors.Wrapf(ErrOutdated, "release %s attempt %d on worker %s: %v", attempt.Task, attempt.Attempt,
			task.Run.Worker, err)
	}
	if err != nil {
		return Decision{}, err
	}
	d.countWorkerChange(e.worker)
	d.archiveAttempt(task, e)
	d.transitionAfterEnd(index, e)
	return d.decision(), nil
}

// archiveAttempt moves the attempt to the history and assigns the next attempt number.
func (d *draft) archiveAttempt(task *medlarwheel.Task, e attemptEnd) {
	run := *task.Run
	run.EndedAt, run.Result, run.Reason = d.now, e.result, d.config.truncateReason(e.reason)
	keep := max(1, min(d.config.KeepAttempts, d.config.KeepPerJob/len(d.job.Tasks)))
	history := append(slices.Clone(task.History), run)
	task.History = history[max(0, len(history)-keep):]
	if e.checkpointed {
		task.LatestCheckpoint = run.Number
	}
	evidence := e.proof.AttemptEnd()
	task.PreviousEnd = &evidence
	task.Run = nil
	task.Attempt++
}

// transitionAfterEnd sets the state of the task after its attempt has ended, and evicts the rest of its gang if necessary.
func (d *draft) transitionAfterEnd(index int, e attemptEnd) {
	task := &d.job.Tasks[index]
	switch {
	case e.result == medlarwheel.ResultDone:
		task.State = medlarwheel.JobDone
	case d.job.Cancelling:
		task.State = medlarwheel.JobCancelled
	case e.result == medlarwheel.ResultFailed && !e.worker.IsOnProbation():
		d.recordFailure(index, task.History[len(task.History)-1].Worker, e.reason)
	default:
		d.requeue(task)
	}
	if d.job.Spec.Gang && e.result != medlarwheel.ResultDone {
		d.evictGang()
	}
	d.finishGangCheckpoint()
}

// requeue makes a task wait for a worker. A task outside a gang resumes from its own last checkpoint.
func (d *draft) requeue(task *medlarwheel.Task) {
	if !d.job.Spec.Gang {
		task.ResumeFrom = task.LatestCheckpoint
	}
	task.HeldUntil = time.Time{}
	task.State = medlarwheel.JobQueued
	if task.ResumeFrom > 0 {
		task.State = medlarwheel.JobSuspended
	}
}
