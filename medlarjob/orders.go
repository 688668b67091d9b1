package medlarjob

import (
	"time"

	"medlarwheel"
	"medlarwheel/medlarlease"
)

// Track makes leases follow the attempts that the job has on workers, and forget those that have ended.
func (r *Record) Track(leases *medlarlease.TaskLeases, owned medlarlease.OwnedShard, now time.Time) {
	if !r.IsCommitted() {
		return
	}
	for i := range r.job.Tasks {
		task := &r.job.Tasks[i]
		if !task.State.IsActive() {
			leases.Forget(r.job.TaskID(i))
			continue
		}
		leases.Track(medlarlease.TrackedAttempt{
			Attempt: r.runningAttempt(i), Worker: task.Run.Worker, Incarnation: task.Run.Incarnation,
			Placed: task.Run.Token, Started: task.State != medlarwheel.JobPlacing,
		}, owned, now)
	}
}

// Orders returns the commands that the committed row calls for. They may be sent again until a report changes the row.
// A start whose worker's clock is not known yet is left out; Track makes the leases ask for it.
func (r *Record) Orders(leases *medlarlease.TaskLeases, owned medlarlease.OwnedShard, now time.Time) []medlarlease.Order {
	if !r.IsCommitted() || owned.Token < r.job.Token {
		return nil
	}
	var orders []medlarlease.Order
	for i := range r.job.Tasks {
		task := &r.job.Tasks[i]
		switch {
		case !task.State.IsActive():
		case r.job.Cancelling:
			orders = append(orders, medlarlease.Stop{
				Worker: task.Run.Worker, Attempt: r.runningAttempt(i), Token: owned.Token,
			})
		case task.State == medlarwheel.JobCheckpointing:
			orders = append(orders, medlarlease.Checkpoint{
				Worker: task.Run.Worker, Attempt: r.runningAttempt(i), Token: owned.Token,
				GracePeriod: medlarwheel.Duration(r.config.CheckpointGrace),
			})
		case task.State == medlarwheel.JobPlacing:
			if start, err := r.startOf(i, leases, owned, now); err == nil {
				orders = append(orders, start)
			}
		}
	}
	return orders
}

func (r *Record) startOf(
	index int, leases *medlarlease.TaskLeases, owned medlarlease.OwnedShard, now time.Time,
) (medlarlease.Start, error) {
	proof, err := medlarlease.Recorded(&r.job, r.version, index)
	if err != nil {
		return medlarlease.Start{}, err
	}
	return proof.Start(leases, &r.job, index, owned, now)
}
