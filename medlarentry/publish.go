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
	// maxPublishAttempts bounds how often a change is planned again because a concurrent change of another configuration
	// entry has updated the head row first.
	maxPublishAttempts = 20
	// defaultRetryAfter is the retry delay that is sent if no better value is known, for example from the platform.
	defaultRetryAfter = time.Second
)

var errTooManyConflicts = errors.New("too many concurrent changes")

// publish commits a change and waits until this instance has applied it.
func (d *Daemon) publish(ctx context.Context, change medlarconfig.Change) (medlarwheel.ConfigVersion, error) {
	for range maxPublishAttempts {
		version, err := d.tryPublish(ctx, change)
		var conflict *medlarwheel.ConflictError
		if errors.As(err, &conflict) {
			// Another change has updated the head row. Plan again on top of it; planning fails if that change was made
			// to the same entry.
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

// readCurrent reads the entry before the head row. A change of the entry between both reads then shows in the version of
// the head row, and the commit fails.
func (d *Daemon) readCurrent(ctx context.Context, key string) (medlarconfig.CurrentRows, error) {
	item, err := medlarplatform.RowOrEmpty(ctx, d.platform, medlarconfig.RowPrefix+key)
	if err != nil {
		return medlarconfig.CurrentRows{}, err
	}
	head, err := medlarplatform.RowOrEmpty(ctx, d.platform, medlarconfig.HeadKey)
	return medlarconfig.CurrentRows{Head: head, Item: item}, err
}

// awaitConfig waits until the configuration has a version above after or ctx ends, and returns the changes since then.
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

// platformError converts the error of a call to the platform to the error that is sent to the operator.
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
