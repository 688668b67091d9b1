package medlarfleet

import (
	"maps"
	"strings"
	"time"

	"medlarwheel"
	"medlarwheel/medlaragentapi"
	"medlarwheel/medlarjob"
	"medlarwheel/medlarlease"
	"medlarwheel/medlarworker"
)

// applyRows takes over rows that were read, written or named in a conflict. Older versions are ignored.
func (s *state) applyRows(rows []medlarwheel.Row) {
	for i := range rows {
		s.applyRow(rows[i])
	}
}

func (s *state) applyRow(row medlarwheel.Row) {
	var err error
	switch {
	case strings.HasPrefix(row.Key, workerPrefix):
		err = s.applyWorker(row)
	case strings.HasPrefix(row.Key, jobsPrefix(s.f.config.Instance.DataCentre)):
		err = s.applyJobRow(row)
	case strings.HasPrefix(row.Key, medlaragentapi.AnnouncementPrefix):
		err = s.applyAnnouncement(row)
	}
	if err != nil {
		s.f.ports.Log.Warn().Str("event", "bad-row").Str("key", row.Key).Err(err).Send()
	}
}

func (s *state) applyJobRow(row medlarwheel.Row) error {
	if evict, ok := evictionKey(row.Key); ok {
		return s.applyEviction(evict, row)
	}
	id := medlarwheel.JobID(row.Key[strings.LastIndexByte(row.Key, '/')+1:])
	shard, err := medlarlease.ShardOfJob(s.f.config.Instance.DataCentre, id)
	if err != nil {
		return err
	}
	held := s.shards[shard]
	if held == nil {
		return nil
	}
	entry := s.jobs[id]
	if entry != nil && row.Version != 0 && row.Version <= entry.record.Version() {
		return nil
	}
	if row.Deleted || row.Version == 0 {
		s.forgetJob(id)
		return nil
	}
	record, err := medlarjob.Decode(row, s.f.config.Job)
	if err != nil {
		return err
	}
	if entry == nil {
		entry = &jobEntry{shard: shard}
		s.jobs[id] = entry
	}
	entry.record = record
	s.trackJob(entry)
	s.placeDue = s.f.ports.Clock.Now()
	return nil
}

// trackJob makes the leases follow the committed row of a job.
func (s *state) trackJob(entry *jobEntry) {
	now := s.f.ports.Clock.Now()
	owned, ok := s.own.MayRenew(entry.shard, now)
	if !ok {
		return
	}
	entry.record.TrackLeases(s.leases, owned, now)
	entry.forgetEnded()
	s.enterShard(entry.shard, now)
	job := entry.record.Job()
	for i := range job.Tasks {
		id := job.TaskID(i)
		if !job.Tasks[i].State.IsPlaceable() || job.Cancelling {
			s.dropProposal(id)
			delete(s.preempts, id)
		}
		if !job.Tasks[i].State.IsActive() {
			delete(s.usage.throttled, medlarwheel.TaskAttempt{Task: id, Attempt: job.Tasks[i].Attempt - 1})
		}
	}
}

// forgetEnded drops what is remembered of attempts that have ended.
func (e *jobEntry) forgetEnded() {
	maps.DeleteFunc(e.sentAt, func(a medlarwheel.TaskAttempt, _ time.Time) bool { return !e.isActive(a) })
	maps.DeleteFunc(e.evictAt, func(a medlarwheel.TaskAttempt, _ time.Time) bool { return !e.isActive(a) })
}

func (e *jobEntry) isActive(attempt medlarwheel.TaskAttempt) bool {
	_, index, ok := medlarwheel.ParseTaskID(attempt.Task)
	job := e.record.Job()
	return ok && index < len(job.Tasks) && job.Tasks[index].State.IsActive() && job.Tasks[index].Attempt == attempt.Attempt
}

func (s *state) forgetJob(id medlarwheel.JobID) {
	entry := s.jobs[id]
	if entry == nil {
		return
	}
	delete(s.jobs, id)
	job, now := entry.record.Job(), s.f.ports.Clock.Now()
	owned, isOwned := s.own.MayRenew(entry.shard, now)
	for i := range job.Tasks {
		if isOwned {
			s.leases.RecordEnd(medlarwheel.TaskAttempt{Task: job.TaskID(i), Attempt: job.Tasks[i].Attempt}, owned, now)
		}
		s.dropProposal(job.TaskID(i))
		delete(s.preempts, job.TaskID(i))
	}
}

func (s *state) applyWorker(row medlarwheel.Row) error {
	id := medlarwheel.WorkerID(strings.TrimPrefix(row.Key, workerPrefix))
	entry := s.workers[id]
	if entry != nil && row.Version != 0 && row.Version <= entry.record.Version() {
		return nil
	}
	if row.Deleted || row.Version == 0 {
		if entry != nil {
			entry.courier.close()
			delete(s.workers, id)
			s.index.Remove(id)
			s.usage.forget(id)
		}
		return nil
	}
	record, err := medlarworker.Decode(row, s.f.config.Worker)
	if err != nil || record.Worker().DataCentre != s.f.config.Instance.DataCentre {
		return err
	}
	if entry == nil {
		entry = &workerEntry{}
		s.workers[id] = entry
	}
	entry.record = record
	s.index.Upsert(s.workerState(record.Worker()))
	s.placeDue = s.f.ports.Clock.Now()
	s.tendJobsOn(record)
	return nil
}

// tendJobsOn moves own tasks off a worker that is to be emptied, and takes the blame for failures off the jobs whose
// tasks a suspect worker has failed.
func (s *state) tendJobsOn(record *medlarworker.Record) {
	worker := record.Worker()
	for i := range worker.Commitments {
		job, index, ok := medlarwheel.ParseTaskID(worker.Commitments[i].Task)
		if ok && worker.Draining && s.jobs[job] != nil {
			s.intents.add(evictIntent(job, index))
		}
	}
	if !record.IsOnProbation() {
		return
	}
	for _, attempt := range worker.ConsecutiveFailures {
		if job, _, ok := medlarwheel.ParseTaskID(attempt.Task); ok && s.jobs[job] != nil {
			s.intents.add(forgiveIntent(job, worker.ID))
		}
	}
}

func (s *state) applyAnnouncement(row medlarwheel.Row) error {
	id := medlarwheel.WorkerID(strings.TrimPrefix(row.Key, medlaragentapi.AnnouncementPrefix))
	if row.Deleted {
		delete(s.agents, id)
		return nil
	}
	announcement, err := medlarwheel.Decode[medlaragentapi.Announcement](row.Value)
	if err == nil && announcement.DataCentre == s.f.config.Instance.DataCentre {
		s.agents[id] = announcement
	}
	return err
}
