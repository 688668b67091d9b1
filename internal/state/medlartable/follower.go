package medlartable

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/internal/operation/medlarclock"
	"medlarwheel/internal/operation/medlarrecover"
)

// ChangeReader reads the changes of a table after a version.
type ChangeReader interface {
	Follow(f FollowRequest) (Page, error)
}

// Follower passes all rows of a table to a handler, and then its changes in order. It reads all rows again when the table
// has truncated its history, or has more changes than one response may hold.
type Follower struct {
	Store ChangeReader
	Table string
	// ReadAll returns all rows and the version from which their changes can be followed.
	ReadAll func() ([]Row, medlarwheel.RowVersion, error)
	// StartVersion is the version after which changes are followed. Zero means that all rows are read first.
	StartVersion medlarwheel.RowVersion
	// Wait returns how long the table may hold the next read if there are no changes (long poll).
	Wait func() time.Duration
	// BatchDelay is the pause after each response with changes, so that the next read returns several changes at once. It is
	// skipped while more changes are pending than one response holds.
	BatchDelay time.Duration
	// RetryDelay is the pause after a failed read.
	RetryDelay time.Duration
	// OnError is called with the error of each failed read.
	OnError func(err error)
	// largestResponse is the greatest number of changes in one response so far.
	largestResponse int
	// version is that of the rows that the handler is processing.
	version medlarwheel.RowVersion
}

// Version returns the version of the table as of which the handler gets the rows that it is processing. Only the handler may call it. A
// read of the whole table may be older than the changes before it.
func (f *Follower) Version() medlarwheel.RowVersion { return f.version }

// minFullResponse is the number of changes below which a response never counts as full.
const minFullResponse = 100

// isFull reports whether a response may hold only some of the pending changes, which is assumed if no earlier response held
// more: the platform does not document its limit. A follower that paused after full responses would fall further and further
// behind once changes arrive faster than one response for each pause can hold.
func (f *Follower) isFull(changes int) bool {
	f.largestResponse = max(f.largestResponse, changes)
	return changes >= minFullResponse && changes == f.largestResponse
}

// Handler processes the result of one read: all rows of the table if whole is true, or else its changes, if any.
type Handler func(rows []Row, whole bool)

// Run follows the table until the context ends.
func (f *Follower) Run(ctx context.Context, handle Handler) error {
	from, loaded := f.StartVersion, f.StartVersion > 0
	for ctx.Err() == nil {
		rows, version, err := f.readWithContext(ctx, from, loaded)
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			// What has changed comes in one response, all rows in pages.
			loaded = loaded && !errors.Is(err, ErrHistoryTruncated) && !errors.Is(err, ErrResponseTooLarge)
			f.OnError(err)
			medlarclock.Sleep(ctx, f.RetryDelay)
			continue
		}
		f.version = version
		handle(rows, !loaded)
		isBehind := loaded && f.isFull(len(rows))
		if len(rows) > 0 && !isBehind {
			medlarclock.Sleep(ctx, f.BatchDelay)
		}
		loaded, from = true, max(from, version)
	}
	return ctx.Err()
}

// readWithContext abandons the read when the context ends. The table may hold a read for most of the time that the process
// has to stop.
func (f *Follower) readWithContext(ctx context.Context, from medlarwheel.RowVersion, loaded bool) ([]Row, medlarwheel.RowVersion, error) {
	type result struct {
		rows    []Row
		version medlarwheel.RowVersion
		err     error
	}
	done := make(chan result, 1)
	go func() {
		var r result
		r.err = medlarrecover.Run("read of "+f.Table, func() (err error) {
			r.rows, r.version, err = f.read(from, loaded)
			return err
		})
		done <- r
	}()
	select {
	case r := <-done:
		if medlarrecover.IsPanic(r.err) {
			// Repeat the panic in this goroutine, where the caller can recover it.
			panic(r.err)
		}
		return r.rows, r.version, r.err
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

func (f *Follower) read(from medlarwheel.RowVersion, loaded bool) ([]Row, medlarwheel.RowVersion, error) {
	if !loaded {
		return f.ReadAll()
	}
	page, err := f.Store.Follow(FollowRequest{Table: f.Table, After: from, Wait: f.Wait()})
	return page.Rows, page.Version, err
}
