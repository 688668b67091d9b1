// Package medlarquota orders pending tasks by weighted dominant resource fairness and enforces quotas. It does no I/O,
// starts no goroutine and reads no clock.
//
// Three quotas limit the resources that tasks hold at the same time: the quota of the team, that of the client account,
// and that of one template of the account. A component of zero means no limit. Queue returns the pending tasks one by one:
// by class, urgent first, and within a class the next task of the team with the lowest ratio of dominant share to weight.
// The dominant share of a team is its largest fraction of any resource of the data centre. A task that would exceed a
// quota waits, and blocks only the tasks behind it that have the same account, template and class.
//
// A change costs O(log n) for n teams. A refund additionally costs O(log k) for each of the k subqueues of the same team
// that are blocked by a quota.
//
// The owner of a shard of jobs admits tasks for all teams of the shard. Ledger is the stored row that records what they
// use. It is written in the same transaction as the commitment or release of a task, so an owner that has been superseded
// cannot admit tasks beyond a quota.
//
// # Usage
//
//	queue := medlarquota.NewQueue(capacity)
//	queue.SetTeam("allotments", medlarquota.TeamLimit{Quota: quota, Weight: 2})
//	queue.Charge(usage) // for each task that already runs
//	queue.Add(item)
//	for item, ok := queue.Next(); ok; item, ok = queue.Next() {
//		// Place item, or call queue.Requeue(item) if no worker has capacity for it.
//	}
//	queue.Refund(usage) // when a task has released its resources
package medlarquota
