package medlarscheduler

import (
	"time"

	"medlarwheel"
	"medlarwheel/medlaragentapi"
	"medlarwheel/medlarlease"
	"medlarwheel/medlarplacement"
	"medlarwheel/medlarworker"
)

// usageState holds the state for handling usage reports.
type usageState struct {
	filter     *medlarworker.UsageFilter
	controller *medlarplacement.InterferenceController
	// nextReport holds the time at which a worker's report is read next.
	nextReport map[medlarwheel.WorkerID]time.Time
	// throttled holds the attempts that this instance has throttled.
	throttled map[medlarwheel.TaskAttempt]bool
}

func newUsageState(c *Config, estimator medlarplacement.Estimator) *usageState {
	return &usageState{
		filter:     medlarworker.NewUsageFilter(c.Worker),
		controller: medlarplacement.NewInterferenceController(c.InterferenceController, estimator),
		nextReport: make(map[medlarwheel.WorkerID]time.Time), throttled: make(map[medlarwheel.TaskAttempt]bool),
	}
}

func (u *usageState) forget(worker medlarwheel.WorkerID) {
	u.filter.Forget(worker)
	u.controller.Forget(worker)
	delete(u.nextReport, worker)
}

// pollUsage reads the usage reports of owned workers that are due. A worker without commitments has nothing to report.
func (s *state) pollUsage(now time.Time) {
	if s.scheduler.config.UsageInterval == 0 {
		return
	}
	for id, entry := range s.workers {
		worker := entry.record.Worker()
		if now.Before(s.usage.nextReport[id]) || len(worker.Commitments) == 0 {
			continue
		}
		if _, ok := s.mayAct(medlarlease.ShardOfWorker(worker.DataCentre, id), now); ok {
			s.usage.nextReport[id] = now.Add(s.scheduler.config.UsageInterval)
			s.enqueueCommand(id, command{})
		}
	}
}

// handleUsageReport applies a usage report unless it is late, out of order or implausible, and acts on interference between
// tasks.
func (s *state) handleUsageReport(id medlarwheel.WorkerID, raw *medlaragentapi.UsageReport, now time.Time) {
	entry := s.workers[id]
	if entry == nil || raw.Sequence == 0 {
		return
	}
	report, err := s.usage.filter.Accept(s.usageReport(id, raw), entry.record.Worker(), now)
	if err != nil {
		s.scheduler.deps.Log.Debug().Str("event", "usage").Str("worker", string(id)).Err(err).Send()
		return
	}
	at := now.Add(raw.MeasuredAt.Std() - raw.Clock.Uptime.Std())
	usage := medlarplacement.Usage{
		Worker: id, Incarnation: report.Incarnation, Sequence: report.Sequence, At: at, Used: report.Used,
	}
	accepted := make(map[medlarwheel.TaskAttempt]medlarwheel.Resources, len(report.Tasks))
	for i := range report.Tasks {
		t := &report.Tasks[i]
		accepted[medlarwheel.TaskAttempt{Task: t.Task, Attempt: t.Attempt}] = t.Used
	}
	var measured []medlaragentapi.TaskUsage
	for _, t := range raw.Tasks {
		attempt := attemptOf(t.Task)
		if used, ok := accepted[attempt]; ok {
			measured = append(measured, t)
			usage.Tasks = append(usage.Tasks, medlarplacement.TaskUsage{
				Task: attempt.Task, Used: used, Slowdown: s.slowdown(&t), Throttled: s.usage.throttled[attempt],
			})
		}
	}
	if s.index.Observe(usage) {
		s.updateInterferenceModel(&usage, measured, entry.record.Worker().Size, now)
		s.controlInterference(id, now)
	}
}

// usageReport converts an agent's report to the form that the filter accepts. The agent reports no run times.
func (s *state) usageReport(id medlarwheel.WorkerID, raw *medlaragentapi.UsageReport) medlarwheel.UsageReport {
	report := medlarwheel.UsageReport{
		Worker: id, Incarnation: raw.Clock.Incarnation, Sequence: raw.Sequence, Uptime: raw.MeasuredAt,
	}
	for _, t := range raw.Tasks {
		report.Used = report.Used.Plus(t.Used)
		report.Tasks = append(report.Tasks, medlarwheel.TaskUsage{
			Task: t.Task.ID, Attempt: medlarwheel.AttemptNumber(t.Task.Attempt), Used: t.Used,
		})
	}
	return report
}

// slowdown returns the factor by which other tasks slow a task down. It returns zero if the factor is unknown, as for a
// throttled task.
func (s *state) slowdown(t *medlaragentapi.TaskUsage) float64 {
	if t.Speed <= 0 || s.usage.throttled[attemptOf(t.Task)] {
		return 0
	}
	return float64(medlaragentapi.FullSpeed) / float64(t.Speed)
}

