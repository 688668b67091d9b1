// Package medlarlease decides who may act on what, and until when. It holds the arithmetic of leases, the ownership of
// shards by entry instances, and the evidence that a task's earlier attempt has ended. It does no I/O, starts no
// goroutine and reads no clock.
//
// An entry instance holds a lease on itself, renewed by one write of its row entry/<data-centre>/<instance>. The Holder
// counts the lease from before the renewal was sent, an Observer counts it from after it first saw the renewal plus a
// margin, so the holder stops first without comparing clocks. Ownership combines the lease with the shard map of a data
// centre. Every reassignment of a shard raises its fencing token. PlanShards computes the next map; planners that race
// write the same row by compare-and-set, and the loser reads again.
//
// A task on a worker runs under a task lease. Its deadline is a reading of the worker's own clock, so a delayed renewal
// never extends it. An owner without the table keeps renewing with the workers until the horizon. Starting a task takes
// a Proof that the attempt before it has ended; only a Proof makes a Start.
//
// # Usage
//
//	own := medlarlease.NewOwnership(config, instance)
//	sent := clock.Now()
//	write, err := own.Renewal()      // transact write, then
//	own.Renewed(sent, commit.Version)
//	own.SawMap(shards, sentOfRead)
//	for _, owned := range own.OwnedShards(clock.Now()) {
//		// act on owned.Shard with owned.Token
//	}
//
//	proof, err := medlarlease.ProofFromReport(report)       // the worker's word, or
//	proof, err = leases.Expired(attempt, owned)        // the lease run out
//	// medlarjob records the proof with the release; then
//	proof, err = medlarlease.ProofFromJob(job, version, index)
//	start, err := proof.Start(leases, own, job, index, now) // the only way to a Start
package medlarlease
