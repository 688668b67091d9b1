package medlarscheduler

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

// applyRows applies rows that were read, written or named in a conflict. Versions older than the known ones are ignored.
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
	case strings.HasPrefix(row.Key, jobsPrefix(s.scheduler.config.Instance.DataCentre)):
		err = s.applyJobRow(row)
	case strings.HasPrefix(row.Key, medlaragentapi.AnnouncementPrefix):
		err = s.applyAnnouncement(row)
	}
	if err != nil {
		s.scheduler.deps.Log.Warn().Str("event", "bad-row").Str("key", row.Key).Err(err).Msg("cannot apply a row; ignoring it")
	}
}

func (s *state) applyJobRow(row medlarwheel.Row) error {
	if task, ok := parseEvictionKey(row.Key); ok {
		return s.applyEviction(task, row)
	}
	id := medlarwheel.JobID(row.Key[strings.LastIndexByte(row.Key, '/')+1:])
	shard, err := medlarlease.ShardOfJob(s.scheduler.config.Instance.DataCentre, id)
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
		s.removeJob(id)
		return nil
	}
	record, err := medlarjob.Decode(row, s.scheduler.config.Job)
	if err != nil {
		return err
	}
	if entry == nil {
		entry = &jobEntry{shard: shard}
		s.jobs[id] = entry
	}
	entry.record = record
	s.trackJob(entry)
	s.nextPlacement = s.scheduler.deps.Clock.Now()
	return nil
}

// trackJob updates the task leases from the committed row of a job, and drops the proposals, preemptions and throttles that
// the row has made obsolete.
func (s *state) trackJob(entry *jobEntry) {
	now := s.scheduler.deps.Clock.Now()
	owned, ok := s.ownership.MayRenew(entry.shard, now)
	if !ok {
		return
	}
	entry.record.TrackLeases(s.taskLeases, owned, now)
	entry.dropEndedAttempts()
	s.refreshShardLeases(entry.shard, now)
	job := entry.record.Job()
	for i := range job.Tasks {
		id := job.TaskID(i)
		if !job.Tasks[i].State.IsPlaceable() || job.Cancelling {
			s.dropProposal(id)
			delete(s.preemptions, id)
		}
		if !job.Tasks[i].State.IsActive() {
			delete(s.usage.throttled, medlarwheel.TaskAttempt{Task: id, Attempt: job.Tasks[i].Attempt - 1})
		}
	}
}

// dropEndedAttempts removes the times kept for attempts that have ended.
func (e *jobEntry) dropEndedAttempts() {
	maps.DeleteFunc(e.sentAt, func(a medlarwheel.TaskAttempt, _ time.Time) bool { return !e.isActive(a) })
	maps.DeleteFunc(e.evictionStarted, func(a medlarwheel.TaskAttempt, _ time.Time) bool { return !e.isActive(a) })
}

func (e *jobEntry) isActive(attempt medlarwheel.TaskAttempt) bool {
	_, index, ok := medlarwheel.ParseTaskID(attempt.Task)
	job := e.record.Job()
	return ok && index < len(job.Tasks) && job.Tasks[index].State.IsActive() && job.Tasks[index].Attempt == attempt.Attempt
}

func (s *state) removeJob(id medlarwheel.JobID) {
	entry := s.jobs[id]
	if entry == nil {
		return
	}
	delete(s.jobs, id)
	job, now := entry.record.Job(), s.scheduler.deps.Clock.Now()
	owned, isOwned := s.ownership.MayRenew(entry.shard, now)
	for i := range job.Tasks {
		if isOwned {
			s.taskLeases.RecordEnd(medlarwheel.TaskAttempt{Task: job.TaskID(i), Attempt: job.Tasks[i].Attempt}, owned, now)
		}
		s.dropProposal(job.TaskID(i))
		delete(s.preemptions, job.TaskID(i))
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
			entry.commands.close()
			delete(s.workers, id)
			s.index.Remove(id)
			s.usage.forget(id)
		}
		return nil
	}
	record, err := medlarworker.Decode(row, s.scheduler.config.Worker)
	if err != nil || record.Worker().DataCentre != s.scheduler.config.Instance.DataCentre {
		return err
	}
	if entry == nil {
		entry = &workerEntry{}
		s.workers[id] = entry
	}
	entry.record = record
	s.index.Upsert(s.workerState(record.Worker()))
	s.nextPlacement = s.scheduler.deps.Clock.Now()
	s.updateJobsOn(record)
	return nil
}

// updateJobsOn queues the eviction of this instance's tasks from a draining worker. For a worker on probation it queues that
// the failures there no longer count against the jobs concerned.
func (s *state) updateJobsOn(record *medlarworker.Record) {
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
			s.intents.add(clearFailuresIntent(job, worker.ID))
		}
	}
}

func (s *state) applyAnnouncement(row medlarwheel.Row) error {
	id := medlarwheel.WorkerID(strings.TrimPrefix(row.Key, medlaragentapi.AnnouncementPrefix))
	if row.Deleted {
		delete(s.announcements, id)
		return nil
	}
	announcement, err := medlarwheel.Decode[medlaragentapi.Announcement](row.Value)
	if err == nil && announcement.DataCentre == s.scheduler.config.Instance.DataCentre {
		s.announcements[id] = announcement
	}
	return err
}
