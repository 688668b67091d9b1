// Package medlarcell is the scheduler of one cell: a group of workers and the submissions that run on them.
//
// A Cell is a deterministic state machine. Its inputs are accepted submissions, workers' reports, responses to orders and
// the time; its outputs are commands for workers, records to store and events to log. It does no I/O, starts no
// goroutine and reads no clock. It must be used by one goroutine at a time.
//
// The workers' reports are the record of what runs. A new owner therefore writes nothing before a start: it raises the
// fencing token, asks every worker for a report and adopts the runs that the workers report. A task that no responding
// worker reports is started again only when the lease of each worker that does not respond must have ended. Ended runs
// are recorded before they are acknowledged to the worker, so that none is lost and none is counted twice.
//
// # Usage
//
//	cell := medlarcell.New(medlarcell.DefaultConfig())
//	cell.Begin(now, ownership)
//	cell.Authorize(authorityEnd)
//	cell.ExcludeSuccessor(noClaimBefore)
//	cell.SetWorkers(now, workers)
//	cell.Accept(now, submission)
//	cell.Place(now)
//	for _, command := range cell.TakeCommands() {
//		// Carry it out, and pass the response to the Handle methods.
//	}
//	batch := cell.TakeFlush(limit)
//	// Store the records of the batch.
//	cell.FlushSucceeded(now, batch)
package medlarcell
