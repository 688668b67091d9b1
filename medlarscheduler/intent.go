package medlarscheduler

import (
	"time"

	"medlarwheel"
	"medlarwheel/medlarjob"
	"medlarwheel/medlarlease"
	"medlarwheel/medlarworker"
)

// intent is an intended state transition of a job. It is applied to the newest rows when a transaction is built, and again
// after a conflict or an unknown result, so applying it must be idempotent.
type intent struct {
	// key identifies the intent. An intent with the key of a queued one is not added.
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

// takeAll removes and returns all intents.
func (q *intentQueue) takeAll() []intent {
	list := q.list
	q.list, q.keys = nil, make(map[string]bool)
	return list
}

// workerView holds copies of workers' records for one transaction. All changes of a record are written together, so the
// changes of a decision that does not become part of the transaction are undone.
type workerView struct {
	s       *state
	records map[medlarwheel.WorkerID]*medlarworker.Record
	// original holds copies of the records that the current decision uses, from before that decision.
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

// undo reverts the changes since begin.
func (v *workerView) undo() {
	for id, record := range v.original {
		*v.records[id] = *record
	}
}
