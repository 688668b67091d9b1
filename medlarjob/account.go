package medlarjob

import (
	"medlarwheel"
	"medlarwheel/medlarquota"
)

// QuotaUsage returns what the placed tasks of the job have.
func (r *Record) QuotaUsage() medlarquota.Usage {
	use := r.quotaScope()
	for i := range r.job.Tasks {
		if run := r.job.Tasks[i].Run; run != nil {
			use.Resources = use.Resources.Plus(run.Resources)
		}
	}
	return use
}

// QueueItems lists what waits for a worker: one item for each task, or one for all tasks of a gang. size is what a task is
// to get, such as the corrected size.
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

// UpdateLedger charges the ledger of the job's shard with what a decision places, less what it releases. The write of the ledger
// goes into the transaction of the decision if Book reports a change. A decision that exceeds the limits is refused with
// medlarquota.ErrQuotaExceeded.
func (d *Decision) UpdateLedger(ledger *medlarquota.Ledger, limits medlarquota.Limits) (bool, error) {
	change := d.next.QuotaUsage()
	change.Resources = change.Resources.Minus(d.next.initialResources)
	grown := medlarwheel.Resources{
		CPU:          max(change.Resources.CPU, 0),
		Memory:       max(change.Resources.Memory, 0),
		Accelerators: max(change.Resources.Accelerators, 0),
	}
	switch {
	case change.Resources.IsZero():
		return false, nil
	case grown.IsZero():
		change.Resources = medlarwheel.Resources{}.Minus(change.Resources)
		return true, ledger.Refund(change, d.next.job.Token)
	default:
		// A quota that was lowered below what is used must not stop a change that uses less of it.
		limits.Team = limitIncreasesOnly(limits.Team, grown)
		limits.Account = limitIncreasesOnly(limits.Account, grown)
		limits.Template = limitIncreasesOnly(limits.Template, grown)
		return true, ledger.Charge(change, limits, d.next.job.Token)
	}
}

// limitIncreasesOnly drops the bounds of a quota on what does not grow.
func limitIncreasesOnly(quota, grown medlarwheel.Resources) medlarwheel.Resources {
	if grown.CPU == 0 {
		quota.CPU = 0
	}
	if grown.Memory == 0 {
		quota.Memory = 0
	}
	if grown.Accelerators == 0 {
		quota.Accelerators = 0
	}
	return quota
}

func (r *Record) quotaScope() medlarquota.Usage {
	return medlarquota.Usage{Team: medlarquota.TeamName(r.job.Team), Account: r.job.Account, Template: r.job.Template}
}

func (r *Record) queueItem(index int, size medlarwheel.Resources) medlarquota.Item {
	use := r.quotaScope()
	use.Resources = size
	return medlarquota.Item{ID: r.job.TaskID(index), Usage: use, Class: r.job.Class, SubmittedAt: r.job.SubmittedAt}
}
