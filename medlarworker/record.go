package medlarworker

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/medlarlease"
)

// Record is a worker's row as it was read, with the changes made since. Each write of a record replaces the earlier ones,
// because it contains all changes.
type Record struct {
	config  Config
	worker  medlarwheel.Worker
	version medlarwheel.RowVersion
	// changes counts the changes since the row was read. All of them have to be written in one transaction.
	changes int
}

// TaskRef identifies an attempt, with its template and class.
type TaskRef struct {
	Task     medlarwheel.TaskID
	Attempt  medlarwheel.AttemptNumber
	Template medlarwheel.TemplateName
	Class    medlarwheel.Class
}

// Errors of Commit and Release.
var (
	// ErrCommitted means that the same commitment is in effect already.
	ErrCommitted = errors.New("attempt is already committed")
	// ErrNotCommitted means that there is no such commitment; the attempt was released already or never committed.
	ErrNotCommitted = errors.New("attempt is not committed")
	// ErrOccupied means that an earlier attempt of the task, or any attempt on a worker that is to be removed, has not been
	// released.
	ErrOccupied = errors.New("an attempt is still committed")
	// ErrDraining means that the worker accepts no new commitments.
	ErrDraining = errors.New("worker is draining")
	// ErrProbation means that the worker is on probation and has no open trial.
	ErrProbation = errors.New("worker is on probation without an open trial")
)

// NoCapacityError reports that the requested resources exceed what is free on a worker.
type NoCapacityError struct {
	Worker    medlarwheel.WorkerID
	Requested medlarwheel.Resources
	Free      medlarwheel.Resources
}

// Error formats the requested and the free resources.
func (e *NoCapacityError) Error() string {
	return fmt.Sprintf("no capacity on worker %s: requested %+v, free %+v", e.Worker, e.Requested, e.Free)
}

// Decode decodes a worker's row.
func Decode(row medlarwheel.Row, config Config) (*Record, error) {
	operation := "decode row " + row.Key
	if row.Deleted || row.Version == 0 {
		return nil, medlarwheel.WithOperation(operation, "", medlarwheel.ErrNotFound)
	}
	r := &Record{config: config, version: row.Version}
	if err := json.Unmarshal(row.Value, &r.worker); err != nil {
		return nil, medlarwheel.WithOperation(operation, "", err)
	}
	if err := r.worker.Check().Err(); err != nil {
		return nil, medlarwheel.WithOperation(operation, "", err)
	}
	return r, nil
}

// Register returns the record of a worker that has no row yet. Its Write creates the row.
func Register(worker medlarwheel.Worker, config Config) (*Record, error) {
	if err := worker.Check().Err(); err != nil {
		return nil, err
	}
	return &Record{config: config, worker: worker}, nil
}

// Worker returns the worker with all changes. The caller must not change it.
func (r *Record) Worker() *medlarwheel.Worker { return &r.worker }

// Version returns the version of the row that the record was read from.
func (r *Record) Version() medlarwheel.RowVersion { return r.version }

// Changes counts the changes since the row was read.
func (r *Record) Changes() int { return r.changes }

// Clone returns an independent copy of r, on which changes can be tried.
func (r *Record) Clone() *Record {
	c := *r
	c.worker.Commitments = slices.Clone(r.worker.Commitments)
	c.worker.ConsecutiveFailures = slices.Clone(r.worker.ConsecutiveFailures)
	if r.worker.Probation != nil {
		p := *r.worker.Probation
		c.worker.Probation = &p
	}
	return &c
}

// Write returns the compare-and-set write of the row with all changes.
func (r *Record) Write() (medlarwheel.Write, error) {
	value, err := json.Marshal(&r.worker)
	if err != nil {
		return medlarwheel.Write{}, errors.Wrapf(err, "encode row of worker %s", r.worker.ID)
	}
	return medlarwheel.Write{Key: medlarwheel.WorkerKey(r.worker.ID), ExpectedVersion: r.version, Value: value}, nil
}

// Commit commits resources of the worker to an attempt. token is the token of the owner of the job's shard. It returns the
// write of the row. On an error the record is unchanged.
func (r *Record) Commit(
	ref TaskRef, resources medlarwheel.Resources, token medlarwheel.FencingToken,
) (medlarwheel.Write, error) {
	if err := r.AddCommitment(ref, resources, token); err != nil {
		return medlarwheel.Write{}, err
	}
	return r.Write()
}

