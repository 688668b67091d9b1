package medlarscheduler

import (
	"context"
	"fmt"
	"time"

	"medlarwheel"
	"medlarwheel/medlarjob"
	"medlarwheel/medlarlease"
)

// renewLeases sends the task lease renewals that are due. They continue while the table is unavailable, within the outage
// renewal limit.
func (s *state) renewLeases(now time.Time) {
	for _, renew := range s.taskLeases.Renewals(s.ownership, now) {
		s.enqueueCommand(renew.Worker, command{order: renew})
	}
}

// sendOrders sends the commands that follow from the committed rows. A command that has had no effect is sent again after
// Config.ResendAfter.
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

// gracePeriodOver reports whether the time that an attempt has for writing a checkpoint is over. It is measured here because
// the agent API has no such limit.
func (s *state) gracePeriodOver(entry *jobEntry, o medlarlease.Checkpoint, now time.Time) bool {
	if entry.evictionStarted == nil {
		entry.evictionStarted = make(map[medlarwheel.TaskAttempt]time.Time)
	}
	first, ok := entry.evictionStarted[o.Attempt]
	if !ok {
		entry.evictionStarted[o.Attempt] = now
		// If this owner has started the attempt, sentAt holds the time of that command, which must not delay this one.
		delete(entry.sentAt, o.Attempt)
		return false
	}
	return now.Sub(first) >= o.GracePeriod.Std()
}

// expireAttempts ends attempts whose leases have expired.
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

// expireAttempt looks up the checkpoint of an attempt whose lease has expired, and queues the end of the attempt.
func (s *state) expireAttempt(job medlarwheel.JobID, attempt medlarwheel.TaskAttempt, worker medlarwheel.WorkerID, proof medlarlease.Proof) {
	key := fmt.Sprintf("lost/%s/%d", attempt.Task, attempt.Attempt)
	if s.intents.keys[key] || s.checkpointLookups[key] {
		return
	}
	s.checkpointLookups[key] = true
	s.spawn(func(ctx context.Context) {
		checkpointExists, err := hasCheckpoint(ctx, s.scheduler.deps.Table, attempt)
		if err != nil {
			// Without the delay every step would call the object store during an outage.
			sleep(ctx, s.scheduler.config.MinRetryDelay)
		}
		s.scheduler.postToControl(ctx, func(s *state) {
			delete(s.checkpointLookups, key)
			if err == nil {
				s.intents.add(expireIntent(key, job, attempt, worker, proof, checkpointExists))
			}
		})
	})
}

// queueTimedTransitions queues the transitions that need no report: enqueueing submitted jobs, taking over jobs whose tasks
// an earlier owner has placed, and ending holds whose time is over.
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
