package medlarowner

import (
	"golang.org/x/sync/errgroup"

	"medlarwheel/internal/operation/medlarrecover"
)

// runRecovered runs a part of the owner. A panic ends the ownership with an error: the state of the scheduler is not to be
// trusted any more, but the doors of the instance go on, and another instance claims the cell.
func (o *Owner) runRecovered(part string, run func() error) error {
	return medlarrecover.RunAndLog(o.Log, o.Meter, part, run)
}

// goInGroup runs a contained part in a group.
func (o *Owner) goInGroup(group *errgroup.Group, part string, run func() error) {
	group.Go(func() error { return o.runRecovered(part, run) })
}

// goInBackground runs a contained call beside the control goroutine.
func (o *Owner) goInBackground(part string, run func()) {
	go func() {
		if err := o.runRecovered(part, func() error { run(); return nil }); err != nil {
			o.fail(err)
		}
	}()
}

// fail ends the ownership. The first error counts.
func (o *Owner) fail(err error) {
	select {
	case o.failed <- err:
	default:
	}
}
