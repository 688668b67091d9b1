package medlarscheduler

import (
	"context"
	"fmt"
	"time"

	"medlarwheel"
	"medlarwheel/medlarjob"
	"medlarwheel/medlarlease"
)

// renewLeases sends the renewals that are due. They go on without the table, within the horizon of the lease.
func (s *state) renewLeases(now time.Time) {
	for _, renew := range s.taskLeases.Renewals(s.ownership, now) {
		s.enqueueCommand(renew.Worker, command{order: renew})
	}
}

// sendOrders sends the commands that the committed rows call for, again after a while if nothing came of them.
func (s *state) sendOrders(now time.Time) {
	for _, entry := range s.jobs {
		job := entry.record.Job()
		if job.State.IsFinal() || !needsOrders(job) {
			continue
		}
		if _, ok := s.mayAct(entry.shard, now); !ok {
			continue
		}
		for _, order := range entry.record.Orders(s.taskLeases, s.ownership, now) {
			s.sendOrder(entry, order, now)
		}
	}
}

func needsOrders(job *medlarwheel.Job) bool {
	for i := range job.Tasks {
		switch job.Tasks[i].State {
		case medlarwheel.JobPlacing, medlarwheel.JobCheckpointing:
			return true
		case medlarwheel.JobRunning:
			if job.Cancelling {
				return true
			}
		}
	}
	return false
}

func hasPlacingTask(job *medlarwheel.Job) bool {
	for i := range job.Tasks {
		if job.Tasks[i].State == medlarwheel.JobPlacing {
			return true
		}
	}
	return false
}

func (s *state) sendOrder(entry *jobEntry, order medlarlease.Order, now time.Time) {
	c := command{order: order}
	var attempt medlarwheel.TaskAttempt
	switch o := order.(type) {
	case medlarlease.Start:
		attempt = o.Order().Attempt
		if job := entry.record.Job(); job.Kind == medlarwheel.KindBatch {
			c.runTime = job.Spec.RunTime
		}
	case medlarlease.Checkpoint:
		attempt = o.Attempt
		if s.gracePeriodOver(entry, o, now) {
			c.order = medlarlease.Stop{Worker: o.Worker, Attempt: o.Attempt, Token: o.Token}
		}
	case medlarlease.Stop:
		attempt = o.Attempt
	}
	if sent, ok := entry.sentAt[attempt]; ok && now.Before(sent.Add(s.scheduler.config.ResendAfter)) {
		return
	}
	if entry.sentAt == nil {
		entry.sentAt = make(map[medlarwheel.TaskAttempt]time.Time)
	}
	entry.sentAt[attempt] = now
	c.shard = shardName(attempt.Task)
	s.enqueueCommand(order.Target(), c)
}

// gracePeriodOver reports whether an attempt has had its time to write a checkpoint. The agent's protocol has no such bound.
func (s *state) gracePeriodOver(entry *jobEntry, o medlarlease.Checkpoint, now time.Time) bool {
	if entry.evictionStarted == nil {
		entry.evictionStarted = make(map[medlarwheel.TaskAttempt]time.Time)
	}
	first, ok := entry.evictionStarted[o.Attempt]
	if !ok {
		entry.evictionStarted[o.Attempt] = now
		// A running attempt that was started by this owner has a time of sending that must not delay the checkpoint.
		delete(entry.sentAt, o.Attempt)
		return false
	}
	return now.Sub(first) >= o.GracePeriod.Std()
}

// expireAttempts ends attempts whose leases have run out.
func (s *state) expireAttempts(now time.Time) {
	for id, entry := range s.jobs {
		job := entry.record.Job()
		if job.State.IsFinal() {
			continue
		}
		owned, ok := s.mayAct(entry.shard, now)
		if !ok {
			continue
		}
		for i := range job.Tasks {
			if !job.Tasks[i].State.IsActive() {
				continue
			}
			attempt := medlarwheel.TaskAttempt{Task: job.TaskID(i), Attempt: job.Tasks[i].Attempt}
			if proof, err := s.taskLeases.ProofOfExpiry(attempt, owned); err == nil {
				s.expireAttempt(id, attempt, job.Tasks[i].Run.Worker, proof)
			}
		}
	}
}

// expireAttempt looks for the checkpoint of an attempt whose lease has run out and queues its end.
func (s *state) expireAttempt(job medlarwheel.JobID, attempt medlarwheel.TaskAttempt, worker medlarwheel.WorkerID, proof medlarlease.Proof) {
	key := fmt.Sprintf("lost/%s/%d", attempt.Task, attempt.Attempt)
	if s.intents.keys[key] || s.checkpointLookups[key] {
		return
	}
	s.checkpointLookups[key] = true
	s.spawn(func(ctx context.Context) {
		saved, err := hasCheckpoint(ctx, s.scheduler.deps.Table, attempt)
		if err != nil {
			// The pause keeps an outage of the object store from causing a call at every step.
			sleep(ctx, s.scheduler.config.MinRetryDelay)
		}
		s.scheduler.post(ctx, func(s *state) {
			delete(s.checkpointLookups, key)
			if err == nil {
				s.intents.add(expireIntent(key, job, attempt, worker, proof, saved))
			}
		})
	})
}

// queueTimedTransitions queues the transitions that time alone calls for.
func (s *state) queueTimedTransitions(now time.Time) {
	for id, entry := range s.jobs {
		job := entry.record.Job()
		if job.State == medlarwheel.JobSubmitted {
			s.intents.add(intent{key: "enqueue/" + string(id), job: id, apply: func(
				r *medlarjob.Record, _ *workerView, owned medlarlease.OwnedShard, now time.Time,
			) (medlarjob.Decision, error) {
				return r.Enqueue(owned.Token, now)
			}})
		}
		if owned, ok := s.mayAct(entry.shard, now); ok && hasPlacingTask(job) && job.Token < owned.Token {
			s.intents.add(intent{key: "adopt/" + string(id), job: id, apply: func(
				r *medlarjob.Record, _ *workerView, owned medlarlease.OwnedShard, now time.Time,
			) (medlarjob.Decision, error) {
				return r.TakeOver(owned.Token, now)
			}})
		}
		if at, held := entry.record.NextHoldEnd(); held && !now.Before(at) {
			s.intents.add(intent{key: "wake/" + string(id), job: id, apply: func(
				r *medlarjob.Record, _ *workerView, owned medlarlease.OwnedShard, now time.Time,
			) (medlarjob.Decision, error) {
				return r.EndHolds(owned.Token, now)
			}})
		}
	}
}
