// Package medlarjob implements the life cycle of a job and its tasks as a state machine over one row per job. It does no
// I/O, starts no goroutine and reads no clock.
//
// A Record is a job's row. Every transition takes the record, an event and a time, and returns a Decision: the changes of
// the job's row and of the workers' rows that have to be written in one transaction. Placing a task commits resources of
// the worker. The end of an attempt releases the commitment, records the checkpoint and assigns the next attempt number,
// all in the same transaction. So an attempt number is used once, and a checkpoint is resumed only by the attempt that
// follows it. A repeated event, or one about an earlier attempt, gives an empty decision.
//
// Commands to workers are not part of a decision. Orders derives them from a committed row, so nothing starts before its
// transaction has taken effect, and a new owner sends the same commands as the previous one. Ending an attempt requires a
// proof that it has ended (see medlarlease); Start commands are made from the proof that the row records.
//
// Config.Submit validates requests. Config.CancelMany cancels many jobs in batches of bounded size.
//
// # Usage
//
//	record, err := medlarjob.Decode(row, config)
//	decision, err := record.Place(placements, owned.Token, now)
//	writes, err := decision.Writes()      // transact writes, then
//	record = decision.Committed(commit.Version)
//	record.TrackLeases(leases, owned, now)
//	for _, order := range record.Orders(leases, ownership, now) {
//		// send order to order.Target()
//	}
//
// Advance applies everything that the owner has observed about a job in one decision: reports of workers, expired leases
// and holds that have ended. An owner does this for each job of its shards:
//
//	leases.RefreshShard(owned, instanceLeases, now) // once for each shard
//	record.TrackLeases(leases, owned, now)
//	decision, err = record.Advance(observations, now)
//	changed, err := decision.UpdateLedger(ledger, limits) // quotas, see medlarquota
//
// A Batch combines several decisions into one transaction and refuses decisions that were made from different reads of a
// row. After a conflict or a lost response, read the rows again and apply the event again.
package medlarjob