// maxObservations is the maximum number of observations from one report. The sequence numbers of observations are built with
// it, so that each is unique.
const maxObservations = 256

// updateInterferenceModel adds an observation to the interference model for every task that shared the worker with others.
func (s *state) updateInterferenceModel(u *medlarplacement.Usage, tasks []medlaragentapi.TaskUsage, size medlarwheel.Resources, now time.Time) {
	load := float64(u.Used.CPU) / float64(max(1, size.CPU))
	for i := range tasks[:min(len(tasks), maxObservations)] {
		slowdown := s.slowdown(&tasks[i])
		if slowdown == 0 || len(tasks) < 2 {
			continue
		}
		s.interference.Learn(now, medlarplacement.Observation{
			Worker: u.Worker, Incarnation: u.Incarnation, Sequence: u.Sequence*maxObservations + uint64(i), At: u.At,
			Victim: tasks[i].Template, Aggressors: countOtherTemplates(tasks, i), Load: load, Slowdown: slowdown,
		})
	}
}

// countOtherTemplates counts the tasks other than the given one by template.
func countOtherTemplates(tasks []medlaragentapi.TaskUsage, except int) []medlarplacement.TemplateCount {
	var list []medlarplacement.TemplateCount
	at := make(map[medlarwheel.TemplateName]int)
	for i := range tasks {
		if i == except {
			continue
		}
		index, known := at[tasks[i].Template]
		if !known {
			index = len(list)
			at[tasks[i].Template] = index
			list = append(list, medlarplacement.TemplateCount{Template: tasks[i].Template})
		}
		list[index].Count++
	}
	return list
}

// controlInterference executes the action that the interference controller decides on for a worker.
func (s *state) controlInterference(id medlarwheel.WorkerID, now time.Time) {
	report, ok := s.index.InterferenceReport(now, id)
	if !ok {
		return
	}
	action, ok := s.usage.controller.HandleReport(now, report)
	if !ok {
		return
	}
	s.scheduler.deps.Log.Info().Str("event", "govern").Str("step", string(action.Kind)).Str("task", string(action.Task)).
		Str("worker", string(id)).Send()
	switch action.Kind {
	case medlarplacement.ActionThrottle:
		s.setSpeed(action.Task, s.scheduler.config.ThrottleShare, now)
	case medlarplacement.ActionRelease:
		s.setSpeed(action.Task, medlaragentapi.FullSpeed, now)
	case medlarplacement.ActionEvict:
		s.evict(action.Task, id, "")
	case medlarplacement.ActionStop:
		s.endCheckpointGrace(action.Task, now)
	}
}

// setSpeed limits the speed of a task of a shard on which the instance may act. Only the owner of the task's shard may send
// commands about the task, and another owner only accepts a request to evict it, so a task of another owner is not
// throttled. It is evicted if it continues to cause interference.
func (s *state) setSpeed(task medlarwheel.TaskID, share int, now time.Time) {
	entry, attempt, worker := s.currentRun(task)
	if entry == nil {
		return
	}
	owned, ok := s.mayAct(entry.shard, now)
	if !ok {
		return
	}
	if share == medlaragentapi.FullSpeed {
		delete(s.usage.throttled, attempt)
	} else {
		s.usage.throttled[attempt] = true
	}
	s.enqueueCommand(worker, command{
		order: medlarlease.Stop{Worker: worker, Attempt: attempt, Token: owned.Token}, shard: shardName(task), speedShare: share,
	})
}

// endCheckpointGrace ends the grace period in which an evicted task may write its checkpoint.
func (s *state) endCheckpointGrace(task medlarwheel.TaskID, now time.Time) {
	if entry, attempt, _ := s.currentRun(task); entry != nil && entry.evictionStarted != nil {
		entry.evictionStarted[attempt] = now.Add(-s.scheduler.config.Job.CheckpointGrace)
	}
}

// currentRun returns the job entry, the current attempt and the worker of a task. The entry is nil if the task's shard is
// not held or the task is on no worker.
func (s *state) currentRun(task medlarwheel.TaskID) (*jobEntry, medlarwheel.TaskAttempt, medlarwheel.WorkerID) {
	job, index, ok := medlarwheel.ParseTaskID(task)
	entry := s.jobs[job]
	if !ok || entry == nil || index >= len(entry.record.Job().Tasks) || entry.record.Job().Tasks[index].Run == nil {
		return nil, medlarwheel.TaskAttempt{}, ""
	}
	run := entry.record.Job().Tasks[index].Run
	return entry, medlarwheel.TaskAttempt{Task: task, Attempt: run.Number}, run.Worker
}

func attemptOf(t medlaragentapi.TaskRef) medlarwheel.TaskAttempt {
	return medlarwheel.TaskAttempt{Task: t.ID, Attempt: medlarwheel.AttemptNumber(t.Attempt)}
}
