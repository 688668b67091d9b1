package medlarjob

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/medlarworker"
)

// Record is a job's row as it was read, with the changes of the decisions made since. It is a value: making a decision
// does not change the record that it is made from.
type Record struct {
	config  Config
	key     string
	job     medlarwheel.Job
	version medlarwheel.RowVersion
	// initialResources is the sum of the resources committed to the placed tasks when the row was read.
	initialResources medlarwheel.Resources
	// revision counts the changes since the row was read, and workers lists the worker records that they changed.
	revision int
	read     *readIdentity
	workers  []workerChange
}

// readIdentity distinguishes records that were read separately. It is not empty, because pointers to distinct empty values
// may be equal.
type readIdentity struct{ _ byte }

// workerChange is a worker's record with the number of its changes that belong to one job's decisions.
type workerChange struct {
	record  *medlarworker.Record
	changes int
}

// Errors of transitions.
var (
	// ErrOutdated means that the job's row is older than the event or than a worker's row. Read both again.
	ErrOutdated = errors.New("job row is older than the event or the worker row")
	// ErrInvalidState means that the transition is not allowed in the state of the job or the task.
	ErrInvalidState = errors.New("transition not allowed in the current state")
	// ErrSplitTransaction means that changes of a worker's record belong to decisions that are not in the same transaction.
	ErrSplitTransaction = errors.New("changes of a worker row are split across transactions")
)

// Decode decodes a job's row.
func Decode(row medlarwheel.Row, config Config) (Record, error) {
	operation := "decode row " + row.Key
	if row.Deleted || row.Version == 0 {
		return Record{}, medlarwheel.WithOperation(operation, "", medlarwheel.ErrNotFound)
	}
	r := Record{config: config, key: row.Key, version: row.Version, read: &readIdentity{}}
	if err := json.Unmarshal(row.Value, &r.job); err != nil {
		return Record{}, medlarwheel.WithOperation(operation, "", err)
	}
	r.initialResources = r.QuotaUsage().Resources
	return r, medlarwheel.WithOperation(operation, "", r.job.Check().Err())
}

// Job returns the job. The caller must not change it.
func (r *Record) Job() *medlarwheel.Job { return &r.job }

// Key returns the key of the job's row.
func (r *Record) Key() string { return r.key }

// Version returns the version of the row that the record was read from.
func (r *Record) Version() medlarwheel.RowVersion { return r.version }

// IsCommitted reports whether the record is the row as the table has it, without changes that have not been written.
func (r *Record) IsCommitted() bool { return r.version != 0 && r.revision == 0 }

// DeleteExpired returns the write that deletes the row of a job that ended longer ago than the retention.
func (r *Record) DeleteExpired(now time.Time) (medlarwheel.Write, bool) {
	if !r.IsCommitted() || !r.job.State.IsFinal() || now.Sub(r.job.EndedAt) < r.config.Retention {
		return medlarwheel.Write{}, false
	}
	return medlarwheel.Write{Key: r.key, ExpectedVersion: r.version, Delete: true}, true
}

// Decision is the outcome of a transition: a change of the job's row and of workers' rows that must take effect in one
// transaction, or nothing.
type Decision struct {
	next    Record
	changed bool
}

// IsEmpty reports whether the transition changed nothing.
func (d *Decision) IsEmpty() bool { return !d.changed }

// Record returns the record with the changes of the decision, to make further decisions before the transaction is sent.
// They include the changes of this one.
func (d *Decision) Record() Record { return d.next }

// Committed returns the record after the transaction has taken effect at the given row version.
func (d *Decision) Committed(version medlarwheel.RowVersion) Record {
	r := d.next
	r.version, r.revision, r.workers, r.read = version, 0, nil, &readIdentity{}
	r.initialResources = r.QuotaUsage().Resources
	return r
}

// Writes returns the writes of the transaction. If other decisions have changed the same workers' records, use a Batch.
func (d *Decision) Writes() ([]medlarwheel.Write, error) {
	b := NewBatch(d.next.config)
	if err := b.Add(*d); err != nil {
		return nil, err
	}
	return b.Writes()
}

// draft is a transition that is being made.
type draft struct {
	Record
	now time.Time
}

// draft copies the record for a transition by the owner with the token.
func (r *Record) draft(token medlarwheel.FencingToken, now time.Time) (*draft, error) {
	if token < r.job.Token {
		return nil, medlarwheel.WithOperation("change job "+string(r.job.ID), "", errors.Wrapf(medlarwheel.ErrStale,
			"got token %d, the row has %d", token, r.job.Token))
	}
	d := &draft{Record: *r, now: rowTime(now)}
	d.job.Tasks = slices.Clone(r.job.Tasks)
	d.workers = slices.Clone(r.workers)
	d.job.Token = token
	return d, nil
}

// decision derives the job's state from its tasks and returns the finished transition.
func (d *draft) decision() Decision {
	d.job.State = stateOf(&d.job)
	if !d.job.Cancelling {
		d.job.Reason = holdReason(&d.job)
	}
	if d.job.State.IsFinal() && d.job.EndedAt.IsZero() {
		d.job.EndedAt = d.now
	}
	d.revision++
	return Decision{next: d.Record, changed: true}
}

// countWorkerChange counts one change of a worker's record as part of the decision.
func (d *draft) countWorkerChange(worker *medlarworker.Record) {
	at := slices.IndexFunc(d.workers, func(c workerChange) bool { return c.record == worker })
	if at < 0 {
		at = len(d.workers)
		d.workers = append(d.workers, workerChange{record: worker})
	}
	d.workers[at].changes++
}

// unchanged returns the decision for an event that changes nothing.
func (r *Record) unchanged() Decision { return Decision{next: *r} }

// taskIndex returns a task's index if the id names one of the job.
func (r *Record) taskIndex(id medlarwheel.TaskID) (int, bool) {
	job, index, ok := medlarwheel.ParseTaskID(id)
	return index, ok && job == r.job.ID && index < len(r.job.Tasks)
}

// rowTime converts a time to the form kept in rows: UTC, in milliseconds, without the monotonic clock reading.
func rowTime(t time.Time) time.Time { return t.UTC().Truncate(time.Millisecond) }

// truncateReason cuts a reason to MaxReason bytes, without splitting a UTF-8 character.
func (c Config) truncateReason(text string) string {
	if len(text) <= c.MaxReason {
		return text
	}
	cut := c.MaxReason
	for cut > 0 && text[cut]&0xC0 == 0x80 {
		cut--
	}
	return text[:cut]
}

// currentAttempt identifies the current attempt of a task.
func (r *Record) currentAttempt(index int) medlarwheel.TaskAttempt {
	return medlarwheel.TaskAttempt{Task: r.job.TaskID(index), Attempt: r.job.Tasks[index].Attempt}
}
