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
	config     Config
	decisions  []Decision
	jobValues  []json.RawMessage
	indexByKey map[string]int
	workers    map[string]*workerChange
	// extraWrites are further writes of the transaction.
	extraWrites []medlarwheel.Write
	size        int
}

// Errors of Batch.Add.
var (
	// ErrBatchFull means that the decision goes into the next transaction.
	ErrBatchFull = errors.New("batch is full")
	// ErrInconsistentReads means that two decisions were made from different reads of one row. The second is to be made anew from
	// the record that the first one returned.
	ErrInconsistentReads = errors.New("decisions were made from different views of a row")
)

// NewBatch returns an empty batch.
func NewBatch(config Config) *Batch {
	return &Batch{config: config, indexByKey: make(map[string]int), workers: make(map[string]*workerChange)}
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
	rows := len(b.decisions) + len(b.workers) + len(b.extraWrites) + 1 + len(d.next.workers)
	if len(b.decisions) > 0 && (rows > b.config.MaxBatchWrites || b.size+len(value) > b.config.MaxBatchBytes) {
		return ErrBatchFull
	}
	at, known := b.indexByKey[d.next.key]
	if known && (b.decisions[at].next.read != d.next.read || d.next.revision <= b.decisions[at].next.revision) {
		return ErrInconsistentReads
	}
	for _, c := range d.next.workers {
		if held := b.workers[workerKey(c)]; held != nil && held.record != c.record {
			return ErrInconsistentReads
		}
	}
	if known {
		b.addWorkerChanges(b.decisions[at].next.workers, -1)
		b.size -= len(b.jobValues[at])
		b.decisions[at], b.jobValues[at] = d, value
	} else {
		b.indexByKey[d.next.key] = len(b.decisions)
		b.decisions = append(b.decisions, d)
		b.jobValues = append(b.jobValues, value)
	}
	b.size += len(value)
	b.addWorkerChanges(d.next.workers, 1)
	return nil
}

// AddWrite takes a further write into the transaction, such as the one of a quota ledger.
func (b *Batch) AddWrite(w medlarwheel.Write) {
	b.extraWrites = append(b.extraWrites, w)
	b.size += len(w.Value)
}

// Decisions lists the decisions of the batch, one for each job.
func (b *Batch) Decisions() []Decision { return b.decisions }

// Writes returns the writes of the transaction, one for each row. It returns ErrTorn if a worker's record has changes
// that belong to none of the decisions.
func (b *Batch) Writes() ([]medlarwheel.Write, error) {
	writes := slices.Clone(b.extraWrites)
	for i := range b.decisions {
		r := &b.decisions[i].next
		writes = append(writes, medlarwheel.Write{Key: r.key, ExpectedVersion: r.version, Value: b.jobValues[i]})
	}
	for _, c := range b.workers {
		if c.changes == 0 {
			continue
		}
		if c.changes != c.record.Changes() {
			return nil, medlarwheel.WithOperation("batch", string(c.record.Worker().ID), ErrSplitTransaction)
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

func (b *Batch) addWorkerChanges(changes []workerChange, sign int) {
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
