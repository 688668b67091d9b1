// Package medlarplacement chooses workers for tasks, learns which templates slow each other down when they share a
// worker, and decides what to do when interference slows down a latency-critical task.
//
// Index holds the workers of one shard or one data centre in buckets by free capacity and is updated incrementally, so
// that a placement examines a sample of the workers that can fit the task instead of all of them. Place never commits
// more than a worker's size. Capacity is overcommitted with respect to declared sizes in one case only: a batch task is
// committed at its measured size instead of its larger declared size, and only on a worker whose measured use leaves
// enough idle capacity for the whole declared size. Preempt finds the cheapest set of batch tasks whose eviction frees
// the capacity for more urgent work on one worker.
//
// InterferenceModel estimates, from measurements that arrive late, by how much one template slows another at a level of
// load. An estimate with few samples stays near its prior. InterferenceController turns measurements of degraded
// services into actions in order of cost (throttle, checkpoint and evict, stop), within eviction rate limits for all
// workers together and for each of them.
//
// The package does no I/O, starts no goroutine and reads no clock. Its types are not safe for concurrent use; one
// goroutine owns them. Its state is not persisted: after a restart it is rebuilt from worker records and usage reports.
//
// # Usage
//
//	model := medlarplacement.NewInterferenceModel(medlarplacement.DefaultInterferenceModelConfig())
//	index := medlarplacement.NewIndex(medlarplacement.DefaultConfig(), model, rand.New(rand.NewPCG(1, 2)))
//	index.Upsert(medlarplacement.WorkerState{ID: "w1", DataCentre: "dc1", Rack: "r1", Size: size})
//
//	decision, ok := index.Place(now, &request)
//	if !ok {
//		plan, found := index.Preempt(now, &request)
//		...
//	}
//	for _, a := range decision.Assignments {
//		err := index.Commit(a.Worker, request.TaskState(id, a, now)) // Release the task if the write to the table fails.
//	}
//
// Pass on measurements and carry out the actions that the controller returns:
//
//	index.Observe(usage)
//	model.Learn(now, observation)
//	if report, ok := index.InterferenceReport(now, worker); ok {
//		if action, ok := controller.HandleReport(now, report); ok {
//			...
//		}
//	}
package medlarplacement
