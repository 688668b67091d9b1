package medlarowner

import (
	"golang.org/x/sync/errgroup"

	"medlarwheel/internal/operation/medlarrecover"
)

// runRecovered runs a part of the owner and returns a panic as an error, which ends the ownership. The state of the
// scheduler may be inconsistent by then, so another instance claims the cell, while the API servers of this one keep
// running.
func (o *Owner) runRecovered(part string, run func() error) error {
	return medlarrecover.RunAndLog(o.Log, o.Meter, part, run)
}

// goInGroup runs a part on a goroutine of the group and recovers its panics.
func (o *Owner) goInGroup(group *errgroup.Group, part string, run func() error) {
	group.Go(func() error { return o.runRecovered(part, run) })
}

// goInBackground runs a call on a goroutine of its own, outside the control goroutine, and recovers its panics.
func (o *Owner) goInBackground(part string, run func()) {
	go func() {
		if err := o.runRecovered(part, func() error { run(); return nil }); err != nil {
			o.fail(err)
		}
	}()
}

// fail ends the ownership with an error. Only the first error is kept.
func (o *Owner) fail(err error) {
	select {
	case o.failed <- err:
	default:
	}
}
