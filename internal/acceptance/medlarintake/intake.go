// Package medlarintake makes accepted submissions and cancellations durable. Requests that come in while a write is on its
// way share the next one.
//
// A submission is accepted only after the table has stored its row. A refusal says that it was not stored and never will
// be; when that is not known, the outcome is unknown.
//
// # Usage
//
//	intake := medlarintake.New(config, store, clock)
//	go intake.Run(ctx)
//	result := intake.Add(ctx, row)
package medlarintake

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/internal/state/medlarpatience"
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
type Store interface {
	TransactWithin(t medlartable.Transaction, timeout time.Duration) (medlartable.Commit, error)
}

// Config configures an intake.
type Config struct {
	// MaxRows bounds the rows of one write. Each takes two entries.
	MaxRows int
	// MaxBytes bounds the values of one write, below the size that a transaction may have once they are encoded.
	MaxBytes int
	// MaxWaiting bounds the requests that wait for a write.
	MaxWaiting int
	// Attempts is the number of writes that a row takes part in before its outcome is given up as unknown.
	Attempts int
	// Patience configures how long a write is waited for.
	Patience medlarpatience.Config
}

// DefaultConfig returns the configuration for transactions of 100 entries and one megabyte.
func DefaultConfig() Config {
	return Config{
		MaxRows: medlartable.MaxEntries / 2, MaxBytes: 600 << 10, MaxWaiting: 500, Attempts: 2,
		Patience: medlarpatience.DefaultConfig(),
	}
}

type request struct {
	row      medlartable.Row
	attempts int
	// unsure is true after a write whose outcome is not known.
	unsure bool
	result chan Result
}

// Intake groups rows into writes.
type Intake struct {
	config   Config
	store    Store
	health   *Health
	patience *medlarpatience.Patience
	mu       sync.Mutex
	queue    []*request
	wake     chan struct{}
}

// New returns an intake. Health is told about every write.
func New(c Config, store Store, health *Health) *Intake {
	return &Intake{
		config: c, store: store, health: health, patience: medlarpatience.New(c.Patience), wake: make(chan struct{}, 1),
	}
}

// Add stores a row that must not exist yet, and waits for the outcome.
func (i *Intake) Add(ctx context.Context, row medlartable.Row) Result {
	r := &request{row: row, result: make(chan Result, 1)}
	i.mu.Lock()
	if len(i.queue) >= i.config.MaxWaiting {
		i.mu.Unlock()
		return ResultRefused
	}
	i.queue = append(i.queue, r)
	i.mu.Unlock()
	select {
	case i.wake <- struct{}{}:
	default:
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

// withdraw takes a request out of the queue. It reports false if a write has included it.
func (i *Intake) withdraw(r *request) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	for n, other := range i.queue {
		if other == r {
			i.queue = append(i.queue[:n], i.queue[n+1:]...)
			return !r.unsure
		}
	}
	return false
}

// Run writes until the context ends.
func (i *Intake) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-i.wake:
		}
		for batch := i.next(); len(batch) > 0; batch = i.next() {
			i.write(batch)
		}
	}
}

// next takes the requests of the next write. Rows of one key share a write's single entry, so that a repetition waits.
func (i *Intake) next() []*request {
	i.mu.Lock()
	defer i.mu.Unlock()
	var batch, rest []*request
	size := 0
	keys := map[string]bool{}
	for _, r := range i.queue {
		size += len(r.row.Value)
		if keys[r.row.Key] || len(batch) >= i.config.MaxRows || len(batch) > 0 && size > i.config.MaxBytes {
			rest = append(rest, r)
			continue
		}
		keys[r.row.Key] = true
		batch = append(batch, r)
	}
	i.queue = rest
	return batch
}

// write stores a batch. Rows that exist already are stored; the others are tried again without them.
func (i *Intake) write(batch []*request) {
	for len(batch) > 0 {
		var t medlartable.Transaction
		for _, r := range batch {
			r.attempts++
			t.Require = append(t.Require, medlartable.Row{Table: r.row.Table, Part: r.row.Part, Key: r.row.Key})
			t.Put = append(t.Put, r.row)
		}
		began := i.health.clock.Now()
		_, err := i.store.TransactWithin(t, i.patience.Timeout())
		var conflict *medlartable.ConflictError
		isConflict := errors.As(err, &conflict)
		i.patience.Observe(i.health.clock.Now().Sub(began), err == nil || isConflict || medlarwheel.HasNoEffect(err))
		i.health.Report(err == nil || isConflict)
		switch {
		case err == nil:
			finish(batch, ResultStored)
			return
		case isConflict:
			rest := without(batch, conflict)
			if len(rest) == len(batch) {
				// The table reports a conflict without naming a row of this batch.
				finish(batch, ResultUnknown)
				return
			}
			batch = rest
		default:
			batch = i.afterFailure(batch, err)
		}
	}
}

// afterFailure ends the requests that must not be tried again and returns the others.
func (i *Intake) afterFailure(batch []*request, err error) []*request {
	var again []*request
	for _, r := range batch {
		r.unsure = r.unsure || !medlarwheel.HasNoEffect(err)
		switch {
		case !r.unsure:
			r.result <- ResultRefused
		case r.attempts >= i.config.Attempts:
			r.result <- ResultUnknown
		default:
			again = append(again, r)
		}
	}
	return again
}

func finish(batch []*request, result Result) {
	for _, r := range batch {
		r.result <- result
	}
}

// without ends the requests whose rows exist and returns the others.
func without(batch []*request, conflict *medlartable.ConflictError) []*request {
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

// Health tells whether the table has answered lately.
type Health struct {
	clock medlarwheel.Clock
	// probe is how often a request may try a table that does not answer.
	probe          time.Duration
	mu             sync.Mutex
	lastOK, lastNo time.Time
	probedAt       time.Time
}

// NewHealth returns the health of a table that has not been tried yet.
func NewHealth(clock medlarwheel.Clock, probe time.Duration) *Health {
	return &Health{clock: clock, probe: probe}
}

// Report takes in whether a call was answered.
func (h *Health) Report(ok bool) {
	now := h.clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if ok {
		h.lastOK = now
	} else {
		h.lastNo = now
	}
}

// LastOK returns when the table last answered.
func (h *Health) LastOK() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastOK
}

// HasFailed reports whether the last call of which the outcome is known has failed.
func (h *Health) HasFailed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastNo.After(h.lastOK)
}

// MayTry reports whether a request should use the table: it has answered since its last failure, or is due for a probe.
func (h *Health) MayTry() bool {
	now := h.clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.lastNo.After(h.lastOK) {
		return true
	}
	if now.Sub(h.probedAt) < h.probe {
		return false
	}
	h.probedAt = now
	return true
}
