package medlarjob

import "medlarwheel"

// evictGang ends the attempts of all other members, because a gang runs together or not at all.
func (d *draft) evictGang() {
	for i := range d.job.Tasks {
		task := &d.job.Tasks[i]
		if task.State == medlarwheel.JobRunning || task.State == medlarwheel.JobPlacing {
			task.State = medlarwheel.JobCheckpointing
		}
	}
}

// finishGangCheckpoint moves the gang's checkpoint on once no member is on a worker any more. It moves only if every member that
// has to go on wrote one in the same round; otherwise members would resume from different moments.
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
