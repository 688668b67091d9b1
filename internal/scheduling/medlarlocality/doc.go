// Package medlarlocality decides how long it pays to wait for a place near a task's data or near the other tasks of its group.
//
// It handles many tasks that want the same rack. A task that runs elsewhere takes longer by a known factor, and one that waits loses the
// time of its wait. If all go elsewhere, each is late by the factor; if all wait, the queue of the rack makes them late. The ends of the
// runs on the rack are predicted, so a task waits only while its place is expected to be free before it would have lost as much elsewhere.
// The waits of a task are bounded by that loss together, so that wrong predictions cost at most about as much as going elsewhere at once.
//
// # Usage
//
//	plan.Reset()
//	plan.AddWorker(now, free)
//	plan.AddEnd(now.Add(300*time.Millisecond), size)
//	limit := config.WaitLimit(medlarlocality.Work{RunTime: time.Second, RemoteFactor: 2, Slack: slack})
//	if plan.Reserve(now, size, time.Second, limit) { ... } // The task waits.
package medlarlocality
