// Package medlaragentapi holds the protocol between entry instances and the agents of workers: the messages with their
// validation, a client, and the estimation of an agent's clock.
//
// A command names the shard that issues it and the shard's fencing token. An agent refuses a token lower than the highest
// one received for the task or the shard, and an attempt that is not newer than the last one of the task. Commands are
// idempotent: starting an attempt that already runs and stopping one that has ended have no effect.
//
// A lease starts at the time at which its command was issued, on the agent's clock. If it started on arrival, a command
// that was delayed in transit, or read after a pause of the agent, could run a task beyond the time at which its owner
// assumes it has stopped. The owner therefore sends its estimate of the agent's clock (ClockEstimator).
//
// # Usage
//
//	client := medlaragentapi.NewClient(medlaragentapi.DefaultConfig("127.0.0.1:7900"))
//	defer client.Close()
//	list, err := client.Tasks(ctx)
//	estimator.Observe(clock.Now(), list.Clock)
//	issued, ok := estimator.At(clock.Now())
//	response, err := client.Start(ctx, medlaragentapi.StartRequest{
//		Command: medlaragentapi.Command{Shard: "jobs/d1/7", Token: 3, IssuedAt: &issued},
//		Task:    medlaragentapi.TaskRef{ID: "t1", Attempt: 1},
//		...
//	})
//	var refused *medlaragentapi.RefusedError
//	if errors.As(err, &refused) && refused.Reason == medlaragentapi.RefusedStaleToken { ... }
package medlaragentapi
