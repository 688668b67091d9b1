// Package medlarcell is the scheduler of one cell: a group of workers and the submissions that run on them.
//
// A Cell is a deterministic state machine. Accepted submissions, workers' reports, answers to orders and a time go in;
// commands to workers, records to store and decisions to log come out. It does no I/O, starts no goroutine and reads no
// clock. One goroutine owns it.
//
// The workers' own lists are the record of what runs. A new owner therefore writes nothing before a start: it raises the
// fencing token, asks every worker for its lists, and adopts what they hold. A task of which no worker that answers knows
// is started again only when the lease of each worker that does not answer must have ended. Ends are recorded before a
// worker may forget them, so that an end is never lost and never counted twice.
//
// # Usage
//
//	cell := medlarcell.New(medlarcell.DefaultConfig())
//	cell.Begin(now, fence, records)
//	cell.SetWorkers(now, workers)
//	cell.Accept(now, submission)
//	cell.Place(now)
//	for _, command := range cell.TakeCommands() {
//		// Carry it out, and report the answer with cell.Answered or cell.Reported.
//	}
//	batch := cell.TakeFlush()
//	// Store the records of the batch.
//	cell.Flushed(now, batch)
package medlarcell
