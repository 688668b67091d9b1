package medlarscheduler

import (
	"time"

	"medlarwheel"
	"medlarwheel/medlaragentapi"
	"medlarwheel/medlarlease"
	"medlarwheel/medlarworker"
)

// maintainRows sends the writes that bring the rows of owned workers in line with the announcements of their agents, and
// the deletions of handled eviction requests and of expired jobs. They are sent in a transaction of their own, which
// alternates with the transactions for decisions on jobs.
func (s *state) maintainRows(now time.Time) {
	s.expirePreemptions(now)
	if s.inFlight != nil || now.Before(s.nextMaintenance) || now.Before(s.retryAt) {
		return
	}
	s.nextMaintenance = now.Add(s.scheduler.config.PollInterval)
	writes := s.deletions
	s.deletions = nil
	for id, announcement := range s.announcements {
		if len(writes) >= s.scheduler.config.Job.MaxBatchWrites {
			break
		}
		owned, ok := s.mayAct(medlarlease.ShardOfWorker(announcement.DataCentre, id), now)
		if !ok {
			continue
		}
		if write, due := s.reconcileWorker(&announcement, owned, now); due {
			writes = append(writes, write)
		}
	}
	for _, entry := range s.jobs {
		if len(writes) >= s.scheduler.config.Job.MaxBatchWrites {
			break
		}
		if _, ok := s.mayAct(entry.shard, now); !ok {
			continue
		}
		if write, due := entry.record.DeleteExpired(now); due {
			writes = append(writes, write)
		}
	}
	s.startTransaction(writes, nil)
}

// reconcileWorker returns the write that brings a worker's row in line with its announcement, or opens a trial of a worker
// on probation. It reports whether there is one.
func (s *state) reconcileWorker(a *medlaragentapi.Announcement, owned medlarlease.OwnedShard, now time.Time) (medlarwheel.Write, bool) {
	leaving := a.State == medlarwheel.StateLeaving
	entry := s.workers[a.ID]
	if entry == nil {
		if leaving {
			return medlarwheel.Write{}, false
		}
		return s.logWorkerError(newWorkerWrite(a, owned.Token, s.scheduler.config.Worker))
	}
	record := entry.record.Clone()
	worker := record.Worker()
	if worker.Draining != leaving {
		return s.logWorkerError(record.Drain(leaving, owned.Token))
	}
	if worker.Size != a.Size && worker.Committed().Fits(a.Size) {
		return s.logWorkerError(record.Resize(a.Size, owned.Token))
	}
	if worker.Probation != nil {
		write, due, err := record.OpenTrial(owned.Token, now)
		if err == nil && due {
			return write, true
		}
	}
	return medlarwheel.Write{}, false
}

// newWorkerWrite returns the write that registers a worker.
func newWorkerWrite(
	a *medlaragentapi.Announcement, token medlarwheel.FencingToken, config medlarworker.Config,
) (medlarwheel.Write, error) {
	record, err := medlarworker.Register(medlarwheel.Worker{
		ID: a.ID, DataCentre: a.DataCentre, Rack: a.Rack, Address: a.Address, Size: a.Size, Token: token,
	}, config)
	if err != nil {
		return medlarwheel.Write{}, medlarwheel.WithOperation("register worker "+string(a.ID), "", err)
	}
	return record.Write()
}

// logWorkerError logs an error about a worker's row and reports whether there was none.
func (s *state) logWorkerError(write medlarwheel.Write, err error) (medlarwheel.Write, bool) {
	if err != nil {
		s.scheduler.deps.Log.Warn().Str("event", "worker-row").Err(err).
			Msg("cannot bring the row of a worker in line with its announcement; leaving the row unchanged")
	}
	return write, err == nil
}
