// Package medlarlease implements the leases that decide which entry instance may act on a shard and which attempt of a
// task may run, and for how long. It computes lease expiry, assigns shards to entry instances and checks the evidence that
// an earlier attempt of a task has ended. It does no I/O, starts no goroutine and reads no clock.
//
// An entry instance renews its own lease by one write of its row entry/<data-centre>/<instance>. The Holder measures the
// lease term from before the renewal was sent. An Observer measures it from after it first read the renewal, and adds a
// margin. The holder therefore always stops first, and no clocks have to be compared. Ownership combines the lease with
// the shard map of a data centre. Every reassignment of a shard raises its fencing token. PlanShards computes the next
// map; concurrent planners write the same row by compare-and-set, and the one that fails reads the row again.
//
// A task on a worker runs under a task lease. Its deadline is a reading of the worker's own clock, so that a delayed
// renewal does not extend it. While the table is unavailable, an owner continues to renew task leases with the workers for
// at most Config.OutageRenewalLimit. A Start command can only be created from a Proof that the previous attempt has
// ended.
//
// # Usage
//
//	ownership := medlarlease.NewOwnership(config, instance)
//	sent := clock.Now()
//	write, err := ownership.Renewal() // commit the write to the table, then
//	ownership.RecordRenewal(sent, commit.Version)
//	ownership.RecordShardMap(shards, readSentAt)
//	for _, owned := range ownership.OwnedShards(clock.Now()) {
//		// act on owned.Shard with owned.Token
//	}
//
//	proof, err := medlarlease.ProofFromReport(report) // the worker reported the end, or
//	proof, err = leases.ProofOfExpiry(attempt, owned)  // the lease has expired
//	// medlarjob stores the proof in the job's row together with the release of the attempt; then
//	proof, err = medlarlease.ProofFromJob(job, version, index)
//	start, err := proof.Start(leases, ownership, job, index, now) // the only way to create a Start
package medlarlease
