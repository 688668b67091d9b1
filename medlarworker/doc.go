// Package medlarworker decides what a worker may take and how far its word is trusted. It does no I/O, starts no
// goroutine and reads no clock.
//
// Record is a worker's single versioned row. All commitments of the worker are in it, and every change is a
// compare-and-set of the whole row, so two owners that both see the last free core cannot both get it. Changes add up in
// the record: the writes of several decisions for one row are one write. A record is read again after a conflict.
//
// A worker that fails tasks of several jobs in a row is put on probation in the write that releases the last of them.
// It comes back through single trial tasks. Usage filters usage reports, and Corrector turns what was measured into the
// sizes and run times that placement reckons with.
//
// # Usage
//
//	record, err := medlarworker.Decode(row, config)
//	write, err := record.Commit(ref, size, owned.Token) // goes into the transaction with the job's row
//	...
//	write, err = record.Release(attempt, proof, medlarwheel.ResultDone, clock.Now())
//
// After a lost answer, read the row back before anything else is decided about the task:
//
//	switch again.Resolve(record.Version(), attempt, owned.Token) {
//	case medlarworker.Applied: // the commitment is in effect
//	case medlarworker.NotApplied:    // it is not and never will be: decide anew from the job's row
//	case medlarworker.Unresolved:    // it may still arrive: send the same transaction again
//	}
//
// If sending it again conflicts, some row of the transaction has moved on, so that no copy of it can take effect any
// more. Read the worker's row back once more: Applied means that the first copy did take effect, anything else is Void.
package medlarworker
