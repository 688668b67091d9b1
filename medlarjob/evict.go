package medlarjob

import (
	"time"

	"medlarwheel"
)

// Evict makes tasks on workers checkpoint and leave. The members of a gang leave together. Tasks that are not on a worker
// stay as they are.
func (r *Record) Evict(tasks []int, token medlarwheel.FencingToken, now time.Time) (Decision, error) {
	evicted := false
	for _, i := range tasks {
		evicted = evicted || i >= 0 && i < len(r.job.Tasks) && r.isEvictable(i)
	}
	if !evicted {
		return r.unchanged(), nil
	}
	d, err := r.draft(token, now)
	if err != nil {
		return Decision{}, err
	}
	if d.job.Spec.Gang {
		d.evictGang()
		return d.decision(), nil
	}
	for _, i := range tasks {
		if i >= 0 && i < len(d.job.Tasks) && d.isEvictable(i) {
			d.job.Tasks[i].State = medlarwheel.JobCheckpointing
		}
	}
	return d.decision(), nil
}

func (r *Record) isEvictable(index int) bool {
	state := r.job.Tasks[index].State
	return state == medlarwheel.JobRunning || state == medlarwheel.JobPlacing
}
