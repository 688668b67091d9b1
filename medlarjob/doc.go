// Package medlarjob is the life cycle of a job and its tasks: a state machine over one row per job. It does no I/O,
// starts no goroutine and reads no clock.
//
// A Record is a job's row. Every transition takes the record, an event and a time, and returns a Decision: the job's row
// and the workers' rows that go into one transaction. Placing commits on the workers; the end of an attempt releases the
// commitment, keeps the checkpoint and numbers the next attempt, all in the same transaction. So an attempt number is
// used once, and a checkpoint is resumed by the one attempt that follows it. An event that was seen before, or that is
// about an earlier attempt, gives an empty decision.
//
// Commands are not part of a decision. Orders derives them from a committed row, so nothing starts before its
// transaction has taken effect, and a new owner sends the same commands as the one before it. The end of an attempt takes
// a proof (see medlarlease); Start commands are made from the proof that the row records.
//
// Record.Submit validates requests. CancelMany cancels many jobs in batches of bounded size.
//
// # Usage
//
//	record, err := medlarjob.Decode(row, config)
//	decision, err := record.Place(placements, owned.Token, now)
//	writes, err := decision.Writes()      // transact writes, then
//	record = decision.Committed(commit.Version)
//	record.Track(leases, owned, now)
//	for _, order := range record.Orders(leases, own, now) {
//		// send order to order.Target()
//	}
//
// Advance applies what is known about a job in one decision: reports of workers, leases that have run out, holds that are
// over. An owner does this for each job of its shards:
//
//	leases.Enter(owned, watch, now) // once for each shard
//	record.Track(leases, owned, now)
//	decision, err = record.Advance(known, now)
//	changed, err := decision.Book(ledger, limits) // quotas, see medlarquota
//
// Several decisions go into one transaction through a Batch, which refuses decisions made from different views of a row.
// After a conflict or a lost answer, read the rows again and apply the event again.
package medlarjob
