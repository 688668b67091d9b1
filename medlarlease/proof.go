package medlarlease

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
)

// Proof is evidence that an attempt of a task and all earlier attempts have ended. The zero Proof is no evidence. Proofs
// are returned by ProofFromReport, TaskLeases.ProofOfExpiry and ProofFromJob.
type Proof struct {
	cause  medlarwheel.EndCause
	task   medlarwheel.TaskID
	ended  medlarwheel.AttemptNumber
	worker medlarwheel.WorkerID
	token  medlarwheel.FencingToken
	// recorded is set if the end of the attempt is stored in the job's committed row.
	recorded bool
}

// ErrNoProof means that there is no evidence that an attempt has ended.
var ErrNoProof = errors.New("no proof that the attempt has ended")

// ProofFromReport returns the proof that a worker's report of an ended attempt gives.
func ProofFromReport(report *medlarwheel.TaskReport) (Proof, error) {
	if faults := report.Check(); len(faults) > 0 {
		return Proof{}, faults
	}
	if !report.Phase.IsEnded() {
		return Proof{}, ErrNoProof
	}
	return Proof{
		cause: medlarwheel.EndReportedByWorker, task: report.Task, ended: report.Attempt, worker: report.Worker,
		token: report.Token,
	}, nil
}

// ProofFromJob returns the proof, stored in a job's committed row, that the attempt before the placed one has ended. A
// first attempt needs no stored end, because no attempt precedes it.
func ProofFromJob(job *medlarwheel.Job, version medlarwheel.RowVersion, index int) (Proof, error) {
	if version == 0 || index < 0 || index >= len(job.Tasks) {
		return Proof{}, ErrNoProof
	}
	task := &job.Tasks[index]
	if task.State != medlarwheel.JobPlacing || task.Run == nil || task.Run.Number != task.Attempt {
		return Proof{}, ErrNoProof
	}
	proof := Proof{task: job.TaskID(index), ended: task.Attempt - 1, recorded: true}
	if task.Attempt == 1 {
		return proof, nil
	}
	if task.PreviousEnd == nil || task.PreviousEnd.Attempt != proof.ended {
		return Proof{}, ErrNoProof
	}
	proof.cause, proof.worker, proof.token = task.PreviousEnd.Cause, task.PreviousEnd.Worker, task.PreviousEnd.Token
	return proof, nil
}

// Covers returns nil if p proves that the attempt has ended on the worker that it was committed to. token is the token of
// the commitment: a report of a worker that has seen only lower tokens is stale.
func (p Proof) Covers(attempt medlarwheel.TaskAttempt, worker medlarwheel.WorkerID, token medlarwheel.FencingToken) error {
	if p.cause == "" || p.task != attempt.Task || p.ended != attempt.Attempt || p.worker != worker {
		return medlarwheel.WithOperation(fmt.Sprintf("check proof for attempt %d of task %s", attempt.Attempt, attempt.Task), string(worker), ErrNoProof)
	}
	if p.token < token {
		return medlarwheel.WithOperation(fmt.Sprintf("check proof with token %d, expected at least %d,", p.token, token), string(worker), medlarwheel.ErrStale)
	}
	return nil
}

// AttemptEnd returns p in the form that is stored in the job's row.
func (p Proof) AttemptEnd() medlarwheel.AttemptEnd {
	return medlarwheel.AttemptEnd{Attempt: p.ended, Worker: p.worker, Cause: p.cause, Token: p.token}
}

// Start returns the command that starts the placed attempt of a task. p must come from the job's committed row, so that no
// command is sent before the release of the previous attempt's resources and the new commitment are committed. The row
// must have been written under the owner's token: an earlier owner that found the attempt's lease expired may still try to
// record that, and its write fails only if the row has changed.
func (p Proof) Start(
	leases *TaskLeases, ownership *Ownership, job *medlarwheel.Job, index int, now time.Time,
) (Start, error) {
	if !p.recorded || index < 0 || index >= len(job.Tasks) || p.task != job.TaskID(index) {
		return Start{}, ErrNoProof
	}
	shard, err := ShardOfJob(job.DataCentre, job.ID)
	if err != nil {
		return Start{}, err
	}
	owned, ok := ownership.MayAct(shard, now)
	if !ok || job.Token != owned.Token {
		return Start{}, medlarwheel.WithOperation(fmt.Sprintf("start task %s: job row has token %d, owned shard has token %d (0 if not owned)",
			p.task, job.Token, owned.Token), "", medlarwheel.ErrStale)
	}
	run := job.Tasks[index].Run
	if run == nil || run.Number != p.ended+1 {
		return Start{}, ErrNoProof
	}
	attempt := medlarwheel.TaskAttempt{Task: p.task, Attempt: run.Number}
	leaseEnd, err := leases.grant(attempt, owned, now)
	if err != nil {
		return Start{}, err
	}
	return Start{order: StartOrder{
		Worker: run.Worker, Attempt: attempt, Token: owned.Token, LeaseEnd: leaseEnd, Account: job.Account, Template: job.Template,
		Class: job.Class, Size: run.Resources, ResumeFrom: run.ResumeFrom,
	}}, nil
}
