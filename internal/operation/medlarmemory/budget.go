package medlarmemory

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
)

// ErrExhausted means that memory was not free in time, or is less than what was asked for.
var ErrExhausted = errors.New("memory is used up")

// Budget is memory that concurrent holders share. They wait for it in the order in which they ask.
type Budget struct {
	size int64
	free *semaphore.Weighted
	used atomic.Int64
}

// NewBudget returns a budget of so many bytes.
func NewBudget(size int64) *Budget { return &Budget{size: size, free: semaphore.NewWeighted(size)} }

// Take takes memory, and waits for it up to the given time. The caller must not hold any other part of the budget while it waits.
func (b *Budget) Take(bytes int64, wait time.Duration) error {
	if bytes > b.size {
		return errors.WithMessagef(ErrExhausted, "%d bytes wanted, the budget is %d", bytes, b.size)
	}
	if !b.free.TryAcquire(bytes) {
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		defer cancel()
		if b.free.Acquire(ctx, bytes) != nil {
			return errors.WithMessagef(ErrExhausted, "%d bytes wanted, %d of %d are in use", bytes, b.Used(), b.size)
		}
	}
	b.used.Add(bytes)
	return nil
}

// TryTake takes memory if it is free.
func (b *Budget) TryTake(bytes int64) bool {
	if !b.free.TryAcquire(bytes) {
		return false
	}
	b.used.Add(bytes)
	return true
}

// Return gives memory back.
func (b *Budget) Return(bytes int64) {
	b.used.Add(-bytes)
	b.free.Release(bytes)
}

// Used returns the memory that is taken.
func (b *Budget) Used() int64 { return b.used.Load() }
