package medlarjob

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/medlarworker"
)

// Record is a job's row as it was read, with the changes of decisions made since. It is a value: a decision leaves the
// record that it was made from as it was.
type Record struct {
	config  Config
	key     string
	job     medlarwheel.Job
	version medlarwheel.RowVersion
	// initialResources is what the placed tasks had when the row was read.
	initialResources medlarwheel.Resources
	// revision counts the changes since the row was read, and workers lists the worker records that they changed.
	revision int
	read     *readIdentity
	workers  []workerChange
}

// readIdentity tells records apart that were read separately.
type readIdentity struct{ _ byte }

// workerChange is a worker's record with the number of its changes that belong to one job's decisions.
type workerChange struct {
	record  *medlarworker.Record
	changes int
}

// Errors of transitions.
var (
	// ErrOutdated means that the job's row is older than the event or than a worker's row: read both again.
	ErrOutdated = errors.New("job row is older than the event")
	// ErrInvalidState means that the task is not in a state for the transition.
	ErrInvalidState = errors.New("task is in another state")
	// ErrSplitTransaction means that changes of a worker's record belong to decisions that are not in the same transaction.
	ErrSplitTransaction = errors.New("changes of a worker row are split over transactions")
)

// Decode reads a job's row.
func Decode(row medlarwheel.Row, config Config) (Record, error) {
	step := "decode row " + row.Key
	if row.Deleted || row.Version == 0 {
		return Record{}, medlarwheel.WithOperation(step, "", medlarwheel.ErrNotFound)
	}
	r := Record{config: config, key: row.Key, version: row.Version, read: &readIdentity{}}
	if err := json.Unmarshal(row.Value, &r.job); err != nil {
		return Record{}, medlarwheel.WithOperation(step, "", err)
	}
	r.initialResources = r.QuotaUsage().Resources
	return r, medlarwheel.WithOperation(step, "", r.job.Check().Err())
}

// Job returns the job. The caller must not change it.
func (r *Record) Job() *medlarwheel.Job { return &r.job }

// Key returns the key of the job's row.
func (r *Record) Key() string { return r.key }

// Version returns the version of the row that the record was read from.
func (r *Record) Version() medlarwheel.RowVersion { return r.version }

// IsCommitted reports whether the record is what the table has, without changes that have not taken effect.
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

// Record returns the job as it is to be, for further transitions before the transaction. Their decisions contain this
// one.
func (d *Decision) Record() Record { return d.next }

// Committed returns the record once the transaction has taken effect with the version.
func (d *Decision) Committed(version medlarwheel.RowVersion) Record {
	r := d.next
	r.version, r.revision, r.workers, r.read = version, 0, nil, &readIdentity{}
	r.initialResources = r.QuotaUsage().Resources
	return r
}

// Writes returns the writes of the transaction. Workers' records that other decisions have changed as well need a Batch.
func (d *Decision) Writes() ([]medlarwheel.Write, error) {
	b := NewBatch(d.next.config)
	if err := b.Add(*d); err != nil {
		return nil, err
	}
	return b.Writes()
}

// draft is a transition in the making.
type draft struct {
	Record
	now time.Time
}

// draft copies the record for a transition by the owner with the token.
func (r *Record) draft(token medlarwheel.FencingToken, now time.Time) (*draft, error) {
	if token < r.job.Token {
		return nil, medlarwheel.WithOperation("change job", string(r.job.ID), medlarwheel.ErrStale)
	}
	d := &draft{Record: *r, now: rowTime(now)}
	d.job.Tasks = slices.Clone(r.job.Tasks)
	d.workers = slices.Clone(r.workers)
	d.job.Token = token
	return d, nil
}

// decision completes the transition.
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

// countWorkerChange counts one more change of a worker's record.
func (d *draft) countWorkerChange(worker *medlarworker.Record) {
	at := slices.IndexFunc(d.workers, func(c workerChange) bool { return c.record == worker })
	if at < 0 {
		at = len(d.workers)
		d.workers = append(d.workers, workerChange{record: worker})
	}
	d.workers[at].changes++
}

// unchanged is the decision of an event that changes nothing.
func (r *Record) unchanged() Decision { return Decision{next: *r} }

// taskIndex returns a task's index if the id names one of the job.
func (r *Record) taskIndex(id medlarwheel.TaskID) (int, bool) {
	job, index, ok := medlarwheel.ParseTaskID(id)
	return index, ok && job == r.job.ID && index < len(r.job.Tasks)
}

// rowTime drops what a row has no use for: the monotonic reading, the zone, and fractions of a millisecond.
func rowTime(t time.Time) time.Time { return t.UTC().Truncate(time.Millisecond) }

// truncateReason cuts a text from outside to the length that a row keeps.
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

// currentAttempt names a task's committed attempt.
func (r *Record) currentAttempt(index int) medlarwheel.TaskAttempt {
	return medlarwheel.TaskAttempt{Task: r.job.TaskID(index), Attempt: r.job.Tasks[index].Attempt}
}
