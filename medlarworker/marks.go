package medlarworker

import (
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

// Resize changes the worker's size. A size below what is committed is refused until enough has been evicted.
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

// Remove returns the write that deletes the row of an empty worker. A row with commitments stays, because their release
// is what lets the tasks start elsewhere.
func (r *Record) Remove(token medlarwheel.FencingToken) (medlarwheel.Write, error) {
	if len(r.worker.Commitments) > 0 {
		return medlarwheel.Write{}, ErrOccupied
	}
	if err := r.applyOwnerToken(token); err != nil {
		return medlarwheel.Write{}, err
	}
	return medlarwheel.Write{Key: medlarwheel.WorkerKey(r.worker.ID), ExpectedVersion: r.version, Delete: true}, nil
}

func (r *Record) applyOwnerToken(token medlarwheel.FencingToken) error {
	if token < r.worker.Token {
		return medlarwheel.WithOperation("mark worker", string(r.worker.ID), medlarwheel.ErrStale)
	}
	r.worker.Token = token
	r.changes++
	return nil
}
