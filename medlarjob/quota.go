package medlarjob

import (
	"medlarwheel"
	"medlarwheel/medlarquota"
)

// QuotaUsage returns the resources committed to the placed tasks of the job, with the quotas that they count against.
func (r *Record) QuotaUsage() medlarquota.Usage {
	usage := r.quotaScope()
	for i := range r.job.Tasks {
		if run := r.job.Tasks[i].Run; run != nil {
			usage.Resources = usage.Resources.Plus(run.Resources)
		}
	}
	return usage
}

// QueueItems lists what waits for a worker: one item for each task, or one for all tasks of a gang. size is the size to
// commit for each task, such as the corrected size.
func (r *Record) QueueItems(size medlarwheel.Resources) []medlarquota.Item {
	waiting := r.WaitingTasks()
	if r.job.Spec.Gang && len(waiting) > 0 {
		return []medlarquota.Item{r.queueItem(waiting[0], size.Times(len(waiting)))}
	}
	items := make([]medlarquota.Item, 0, len(waiting))
	for _, index := range waiting {
		items = append(items, r.queueItem(index, size))
	}
	return items
}

// UpdateLedger charges the ledger of the job's shard for what a decision places, less what it releases. If it reports a
// change, the write of the ledger has to go into the transaction of the decision. A decision that exceeds the limits is
// refused with medlarquota.ErrQuotaExceeded.
func (d *Decision) UpdateLedger(ledger *medlarquota.Ledger, limits medlarquota.Limits) (bool, error) {
	change := d.next.QuotaUsage()
	change.Resources = change.Resources.Minus(d.next.initialResources)
	increase := medlarwheel.Resources{
		CPU:          max(change.Resources.CPU, 0),
		Memory:       max(change.Resources.Memory, 0),
		Accelerators: max(change.Resources.Accelerators, 0),
	}
	switch {
	case change.Resources.IsZero():
		return false, nil
	case increase.IsZero():
		change.Resources = medlarwheel.Resources{}.Minus(change.Resources)
		return true, ledger.Refund(change, d.next.job.Token)
	default:
		// A quota that was lowered below the current usage must not block a change that reduces the usage of that resource.
		limits.Team = limitIncreasesOnly(limits.Team, increase)
		limits.Account = limitIncreasesOnly(limits.Account, increase)
		limits.Template = limitIncreasesOnly(limits.Template, increase)
		return true, ledger.Charge(change, limits, d.next.job.Token)
	}
}

// limitIncreasesOnly removes the bounds of a quota on the resources that do not increase.
func limitIncreasesOnly(quota, increase medlarwheel.Resources) medlarwheel.Resources {
	if increase.CPU == 0 {
		quota.CPU = 0
	}
	if increase.Memory == 0 {
		quota.Memory = 0
	}
	if increase.Accelerators == 0 {
		quota.Accelerators = 0
	}
	return quota
}

func (r *Record) quotaScope() medlarquota.Usage {
	return medlarquota.Usage{Team: medlarquota.TeamName(r.job.Team), Account: r.job.Account, Template: r.job.Template}
}

func (r *Record) queueItem(index int, size medlarwheel.Resources) medlarquota.Item {
	usage := r.quotaScope()
	usage.Resources = size
	return medlarquota.Item{ID: r.job.TaskID(index), Usage: usage, Class: r.job.Class, SubmittedAt: r.job.SubmittedAt}
}
