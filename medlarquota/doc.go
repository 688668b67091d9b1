// Package medlarquota orders pending tasks by fair share and keeps quotas. It does no I/O, starts no goroutine and reads
// no clock.
//
// Three quotas bound the tasks that have resources at the same time: of the team, of the client account, and of the
// account's use of one template. Zero components set no bound. Queue gives out pending tasks one by one: urgent ones
// first, and within a class the next one of the team with the lowest dominant share over weight. The dominant share of a
// team is the largest part that it has of any resource of the data centre. A task that would exceed a quota waits; it
// holds up only what waits behind it for the same template of the same account.
//
// A change costs O(log n) for n teams, and a refund also O(log k) for each of the k templates of the same team that were
// found waiting for a quota.
//
// The owner of a shard of jobs admits for all teams of the shard. Ledger is the row with what they have; its write goes
// into the transaction that commits or releases, so an owner that has been superseded cannot admit beyond a quota.
//
// # Usage
//
//	queue := medlarquota.NewQueue(capacity)
//	queue.SetTeam("allotments", medlarquota.TeamLimit{Quota: quota, Weight: 2})
//	queue.Charge(use)   // what runs already
//	queue.Add(item)
//	for item, ok := queue.Next(); ok; item, ok = queue.Next() {
//		// place item, or queue.Return(item) if there is no worker for it
//	}
//	queue.Refund(use)   // when a task has left its worker
package medlarquota
