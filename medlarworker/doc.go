// Package medlarworker decides which tasks may be committed to a worker and which of its reports are trusted. It does no
// I/O, starts no goroutine and reads no clock.
//
// Record is a worker's single versioned row. It contains all commitments of the worker, and every change is a
// compare-and-set of the whole row, so two owners that both see the last free core cannot both commit it. Changes
// accumulate in the record: several decisions about one row result in one write. After a conflict, read the record again.
//
// A worker on which tasks of several jobs fail in a row is put on probation in the write that releases the last of them.
// It returns from probation through trial tasks, one at a time. UsageFilter filters usage reports, and Corrector computes
// the sizes and run times that placement uses from measured values.
//
// # Usage
//
//	record, err := medlarworker.Decode(row, config)
//	write, err := record.Commit(ref, size, owned.Token) // goes into the transaction with the job's row
//	...
//	write, err = record.Release(attempt, proof, medlarwheel.ResultDone, clock.Now())
//
// After a lost response, read the row back before making another decision about the task:
//
//	switch current.Resolve(record.Version(), attempt, owned.Token) { // current is the row as read back
//	case medlarworker.Applied:    // the commitment is in effect
//	case medlarworker.NotApplied: // it is not and never will be: decide again from the job's row
//	case medlarworker.Unresolved: // the transaction may still arrive: send the same one again
//	}
//
// If sending it again conflicts, some row of the transaction has changed, so no copy of it can take effect any more. Read
// the worker's row back once more: Applied means that the first copy took effect, anything else means NotApplied.
package medlarworker
