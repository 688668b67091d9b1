// Package medlargroupcommit stores accepted submissions and cancellations in the table by group commit: requests that arrive
// while a transaction for their part is in progress share the next one.
//
// A submission is accepted only after the table has stored its row. It is refused only if its row was not stored and
// never will be. Otherwise the result is unknown.
//
// # Usage
//
//	writer := medlargroupcommit.New(config, store, health)
//	result := writer.Insert(ctx, row)
package medlargroupcommit

import (
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/internal/state/medlarhedge"
	"medlarwheel/internal/state/medlartable"
)

// Result is the result of inserting a row, as instances send it to each other.
type Result string

// The results of inserting a row.
const (
	// ResultStored means that the row is stored, by this or an earlier request.
	ResultStored Result = "stored"
	// ResultRefused means that the row was not stored and never will be.
	ResultRefused Result = "refused"
	// ResultUnknown means that the row may be stored, now or later.
	ResultUnknown Result = "unknown"
)

// IsValid reports whether r is one of the results.
func (r Result) IsValid() bool {
	return r == ResultStored || r == ResultRefused || r == ResultUnknown
}

// Store is the platform's table.
type Store = medlarhedge.Store

// Config configures a writer.
type Config struct {
	// MaxRows is the largest number of rows in one transaction. Each row takes two entries.
	MaxRows int
	// MaxBytes limits the size of the values in one transaction. It is below the size limit of the table, which applies to
	// encoded values.
	MaxBytes int
	// MaxQueued is the largest number of requests that wait for a transaction. Further ones are refused.
	MaxQueued int
	// Hedge configures when a second copy of a transaction is sent, and the time without a response after
	// which its outcome is reported as unknown.
	Hedge medlarhedge.Config
}

// DefaultConfig returns the configuration for transactions of 100 entries and one megabyte.
func DefaultConfig() Config {
	return Config{
		MaxRows: medlartable.MaxEntries / 2, MaxBytes: 600 << 10, MaxQueued: 500, Hedge: medlarhedge.DefaultConfig(),
	}
}

type request struct {
	row    medlartable.Row
	result chan Result
}

// Writer groups rows into transactions. The transactions of one part are sent one after another, and those of different parts
// concurrently.
type Writer struct {
	config Config
	hedged *medlarhedge.Writer
	mu     sync.Mutex
	// queues holds the queued requests of each part that has a running writePart goroutine.
	queues map[string][]*request
	queued int
}

// New returns a writer, which reports the outcome of every call to health.
func New(c Config, store Store, health *TableHealth) *Writer {
	return &Writer{
		config: c, hedged: medlarhedge.New(c.Hedge, store, health.clock, health.Report), queues: map[string][]*request{},
	}
}

// Insert stores a row that must not exist yet, and waits for the result. A row that exists already counts as stored.
func (w *Writer) Insert(ctx context.Context, row medlartable.Row) Result {
	pending, ok := w.Begin(row)
	if !ok {
		return ResultRefused
	}
	select {
	case result := <-pending.Result():
		return result
	case <-ctx.Done():
		return pending.Cancel()
	}
}

// Pending is a row whose result is awaited.
type Pending struct {
	writer  *Writer
	request *request
}

// Begin queues a row as Insert does, without waiting for the result. It returns false if MaxQueued requests are queued; the row is
// then not stored.
func (w *Writer) Begin(row medlartable.Row) (Pending, bool) {
	r := &request{row: row, result: make(chan Result, 1)}
	return Pending{writer: w, request: r}, w.enqueue(r)
}

// Result returns the channel that receives the result.
func (p Pending) Result() <-chan Result { return p.request.result }

// Cancel ends the wait. The result is ResultRefused if no transaction includes the row, and otherwise ResultUnknown if there is none yet.
func (p Pending) Cancel() Result {
	if p.writer.withdraw(p.request) {
		return ResultRefused
	}
	select {
	case result := <-p.request.result:
		return result
	default:
		return ResultUnknown
	}
}

// enqueue adds a request to the queue of its part, and starts a writePart goroutine for the part if there is none. It returns
// false if MaxQueued requests are queued.
func (w *Writer) enqueue(r *request) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queued >= w.config.MaxQueued {
		return false
	}
	w.queued++
	part := r.row.Part
	queue, hasWriter := w.queues[part]
	w.queues[part] = append(queue, r)
	if !hasWriter {
		go w.writePart(part)
	}
	return true
}

// withdraw removes a request from its queue. It returns false if a transaction already includes it.
func (w *Writer) withdraw(r *request) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	queue := w.queues[r.row.Part]
	if n := slices.Index(queue, r); n >= 0 {
		w.queues[r.row.Part] = slices.Delete(queue, n, n+1)
		w.queued--
		return true
	}
	return false
}

// writePart stores the rows of a part until its queue is empty.
func (w *Writer) writePart(part string) {
	for batch := w.nextBatch(part); len(batch) > 0; batch = w.nextBatch(part) {
		w.writeBatch(batch)
	}
}

// nextBatch dequeues the requests of the next transaction of a part. A second request for the same row stays queued until the
// first one has its result.
func (w *Writer) nextBatch(part string) []*request {
	w.mu.Lock()
	defer w.mu.Unlock()
	queue := w.queues[part]
	if len(queue) == 0 {
		delete(w.queues, part)
		return nil
	}
	var batch, rest []*request
	size := 0
	keys := map[string]bool{}
	for _, r := range queue {
		size += len(r.row.Value)
		if keys[r.row.Key] || len(batch) >= w.config.MaxRows || len(batch) > 0 && size > w.config.MaxBytes {
			rest = append(rest, r)
			continue
		}
		keys[r.row.Key] = true
		batch = append(batch, r)
	}
	w.queues[part] = rest
	w.queued -= len(batch)
	return batch
}

// writeBatch stores a batch. If some rows exist already, their requests are completed and the others are sent again.
func (w *Writer) writeBatch(batch []*request) {
	for len(batch) > 0 {
		var t medlartable.Transaction
		for _, r := range batch {
			t.Require = append(t.Require, medlartable.Row{Table: r.row.Table, Part: r.row.Part, Key: r.row.Key})
			t.Put = append(t.Put, r.row)
		}
		_, err := w.hedged.Transact(t)
		var conflict *medlartable.ConflictError
		switch {
		case err == nil:
			complete(batch, ResultStored)
			return
		case errors.As(err, &conflict):
			rest := completeExisting(batch, conflict)
			if len(rest) == len(batch) {
				// The table reports a conflict, but none of its rows is in this batch.
				complete(batch, ResultUnknown)
				return
			}
			batch = rest
		case medlarwheel.HasNoEffect(err):
			complete(batch, ResultRefused)
			return
		default:
			complete(batch, ResultUnknown)
			return
		}
	}
}

func complete(batch []*request, result Result) {
	for _, r := range batch {
		r.result <- result
	}
}

// completeExisting completes the requests whose rows exist, and returns the others.
func completeExisting(batch []*request, conflict *medlartable.ConflictError) []*request {
	var rest []*request
	for _, r := range batch {
		if row, found := conflict.Find(r.row.Table, r.row.Key); found && row.Version > 0 {
			r.result <- ResultStored
		} else {
			rest = append(rest, r)
		}
	}
	return rest
}
