package medlarjob

import (
	"slices"
	"time"

	"medlarwheel"
	"medlarwheel/medlarlease"
)

// TrackLeases adds the attempts that the job has on workers to leases, and removes those that have ended.
func (r *Record) TrackLeases(leases *medlarlease.TaskLeases, owned medlarlease.OwnedShard, now time.Time) {
	if !r.IsCommitted() {
		return
	}
	for i := range r.job.Tasks {
		task := &r.job.Tasks[i]
		if !task.State.IsActive() {
			leases.RecordEnd(medlarwheel.TaskAttempt{Task: r.job.TaskID(i), Attempt: task.Attempt - 1}, owned, now)
			continue
		}
		leases.Track(medlarlease.TrackedAttempt{
			Attempt: r.currentAttempt(i), Worker: task.Run.Worker, Incarnation: task.Run.Incarnation,
			PlacedToken: task.Run.Token, Started: task.State != medlarwheel.JobPlacing,
		}, owned, now)
	}
}

// TakeOver writes the owner's token into the row of a job that an earlier owner was placing, so that its attempts can be
// started. Until the row is written under the new token, the earlier owner could still record that the attempts have
// ended.
func (r *Record) TakeOver(token medlarwheel.FencingToken, now time.Time) (Decision, error) {
	placing := slices.ContainsFunc(r.job.Tasks, func(t medlarwheel.Task) bool { return t.State == medlarwheel.JobPlacing })
	if !placing || token == r.job.Token {
		return r.unchanged(), nil
	}
	d, err := r.draft(token, now)
	if err != nil {
		return Decision{}, err
	}
	return d.decision(), nil
}

// Orders returns the commands that the committed row requires, if the instance may act on the job at now. They may be
// sent again until a report changes the row. A start is left out while the worker's clock is not known, which the leases
// request once TrackLeases has added the attempt, and while the row has not been written under the owner's token (see
// TakeOver).
func (r *Record) Orders(leases *medlarlease.TaskLeases, ownership *medlarlease.Ownership, now time.Time) []medlarlease.Order {
	shard, err := medlarlease.ShardOfJob(r.job.DataCentre, r.job.ID)
	if err != nil || !r.IsCommitted() {
		return nil
	}
	owned, ok := ownership.MayAct(shard, now)
	if !ok || owned.Token < r.job.Token {
		return nil
	}
	var orders []medlarlease.Order
	for i := range r.job.Tasks {
		task := &r.job.Tasks[i]
		switch {
		case !task.State.IsActive():
		case r.job.Cancelling:
			orders = append(orders, medlarlease.Stop{
				Worker: task.Run.Worker, Attempt: r.currentAttempt(i), Token: owned.Token,
			})
		case task.State == medlarwheel.JobCheckpointing:
			orders = append(orders, medlarlease.Checkpoint{
				Worker: task.Run.Worker, Attempt: r.currentAttempt(i), Token: owned.Token,
				GracePeriod: medlarwheel.Duration(r.config.CheckpointGrace),
			})
		case task.State == medlarwheel.JobPlacing:
			if start, err := r.startOrder(i, leases, ownership, now); err == nil {
				orders = append(orders, start)
			}
		}
	}
	return orders
}

func (r *Record) startOrder(
	index int, leases *medlarlease.TaskLeases, ownership *medlarlease.Ownership, now time.Time,
) (medlarlease.Start, error) {
	proof, err := medlarlease.ProofFromJob(&r.job, r.version, index)
	if err != nil {
		return medlarlease.Start{}, err
	}
	return proof.Start(leases, ownership, &r.job, index, now)
}
