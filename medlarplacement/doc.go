// Package medlarplacement chooses workers for tasks, learns which kinds of task slow each other down, and decides what to
// do when a latency-critical task suffers.
//
// Index holds the workers of one shard or one data centre in buckets by free capacity and is updated incrementally, so
// that a start looks at a sample of the workers that can fit and not at all of them. Place never commits a worker beyond
// its size. Batch tasks are lent idle capacity in one way only: a batch task is committed at its measured size instead
// of its larger declared size, and only on a worker whose measured use leaves room for the whole declared size. Preempt
// finds the cheapest set of batch tasks whose eviction makes room for more urgent work on one worker.
//
// Interference estimates, from late measurements, by how much one kind of task slows another at a level of load. An
// estimate that rests on few samples stays near its prior. Governor turns measurements of suffering tasks into steps in
// order of cost (throttle, checkpoint and evict, stop) within budgets of evictions for the fleet and for each worker.
//
// The package does no I/O, starts no goroutine and reads no clock. Its types are not safe for concurrent use; one
// goroutine owns them. Its state is soft: after a restart it is rebuilt from worker records and usage reports.
//
// # Usage
//
//	interference := medlarplacement.NewInterferenceModel(medlarplacement.DefaultInterferenceModelConfig())
//	index := medlarplacement.NewIndex(medlarplacement.DefaultConfig(), interference, rand.New(rand.NewPCG(1, 2)))
//	index.Upsert(medlarplacement.WorkerState{ID: "w1", DataCentre: "dc1", Rack: "r1", Size: size})
//
//	decision, ok := index.Place(now, &request)
//	if !ok {
//		plan, found := index.Preempt(now, &request)
//		...
//	}
//	for _, a := range decision.Assignments {
//		err := index.Commit(a.Worker, request.TaskState(id, a, now)) // Release it if the write to the table fails.
//	}
//
// Feed measurements in and act on the decisions of the governor:
//
//	index.Observe(usage)
//	interference.Learn(now, observation)
//	if condition, ok := index.Condition(now, worker); ok {
//		if action, ok := governor.Step(now, condition); ok {
//			...
//		}
//	}
package medlarplacement
