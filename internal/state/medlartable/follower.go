package medlartable

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/internal/operation/medlarclock"
	"medlarwheel/internal/operation/medlarrecover"
)

// ChangeReader is a table whose changes can be followed.
type ChangeReader interface {
	Follow(f FollowRequest) (Page, error)
}

// Follower calls back with all rows of a table first, and then with its changes in order. It reads all rows anew when the
// table has dropped its history.
type Follower struct {
	Store ChangeReader
	Table string
	// ReadAll returns all rows, and the version from which their changes can be followed.
	ReadAll func() ([]Row, medlarwheel.RowVersion, error)
	// StartVersion is the version from which to follow. Zero means that all rows are read first.
	StartVersion medlarwheel.RowVersion
	// Wait returns how long the table may hold the next read of changes.
	Wait func() time.Duration
	// BatchDelay is the time after each change in which further ones gather for the next read. There is none while more changes wait
	// than one answer holds.
	BatchDelay time.Duration
	// RetryDelay is the pause after a failed read.
	RetryDelay time.Duration
	// OnError is told about each failed read.
	OnError func(err error)
	// largestResponse is the greatest number of changes in one answer so far.
	largestResponse int
}

// minFullResponse is the number of changes below which an answer is never full.
const minFullResponse = 100

// isFull reports whether an answer may hold only a part of the changes that wait: it has as many as any before. The platform
// does not say how many that are. A follower that pauses all the same falls behind for good once changes come faster.
func (f *Follower) isFull(changes int) bool {
	f.largestResponse = max(f.largestResponse, changes)
	return changes >= minFullResponse && changes == f.largestResponse
}

// Handler takes in the changes of one read, which may be none, or all rows of the table.
type Handler func(rows []Row, whole bool)

// Run follows the table until the context ends.
func (f *Follower) Run(ctx context.Context, take Handler) error {
	from, loaded := f.StartVersion, f.StartVersion > 0
	for ctx.Err() == nil {
		rows, version, err := f.readWithContext(ctx, from, loaded)
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			loaded = loaded && !errors.Is(err, ErrHistoryTruncated)
			f.OnError(err)
			medlarclock.Sleep(ctx, f.RetryDelay)
			continue
		}
		take(rows, !loaded)
		isBehind := loaded && f.isFull(len(rows))
		if len(rows) > 0 && !isBehind {
			medlarclock.Sleep(ctx, f.BatchDelay)
		}
		loaded, from = true, max(from, version)
	}
	return ctx.Err()
}

// readWithContext reads unless the context ends first. The table may hold a read for most of the time that a stopping process has.
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
			// Raised again where the caller can catch it.
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
