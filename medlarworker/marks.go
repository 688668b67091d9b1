package medlarworker

import (
	"github.com/pkg/errors"

	"medlarwheel"
)

// Drain sets or clears the draining mark. token is the token of the owner of the worker's shard.
func (r *Record) Drain(draining bool, token medlarwheel.FencingToken) (medlarwheel.Write, error) {
	if err := r.applyOwnerToken(token); err != nil {
		return medlarwheel.Write{}, err
	}
	r.worker.Draining = draining
	return r.Write()
}

// Resize changes the worker's size. A size below the committed resources is refused until enough tasks have been evicted.
func (r *Record) Resize(size medlarwheel.Resources, token medlarwheel.FencingToken) (medlarwheel.Write, error) {
	if err := size.Check("size").Err(); err != nil {
		return medlarwheel.Write{}, err
	}
	if committed := r.worker.Committed(); !committed.Fits(size) {
		return medlarwheel.Write{}, &NoCapacityError{Worker: r.worker.ID, Requested: committed, Free: size}
	}
	if err := r.applyOwnerToken(token); err != nil {
		return medlarwheel.Write{}, err
	}
	r.worker.Size = size
	return r.Write()
}

// Remove returns the write that deletes the row of a worker without commitments. A row with commitments stays, because the
// tasks can start elsewhere only once the commitments are released.
func (r *Record) Remove(token medlarwheel.FencingToken) (medlarwheel.Write, error) {
	if len(r.worker.Commitments) > 0 {
		return medlarwheel.Write{}, errors.Wrapf(ErrOccupied, "remove worker %s with %d commitments", r.worker.ID,
			len(r.worker.Commitments))
	}
	if err := r.applyOwnerToken(token); err != nil {
		return medlarwheel.Write{}, err
	}
	return medlarwheel.Write{Key: medlarwheel.WorkerKey(r.worker.ID), ExpectedVersion: r.version, Delete: true}, nil
}

// applyOwnerToken refuses a change by a superseded owner of the worker's shard. Otherwise it records the owner's token and
// counts the change.
func (r *Record) applyOwnerToken(token medlarwheel.FencingToken) error {
	if token < r.worker.Token {
		return medlarwheel.WithOperation("change row of worker "+string(r.worker.ID), "", errors.Wrapf(medlarwheel.ErrStale,
			"got token %d, the row has %d", token, r.worker.Token))
	}
	r.worker.Token = token
	r.changes++
	return nil
}
