package medlarscheduler

import (
	"time"

	"medlarwheel"
	"medlarwheel/medlarjob"
	"medlarwheel/medlarlease"
	"medlarwheel/medlarworker"
)

// intent is a transition that is to be made of a job. It is applied to the newest rows when a transaction is built, and
// again after a conflict or an unknown result, so it must be harmless to apply twice.
type intent struct {
	// key tells intents apart. A second one with the same key adds nothing.
	key   string
	job   medlarwheel.JobID
	apply func(record *medlarjob.Record, workers *workerView, owned medlarlease.OwnedShard, now time.Time) (medlarjob.Decision, error)
}

// intentQueue holds the intents that wait for a transaction, in order.
type intentQueue struct {
	list []intent
	keys map[string]bool
}

func newIntentQueue() intentQueue { return intentQueue{keys: make(map[string]bool)} }

func (q *intentQueue) add(i intent) {
	if !q.keys[i.key] {
		q.keys[i.key] = true
		q.list = append(q.list, i)
	}
}

// takeAll removes all intents.
func (q *intentQueue) takeAll() []intent {
	list := q.list
	q.list, q.keys = nil, make(map[string]bool)
	return list
}

// workerView holds copies of workers' records for one transaction. A decision that does not go into the transaction is
// undone, because the changes of a record have to go into it all together.
type workerView struct {
	s        *state
	records  map[medlarwheel.WorkerID]*medlarworker.Record
	original map[medlarwheel.WorkerID]*medlarworker.Record
}

func newWorkerView(s *state) *workerView {
	return &workerView{s: s, records: make(map[medlarwheel.WorkerID]*medlarworker.Record)}
}

// begin starts one decision.
func (v *workerView) begin() { v.original = make(map[medlarwheel.WorkerID]*medlarworker.Record) }

// get returns the record of a worker with the changes of earlier decisions, or nil for an unknown worker.
func (v *workerView) get(id medlarwheel.WorkerID) *medlarworker.Record {
	record := v.records[id]
	if record == nil {
		entry := v.s.workers[id]
		if entry == nil {
			return nil
		}
		record = entry.record.Clone()
		v.records[id] = record
	}
	if v.original[id] == nil {
		v.original[id] = record.Clone()
	}
	return record
}

// undo takes back what was changed since begin.
func (v *workerView) undo() {
	for id, record := range v.original {
		*v.records[id] = *record
	}
}
