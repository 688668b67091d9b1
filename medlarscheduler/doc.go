// Package medlarscheduler turns templates and submitted jobs into running tasks on workers. It is the shell around
// medlarlease, medlarjob, medlarworker, medlarplacement and medlarquota: it reads and writes the table, calls the agents
// of workers, and leaves every decision to those packages.
//
// One goroutine, the control loop, owns all state: the instance's ownership of shards, the rows of jobs and workers, the
// placement index and the leases of tasks. The goroutines around it do the I/O and post what they learn as events. Rows
// come in through one function, whether they were read, written or named in a conflict, so an older version never
// replaces a newer one. Decisions are gathered as intents and applied to the newest rows when a transaction is built; a
// transaction that conflicts or whose result stays unknown puts its intents back. At most one transaction is in flight.
//
// Commands are derived from committed rows only, and each is checked against the ownership immediately before it is
// handed to the goroutine that calls the worker. While the table is out the ownership lapses, so nothing starts, but
// leases of running tasks are still renewed with the workers.
//
// # Usage
//
//	fleet := medlarscheduler.New(medlarscheduler.DefaultConfig(instance), medlarscheduler.Dependencies{Table: client, Agents: medlarscheduler.Dial, ...})
//	go fleet.Run(ctx)
//	job, err := fleet.Submit(ctx, &request)
//	...
//	err = fleet.Leave(ctx) // before ctx ends, so that other instances take the shards over at once
package medlarscheduler
