package medlarjob

import (
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/medlarlease"
	"medlarwheel/medlarworker"
)

// Observations is what an owner knows about a job besides its row.
type Observations struct {
	Owned  medlarlease.OwnedShard
	Leases *medlarlease.TaskLeases
	// Reports is the word of workers, in any order. Reports about other jobs are passed over.
	Reports []medlarwheel.TaskReport
	// Worker returns the record of a worker's row.
	Worker func(medlarwheel.WorkerID) (*medlarworker.Record, error)
	// CheckpointExists tells whether the checkpoint object of an attempt exists.
	CheckpointExists func(medlarwheel.TaskAttempt) bool
}

// Advance applies everything that is known about a job at now: it takes the job into the queue or over from an earlier
// owner, applies the reports, ends attempts whose leases have run out, and ends holds. The decision is one transaction.
// After an error the records that Worker has returned are to be read again.
func (r *Record) Advance(known *Observations, now time.Time) (Decision, error) {
	a := &advancer{observations: known, now: now, decision: r.unchanged(), workers: make(map[medlarwheel.WorkerID]*medlarworker.Record)}
	token := known.Owned.Token
	steps := []func(*Record) (Decision, error){
		func(r *Record) (Decision, error) { return r.Enqueue(token, now) },
		func(r *Record) (Decision, error) { return r.TakeOver(token, now) },
	}
	for i := range known.Reports {
		steps = append(steps, func(r *Record) (Decision, error) { return a.applyReport(r, known.Reports[i]) })
	}
	for index := range r.job.Tasks {
		steps = append(steps, func(r *Record) (Decision, error) { return a.expireLease(r, index) })
	}
	steps = append(steps, func(r *Record) (Decision, error) { return r.EndHolds(token, now) })
	for _, step := range steps {
		current := a.decision.Record()
		next, err := step(&current)
		if err != nil {
			return Decision{}, err
		}
		if !next.IsEmpty() {
			a.decision = next
		}
	}
	return a.decision, nil
}

type advancer struct {
	observations *Observations
	now          time.Time
	decision     Decision
	workers      map[medlarwheel.WorkerID]*medlarworker.Record
}

// applyReport applies a worker's word. Word that does not fit the row is passed over: the worker repeats what still matters.
func (a *advancer) applyReport(r *Record, report medlarwheel.TaskReport) (Decision, error) {
	if _, ok := r.taskIndex(report.Task); !ok {
		return r.unchanged(), nil
	}
	var worker *medlarworker.Record
	if report.Phase.IsEnded() {
		attempt := medlarwheel.TaskAttempt{Task: report.Task, Attempt: report.Attempt}
		report.CheckpointWritten = report.CheckpointWritten || a.observations.CheckpointExists(attempt)
		var err error
		if worker, err = a.workerRecord(report.Worker); err != nil {
			return Decision{}, err
		}
	}
	d, err := r.ApplyReport(&report, worker, a.observations.Owned.Token, a.now)
	if errors.Is(err, ErrOutdated) || errors.Is(err, medlarlease.ErrNoProof) {
		return r.unchanged(), nil
	}
	return d, err
}

func (a *advancer) expireLease(r *Record, index int) (Decision, error) {
	run := r.job.Tasks[index].Run
	if run == nil {
		return r.unchanged(), nil
	}
	attempt := r.currentAttempt(index)
	proof, err := a.observations.Leases.ProofOfExpiry(attempt, a.observations.Owned)
	if err != nil {
		return r.unchanged(), nil
	}
	worker, err := a.workerRecord(run.Worker)
	if err != nil {
		return Decision{}, err
	}
	return r.ExpireAttempt(attempt, proof, a.observations.CheckpointExists(attempt), worker, a.observations.Owned.Token, a.now)
}

// workerRecord returns the same record for every step, so that their changes add up.
func (a *advancer) workerRecord(id medlarwheel.WorkerID) (*medlarworker.Record, error) {
	if known := a.workers[id]; known != nil {
		return known, nil
	}
	record, err := a.observations.Worker(id)
	if err == nil {
		a.workers[id] = record
	}
	return record, err
}
