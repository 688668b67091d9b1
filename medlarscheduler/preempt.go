package medlarscheduler

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/medlarlease"
	"medlarwheel/medlarplacement"
)

// preemption reserves a worker for an urgent task for which other tasks are evicted from it. Less urgent tasks are not
// placed on the worker until the preemption expires.
type preemption struct {
	worker medlarwheel.WorkerID
	until  time.Time
}

// EvictionRequest is a request to the owner of a task's shard to evict the task, because only that owner may send commands
// about the task to its worker. It is the value of a row whose key has the prefix of the shard's job rows.
type EvictionRequest struct {
	Task        medlarwheel.TaskID     `json:"task"`
	Worker      medlarwheel.WorkerID   `json:"worker"`
	For         medlarwheel.TaskID     `json:"for"`
	RequestedBy medlarwheel.InstanceID `json:"asked-by"`
}

// Check returns all faults of e.
func (e *EvictionRequest) Check() medlarwheel.Faults {
	return append(medlarwheel.CheckName("task", string(e.Task)), medlarwheel.CheckName("worker", string(e.Worker))...)
}

// evictionPrefix starts the last part of the key of an eviction request. No job id begins with it.
const evictionPrefix = "evict."

// parseEvictionKey returns the task of the key of an eviction request. It reports false for the key of a job.
func parseEvictionKey(key string) (medlarwheel.TaskID, bool) {
	task, ok := strings.CutPrefix(key[strings.LastIndexByte(key, '/')+1:], evictionPrefix)
	return medlarwheel.TaskID(task), ok
}

// preempt evicts batch tasks to free capacity for an urgent task, unless that is in progress already.
func (s *state) preempt(job *medlarwheel.Job, index int, request *medlarplacement.Request, now time.Time) {
	id := job.TaskID(index)
	if p := s.preemptions[id]; p != nil && now.Before(p.until) {
		return
	}
	delete(s.preemptions, id)
	single := *request
	single.Gang = 0
	plan, ok := s.index.Preempt(now, &single)
	if !ok {
		return
	}
	s.preemptions[id] = &preemption{worker: plan.Worker, until: now.Add(s.scheduler.config.PreemptionTimeout)}
	s.scheduler.deps.Log.Info().Str("event", "preempt").Str("task", string(id)).Str("worker", string(plan.Worker)).
		Int("victims", len(plan.Evictions)).Send()
	for _, eviction := range plan.Evictions {
		s.evict(eviction.Task, plan.Worker, id)
	}
}

// evict has a task write a checkpoint and move off its worker. If another instance owns the task's shard, it writes an
// eviction request for that instance.
func (s *state) evict(task medlarwheel.TaskID, worker medlarwheel.WorkerID, forTask medlarwheel.TaskID) {
	id, index, ok := medlarwheel.ParseTaskID(task)
	if !ok {
		return
	}
	if s.jobs[id] != nil {
		s.intents.add(evictIntent(id, index))
		return
	}
	shard, err := medlarlease.ShardOfJob(s.scheduler.config.Instance.DataCentre, id)
	if err != nil {
		return
	}
	value, err := json.Marshal(&EvictionRequest{Task: task, Worker: worker, For: forTask, RequestedBy: s.scheduler.config.Instance.ID})
	if err != nil {
		return
	}
	write := medlarwheel.Write{Key: medlarlease.JobPrefix(shard) + evictionPrefix + string(task), Value: value}
	s.spawn(func(ctx context.Context) {
		_, err := s.scheduler.deps.Table.Transact(ctx, s.scheduler.deps.OperationIDs.Next(), []medlarwheel.Write{write})
		var conflict *medlarwheel.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			s.scheduler.deps.Log.Warn().Str("event", "ask-eviction").Str("task", string(task)).Str("worker", string(worker)).Err(err).
				Msg("eviction request failed or its result is unknown; it is not retried until the eviction is decided again")
		}
	})
}

// applyEviction handles an eviction request: it reserves the worker for the urgent task, and evicts the task if this
// instance holds its shard.
func (s *state) applyEviction(task medlarwheel.TaskID, row medlarwheel.Row) error {
	if row.Deleted || row.Version == 0 {
		return nil
	}
	e, err := medlarwheel.Decode[EvictionRequest](row.Value)
	if err != nil {
		return err
	}
	now := s.scheduler.deps.Clock.Now()
	if s.preemptions[e.For] == nil {
		s.preemptions[e.For] = &preemption{worker: e.Worker, until: now.Add(s.scheduler.config.PreemptionTimeout)}
	}
	id, index, ok := medlarwheel.ParseTaskID(task)
	entry := s.jobs[id]
	if !ok || entry == nil {
		return nil
	}
	if index < len(entry.record.Job().Tasks) {
		if run := entry.record.Job().Tasks[index].Run; run != nil && run.Worker == e.Worker {
			s.intents.add(evictIntent(id, index))
		}
	}
	s.deletions = append(s.deletions, medlarwheel.Write{Key: row.Key, ExpectedVersion: row.Version, Delete: true})
	return nil
}

// expirePreemptions ends the reservations whose urgent task was not placed in time.
func (s *state) expirePreemptions(now time.Time) {
	for id, p := range s.preemptions {
		if !now.Before(p.until) {
			delete(s.preemptions, id)
		}
	}
}
