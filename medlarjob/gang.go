package medlarjob

import "medlarwheel"

// evictGang evicts all members that are on workers, because the members of a gang run at the same time or not at all.
func (d *draft) evictGang() {
	for i := range d.job.Tasks {
		task := &d.job.Tasks[i]
		if task.State == medlarwheel.JobRunning || task.State == medlarwheel.JobPlacing {
			task.State = medlarwheel.JobCheckpointing
		}
	}
}

// finishGangCheckpoint advances the gang's checkpoint once no member is on a worker any more. It does so only if every
// member that has to resume wrote a checkpoint in its last attempt; otherwise members would resume from different points
// in time.
func (d *draft) finishGangCheckpoint() {
	if !d.job.Spec.Gang {
		return
	}
	complete := true
	for i := range d.job.Tasks {
		task := &d.job.Tasks[i]
		if task.State.IsActive() {
			return
		}
		if !task.State.IsFinal() && task.LatestCheckpoint+1 != task.Attempt {
			complete = false
		}
	}
	for i := range d.job.Tasks {
		task := &d.job.Tasks[i]
		if task.State.IsFinal() {
			continue
		}
		if complete {
			task.ResumeFrom = task.LatestCheckpoint
		}
		if task.State.IsPlaceable() {
			d.requeue(task)
		}
	}
}
