package medlarjob

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"medlarwheel"
)

// Batch gathers decisions into one transaction of bounded size.
type Batch struct {
	config  Config
	jobs    []Decision
	values  []json.RawMessage
	byKey   map[string]int
	workers map[string]*workerChange
	// others are further writes of the transaction.
	others []medlarwheel.Write
	bytes  int
}

// Errors of Batch.Add.
var (
	// ErrBatchFull means that the decision goes into the next transaction.
	ErrBatchFull = errors.New("batch is full")
	// ErrMixedViews means that two decisions were made from different reads of one row. The second is to be made anew from
	// the record that the first one returned.
	ErrMixedViews = errors.New("decisions were made from different views of a row")
)

// NewBatch returns an empty batch.
func NewBatch(config Config) *Batch {
	return &Batch{config: config, byKey: make(map[string]int), workers: make(map[string]*workerChange)}
}

// Add takes a decision into the transaction. A decision that follows from an earlier one of the same job replaces it.
// One decision always fits an empty batch.
func (b *Batch) Add(d Decision) error {
	if d.IsEmpty() {
		return nil
	}
	value, err := json.Marshal(&d.next.job)
	if err != nil {
		return errors.Wrap(err, "encode job")
	}
	rows := len(b.jobs) + len(b.workers) + len(b.others) + 1 + len(d.next.workers)
	if len(b.jobs) > 0 && (rows > b.config.MaxBatchWrites || b.bytes+len(value) > b.config.MaxBatchBytes) {
		return ErrBatchFull
	}
	at, known := b.byKey[d.next.key]
	if known && (b.jobs[at].next.origin != d.next.origin || d.next.step <= b.jobs[at].next.step) {
		return ErrMixedViews
	}
	for _, c := range d.next.workers {
		if held := b.workers[workerKey(c)]; held != nil && held.record != c.record {
			return ErrMixedViews
		}
	}
	if known {
		b.count(b.jobs[at].next.workers, -1)
		b.bytes -= len(b.values[at])
		b.jobs[at], b.values[at] = d, value
	} else {
		b.byKey[d.next.key] = len(b.jobs)
		b.jobs = append(b.jobs, d)
		b.values = append(b.values, value)
	}
	b.bytes += len(value)
	b.count(d.next.workers, 1)
	return nil
}

// AddWrite takes a further write into the transaction, such as the one of a quota ledger.
func (b *Batch) AddWrite(w medlarwheel.Write) {
	b.others = append(b.others, w)
	b.bytes += len(w.Value)
}

// Decisions lists the decisions of the batch, one for each job.
func (b *Batch) Decisions() []Decision { return b.jobs }

// Writes returns the writes of the transaction, one for each row. It returns ErrTorn if a worker's record has changes
// that belong to none of the decisions.
func (b *Batch) Writes() ([]medlarwheel.Write, error) {
	writes := slices.Clone(b.others)
	for i := range b.jobs {
		r := &b.jobs[i].next
		writes = append(writes, medlarwheel.Write{Key: r.key, ExpectedVersion: r.version, Value: b.values[i]})
	}
	for _, c := range b.workers {
		if c.changes == 0 {
			continue
		}
		if c.changes != c.record.Changes() {
			return nil, medlarwheel.WithOperation("batch", string(c.record.Worker().ID), ErrTorn)
		}
		write, err := c.record.Write()
		if err != nil {
			return nil, err
		}
		writes = append(writes, write)
	}
	slices.SortFunc(writes, func(a, b medlarwheel.Write) int {
		return cmp.Compare(a.Key, b.Key)
	})
	return writes, nil
}

func (b *Batch) count(changes []workerChange, sign int) {
	for _, c := range changes {
		held := b.workers[workerKey(c)]
		if held == nil {
			held = &workerChange{record: c.record}
			b.workers[workerKey(c)] = held
		}
		held.changes += sign * c.changes
	}
}

func workerKey(c workerChange) string { return medlarwheel.WorkerKey(c.record.Worker().ID) }
