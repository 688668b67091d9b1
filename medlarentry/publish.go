package medlarentry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/medlarconfig"
	"medlarwheel/medlaroperator"
	"medlarwheel/medlarplatform"
)

const (
	// maxPublishAttempts bounds the tries of a change that lost the race for the head row to a change of another entry.
	maxPublishAttempts = 20
	// defaultRetryAfter is the time to come back when the platform gives none.
	defaultRetryAfter = time.Second
)

var errTooManyConflicts = errors.New("too many concurrent changes")

// publish commits a change and waits until it is in force on this instance.
func (d *Daemon) publish(ctx context.Context, change medlarconfig.Change) (medlarwheel.ConfigVersion, error) {
	for range maxPublishAttempts {
		version, err := d.tryPublish(ctx, change)
		var conflict *medlarwheel.ConflictError
		if errors.As(err, &conflict) {
			// Another change took the head row. Plan again on top of it: it fails if the same entry was changed.
			continue
		}
		if err != nil {
			return 0, err
		}
		d.pollConfigNow()
		d.awaitConfig(ctx, version-1)
		d.exchangeNow()
		return version, nil
	}
	return 0, errTooManyConflicts
}

func (d *Daemon) tryPublish(ctx context.Context, change medlarconfig.Change) (medlarwheel.ConfigVersion, error) {
	if err := change.Check().Err(); err != nil {
		return 0, err
	}
	current, err := d.readCurrent(ctx, change.Key)
	if err != nil {
		return 0, err
	}
	plan, err := medlarconfig.Plan(current, change)
	if err != nil {
		return 0, err
	}
	_, err = d.platform.Transact(ctx, d.operations.Next(), plan.Writes)
	return plan.Version, err
}

// readCurrent reads the entry before the head: a change of the entry between both reads then shows in the head's version
// and fails the commit.
func (d *Daemon) readCurrent(ctx context.Context, key string) (medlarconfig.CurrentRows, error) {
	item, err := medlarplatform.RowOrEmpty(ctx, d.platform, medlarconfig.RowPrefix+key)
	if err != nil {
		return medlarconfig.CurrentRows{}, err
	}
	head, err := medlarplatform.RowOrEmpty(ctx, d.platform, medlarconfig.HeadKey)
	return medlarconfig.CurrentRows{Head: head, Item: item}, err
}

// awaitConfig waits until the configuration has a version above after, or ctx ends, and returns the changes.
func (d *Daemon) awaitConfig(ctx context.Context, after medlarwheel.ConfigVersion) medlarwheel.ConfigDelta {
	for {
		current := d.snapshot.Load()
		if current.config.Version() > after {
			return current.config.Delta(after)
		}
		select {
		case <-current.replaced:
		case <-ctx.Done():
			return medlarwheel.ConfigDelta{After: after, Head: max(after, current.config.Version())}
		}
	}
}

// platformError describes a failed call to the platform to an operator.
func platformError(err error) *medlaroperator.Error {
	retryAfter := medlarplatform.RetryAfter(err)
	if retryAfter == 0 {
		retryAfter = defaultRetryAfter
	}
	if medlarplatform.MayHaveApplied(err) {
		return &medlaroperator.Error{
			Code: medlaroperator.CodeOutcomeUnknown, Message: err.Error() + "; the change may have taken effect, read it back",
			RetryAfter: medlarwheel.Duration(retryAfter),
		}
	}
	if errors.Is(err, medlarwheel.ErrUnavailable) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, errTooManyConflicts) {
		return &medlaroperator.Error{
			Code: medlaroperator.CodeUnavailable, Message: err.Error() + "; nothing was changed",
			RetryAfter: medlarwheel.Duration(retryAfter),
		}
	}
	return &medlaroperator.Error{Code: medlaroperator.CodeInternal, Message: err.Error()}
}