// AddCommitment is Commit without the write, for decisions whose writes are collected in a batch.
func (r *Record) AddCommitment(ref TaskRef, resources medlarwheel.Resources, token medlarwheel.FencingToken) error {
	w := &r.worker
	at, found := r.findCommitment(ref.Task)
	if found {
		return duplicateCommitmentError(&w.Commitments[at], ref.Attempt, token)
	}
	switch {
	case w.Draining:
		return ErrDraining
	case w.Probation != nil && !w.Probation.TrialOpen:
		return ErrProbation
	}
	if err := resources.Check("resources").Err(); err != nil {
		return err
	}
	if !w.Committed().Plus(resources).Fits(w.Size) {
		return &NoCapacityError{Worker: w.ID, Requested: resources, Free: w.Free()}
	}
	w.Commitments = slices.Insert(w.Commitments, at, medlarwheel.Commitment{
		Task: ref.Task, Attempt: ref.Attempt, Template: ref.Template, Class: ref.Class, Token: token, Resources: resources,
	})
	r.changes++
	if w.Probation != nil {
		w.Probation.TrialOpen = false
		w.Probation.Trial = &medlarwheel.TaskAttempt{Task: ref.Task, Attempt: ref.Attempt}
	}
	return nil
}

// duplicateCommitmentError returns the reason why a task with a commitment gets no second one.
func duplicateCommitmentError(
	c *medlarwheel.Commitment, attempt medlarwheel.AttemptNumber, token medlarwheel.FencingToken,
) error {
	switch {
	case c.Attempt == attempt && c.Token == token:
		return ErrCommitted
	case c.Attempt > attempt || c.Token > token:
		return medlarwheel.WithOperation("commit "+string(c.Task), "", errors.Wrapf(medlarwheel.ErrStale,
			"got attempt %d with token %d, the worker has attempt %d with token %d", attempt, token, c.Attempt, c.Token))
	default:
		return errors.Wrapf(ErrOccupied, "commit %s attempt %d over attempt %d", c.Task, attempt, c.Attempt)
	}
}

// Release ends a commitment. proof has to prove that the attempt has ended. result counts towards the worker's probation,
// with the time now.
func (r *Record) Release(
	attempt medlarwheel.TaskAttempt, proof medlarlease.Proof, result medlarwheel.AttemptResult, now time.Time,
) (medlarwheel.Write, error) {
	if err := r.RemoveCommitment(attempt, proof, result, now); err != nil {
		return medlarwheel.Write{}, err
	}
	return r.Write()
}

// RemoveCommitment is Release without the write, for decisions whose writes are collected in a batch.
func (r *Record) RemoveCommitment(
	attempt medlarwheel.TaskAttempt, proof medlarlease.Proof, result medlarwheel.AttemptResult, now time.Time,
) error {
	at, found := r.findCommitment(attempt.Task)
	if !found || r.worker.Commitments[at].Attempt < attempt.Attempt {
		return errors.Wrapf(ErrNotCommitted, "release %s attempt %d on worker %s", attempt.Task, attempt.Attempt, r.worker.ID)
	}
	c := &r.worker.Commitments[at]
	if c.Attempt > attempt.Attempt {
		return medlarwheel.WithOperation("release "+string(attempt.Task), string(r.worker.ID), errors.Wrapf(medlarwheel.ErrStale,
			"got attempt %d, the worker has attempt %d", attempt.Attempt, c.Attempt))
	}
	if err := proof.Covers(attempt, r.worker.ID, c.Token); err != nil {
		return err
	}
	r.worker.Commitments = slices.Delete(r.worker.Commitments, at, at+1)
	r.changes++
	r.recordResult(attempt, result, now)
	return nil
}

// Resolution is the outcome of a commitment whose transaction had no response.
type Resolution int

// The resolutions.
const (
	// Applied means that the commitment is in effect.
	Applied Resolution = iota
	// NotApplied means that the commitment is not in effect and never will be, because the row has changed since. It may have
	// been made and released in the meantime, so the same attempt must not be committed again.
	NotApplied
	// Unresolved means that the transaction may still take effect, because the row still has the version that it expects.
	Unresolved
)

// Resolve returns the outcome of a commitment whose transaction expects a row version. r is the row as read back.
func (r *Record) Resolve(
	expectedVersion medlarwheel.RowVersion, attempt medlarwheel.TaskAttempt, token medlarwheel.FencingToken,
) Resolution {
	at, found := r.findCommitment(attempt.Task)
	switch {
	case found && r.worker.Commitments[at].Attempt == attempt.Attempt && r.worker.Commitments[at].Token == token:
		return Applied
	case r.version == expectedVersion:
		return Unresolved
	default:
		return NotApplied
	}
}

func (r *Record) findCommitment(task medlarwheel.TaskID) (int, bool) {
	return slices.BinarySearchFunc(r.worker.Commitments, task, func(c medlarwheel.Commitment, t medlarwheel.TaskID) int {
		return cmp.Compare(c.Task, t)
	})
}
