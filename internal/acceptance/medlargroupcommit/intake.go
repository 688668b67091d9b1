// Package medlargroupcommit makes accepted submissions and cancellations durable. Requests that come in while a write of their
// part is on its way share the next one.
//
// A submission is accepted only after the table has stored its row. A refusal says that it was not stored and never will
// be; when that is not known, the outcome is unknown.
//
// # Usage
//
//	intake := medlargroupcommit.New(config, store, health)
//	result := intake.Add(ctx, row)
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

// Result is the outcome of one row.
type Result int

// The results of a row.
const (
	// ResultStored means that the row is stored, by this or an earlier request.
	ResultStored Result = iota
	// ResultRefused means that the row was not stored and never will be.
	ResultRefused
	// ResultUnknown means that the row may be stored, now or later.
	ResultUnknown
)

// Store is the platform's table.
type Store = medlarhedge.Store

// Config configures an intake.
type Config struct {
	// MaxRows bounds the rows of one write. Each takes two entries.
	MaxRows int
	// MaxBytes bounds the values of one write, below the size that a transaction may have once they are encoded.
	MaxBytes int
	// MaxQueued bounds the requests that wait for a write.
	MaxQueued int
	// Hedge configures when a write is sent again, and when its outcome is given up as unknown.
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

// Writer groups rows into writes. The writes of one part follow each other; those of different parts do not wait for each
// other.
type Writer struct {
	config Config
	hedged *medlarhedge.Writer
	mu     sync.Mutex
	// queues holds the waiting requests of each part for which a write is on its way.
	queues map[string][]*request
	queued int
}

// New returns an intake. Health is told about every write.
func New(c Config, store Store, health *TableHealth) *Writer {
	return &Writer{
		config: c, hedged: medlarhedge.New(c.Hedge, store, health.clock, health.Report), queues: map[string][]*request{},
	}
}

// Insert stores a row that must not exist yet, and waits for the outcome.
func (i *Writer) Insert(ctx context.Context, row medlartable.Row) Result {
	r := &request{row: row, result: make(chan Result, 1)}
	if !i.enqueue(r) {
		return ResultRefused
	}
	select {
	case result := <-r.result:
		return result
	case <-ctx.Done():
		if i.withdraw(r) {
			return ResultRefused
		}
		return ResultUnknown
	}
}

// enqueue adds a request to the queue of its part, and starts a writer for the part if it has none. It reports false if
// too many requests wait.
func (i *Writer) enqueue(r *request) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.queued >= i.config.MaxQueued {
		return false
	}
	i.queued++
	part := r.row.Part
	queue, hasWriter := i.queues[part]
	i.queues[part] = append(queue, r)
	if !hasWriter {
		go i.writePart(part)
	}
	return true
}

// withdraw takes a request out of the queue. It reports false if a write has included it.
func (i *Writer) withdraw(r *request) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	queue := i.queues[r.row.Part]
	if n := slices.Index(queue, r); n >= 0 {
		i.queues[r.row.Part] = slices.Delete(queue, n, n+1)
		i.queued--
		return true
	}
	return false
}

// writePart writes the rows of a part until none waits.
func (i *Writer) writePart(part string) {
	for batch := i.nextBatch(part); len(batch) > 0; batch = i.nextBatch(part) {
		i.writeBatch(batch)
	}
}

// nextBatch takes the requests of the next write of a part. A repetition of a row waits for the write of the first one.
func (i *Writer) nextBatch(part string) []*request {
	i.mu.Lock()
	defer i.mu.Unlock()
	queue := i.queues[part]
	if len(queue) == 0 {
		delete(i.queues, part)
		return nil
	}
	var batch, rest []*request
	size := 0
	keys := map[string]bool{}
	for _, r := range queue {
		size += len(r.row.Value)
		if keys[r.row.Key] || len(batch) >= i.config.MaxRows || len(batch) > 0 && size > i.config.MaxBytes {
			rest = append(rest, r)
			continue
		}
		keys[r.row.Key] = true
		batch = append(batch, r)
	}
	i.queues[part] = rest
	i.queued -= len(batch)
	return batch
}

// writeBatch stores a batch. Rows that exist already are stored; the others are tried again without them.
func (i *Writer) writeBatch(batch []*request) {
	for len(batch) > 0 {
		var t medlartable.Transaction
		for _, r := range batch {
			t.Require = append(t.Require, medlartable.Row{Table: r.row.Table, Part: r.row.Part, Key: r.row.Key})
			t.Put = append(t.Put, r.row)
		}
		_, err := i.hedged.Transact(t)
		var conflict *medlartable.ConflictError
		switch {
		case err == nil:
			complete(batch, ResultStored)
			return
		case errors.As(err, &conflict):
			rest := completeExisting(batch, conflict)
			if len(rest) == len(batch) {
				// The table reports a conflict without naming a row of this batch.
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

// completeExisting ends the requests whose rows exist and returns the others.
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
