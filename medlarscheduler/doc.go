// Package medlarscheduler turns templates and submitted jobs into running tasks on workers. It does the I/O for
// medlarlease, medlarjob, medlarworker, medlarplacement and medlarquota: it reads and writes the table, calls the agents of
// workers, and leaves every decision to those packages.
//
// One goroutine, the control loop, owns all state: the instance's ownership of shards, the rows of jobs and workers, the
// placement index and the task leases. Other goroutines do the I/O and post functions to it that apply the results. All
// rows are applied by one function, whether they were read, written or named in a conflict, so that an older version never
// replaces a newer one. Intended state transitions are queued as intents and applied to the newest rows when a transaction
// is built. After a conflict or an unknown result the intents of the transaction are queued again. At most one transaction
// is in flight.
//
// Commands are derived from committed rows only. The ownership of the shard is checked immediately before a command is
// handed to the goroutine that calls the worker. While the table is unavailable the ownership expires, so no task starts,
// but the leases of running tasks are still renewed with the workers.
//
// # Usage
//
//	scheduler := medlarscheduler.New(medlarscheduler.DefaultConfig(instance), medlarscheduler.Dependencies{
//		Table: client, DialAgent: medlarscheduler.Dial, ...
//	})
//	go scheduler.Run(ctx)
//	job, err := scheduler.Submit(ctx, &request)
//	...
//	err = scheduler.Leave(ctx) // before ctx ends, so that other instances take over the shards immediately
package medlarscheduler
