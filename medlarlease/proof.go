package medlarlease

import (
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
)

// Proof is evidence that an attempt of a task has ended and that every earlier one has, too. The zero Proof proves
// nothing. Proofs come from FromWorker, TaskLeases.Expired and Recorded.
type Proof struct {
	cause  medlarwheel.EndCause
	task   medlarwheel.TaskID
	ended  medlarwheel.AttemptNumber
	worker medlarwheel.WorkerID
	token  medlarwheel.FencingToken
	// recorded is set when the ending is in the job's committed row.
	recorded bool
}

// ErrNoProof means that there is no evidence that an attempt has ended.
var ErrNoProof = errors.New("no proof that the attempt has ended")

// ProofFromReport returns the proof in a worker's word that an attempt has ended.
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

// ProofFromJob returns the proof in a job's committed row that the attempt before the placed one has ended. A first attempt
// has none before it.
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

// Covers returns nil if p proves that the attempt has ended on the worker that it was committed on. token is the token
// of the commitment: the word of a worker that has seen only lower ones is stale.
func (p Proof) Covers(attempt medlarwheel.TaskAttempt, worker medlarwheel.WorkerID, token medlarwheel.FencingToken) error {
	if p.cause == "" || p.task != attempt.Task || p.ended != attempt.Attempt || p.worker != worker {
		return ErrNoProof
	}
	if p.token < token {
		return medlarwheel.WithOperation("check proof", string(worker), medlarwheel.ErrStale)
	}
	return nil
}

// AttemptEnd returns the form of p that the job's row keeps.
func (p Proof) AttemptEnd() medlarwheel.AttemptEnd {
	return medlarwheel.AttemptEnd{Attempt: p.ended, Worker: p.worker, Cause: p.cause, Token: p.token}
}

// Start returns the command that starts the placed attempt of a task. p must be recorded in the job's row, so that no
// start goes out before the release of the attempt before it and the new commitment have taken effect. The row must have
// been written under the owner's token: an earlier owner that has found the attempt's lease expired may still be about to
// record that, and only a change of the row stops it.
func (p Proof) Start(
	leases *TaskLeases, own *Ownership, job *medlarwheel.Job, index int, now time.Time,
) (Start, error) {
	if !p.recorded || index < 0 || index >= len(job.Tasks) || p.task != job.TaskID(index) {
		return Start{}, ErrNoProof
	}
	shard, err := ShardOfJob(job.DataCentre, job.ID)
	if err != nil {
		return Start{}, err
	}
	owned, ok := own.MayAct(shard, now)
	if !ok || job.Token != owned.Token {
		return Start{}, medlarwheel.WithOperation("start "+string(p.task), "", medlarwheel.ErrStale)
	}
	run := job.Tasks[index].Run
	if run == nil || run.Number != p.ended+1 {
		return Start{}, ErrNoProof
	}
	attempt := medlarwheel.TaskAttempt{Task: p.task, Attempt: run.Number}
	until, err := leases.grant(attempt, owned, now)
	if err != nil {
		return Start{}, err
	}
	return Start{order: StartOrder{
		Worker: run.Worker, Attempt: attempt, Token: owned.Token, LeaseEnd: until, Account: job.Account, Template: job.Template,
		Class: job.Class, Size: run.Resources, ResumeFrom: run.ResumeFrom,
	}}, nil
}
