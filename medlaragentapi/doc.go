// Package medlaragentapi holds the protocol between entry instances and the agents of workers: the messages with their
// self-checks, a client, and the estimate of an agent's clock.
//
// A command names the shard that gives it and the shard's fencing token. An agent refuses a token lower than the highest
// it has seen for the task or for the shard, and an attempt that is not newer than the last one of the task. A command
// may repeat safely: starting an attempt that already runs, and stopping one that has ended, change nothing.
//
// A lease is counted from the time at which its command was issued, by the agent's own clock. Counting from the arrival
// would let a command that is delayed on its way, or read by an agent after a pause, run a task beyond the time at which
// its owner takes it to have stopped. The owner therefore sends its estimate of the agent's clock (Estimate).
//
// # Usage
//
//	client := medlaragentapi.NewClient(medlaragentapi.DefaultConfig("127.0.0.1:7900"))
//	defer client.Close()
//	list, err := client.Tasks(ctx)
//	estimate.Observe(clock.Now(), list.Stamp)
//	issued, ok := estimate.At(clock.Now())
//	answer, err := client.Start(ctx, medlaragentapi.StartRequest{
//		Command: medlaragentapi.Command{Shard: "jobs/d1/7", Token: 3, Issued: &issued},
//		Task:    medlaragentapi.TaskRef{ID: "t1", Attempt: 1},
//		...
//	})
//	var refused *medlaragentapi.RefusedError
//	if errors.As(err, &refused) && refused.Reason == medlaragentapi.RefusedStaleToken { ... }
package medlaragentapi
