package medlarscheduler

import (
	"context"
	"time"

	"medlarwheel"
	"medlarwheel/medlarlease"
)

// commandQueue sends commands to one worker, one call at a time. Each worker has a queue of its own, so that a worker that
// hangs does not delay the others.
type commandQueue struct {
	address string
	agent   Agent
	pending []command
	busy    bool
}

func (c *commandQueue) close() {
	if c.agent != nil {
		c.agent.Close()
		c.agent = nil
	}
}

// enqueueCommand queues a command for a worker and sends it unless a call to the worker is in progress.
func (s *state) enqueueCommand(id medlarwheel.WorkerID, c command) {
	entry := s.workers[id]
	if entry == nil {
		return
	}
	entry.commands.pending = append(entry.commands.pending, c)
	s.dispatch(id, entry)
}

// dispatch sends the queued commands to a worker unless a call to it is in progress.
func (s *state) dispatch(id medlarwheel.WorkerID, entry *workerEntry) {
	c := &entry.commands
	if c.busy || len(c.pending) == 0 {
		return
	}
	if address := s.addressOf(id, entry); c.agent == nil || c.address != address {
		c.close()
		c.address, c.agent = address, s.scheduler.deps.DialAgent(address)
	}
	commands := c.pending
	c.pending, c.busy = nil, true
	a := &agentAdapter{
		agent: c.agent, table: s.scheduler.deps.Table, clock: s.scheduler.deps.Clock, term: s.scheduler.config.Lease.TaskTerm, worker: id,
	}
	s.spawn(func(ctx context.Context) {
		var results []callResult
		for _, command := range commands {
			results = append(results, a.run(ctx, command)...)
			if isUnresponsive(results) {
				break
			}
		}
		s.scheduler.postToControl(ctx, func(s *state) { s.handleResults(id, results) })
	})
}

// addressOf returns the address of a worker's agent. The announcement takes precedence over the worker's row, because an
// agent that has moved updates its announcement first.
func (s *state) addressOf(id medlarwheel.WorkerID, entry *workerEntry) string {
	if announcement, ok := s.announcements[id]; ok {
		return announcement.Address
	}
	return entry.record.Worker().Address
}

// handleResults applies the results of the calls to a worker and sends the commands queued since.
func (s *state) handleResults(id medlarwheel.WorkerID, results []callResult) {
	now := s.scheduler.deps.Clock.Now()
	for i := range results {
		result := &results[i]
		if !result.reading.IsZero() {
			s.taskLeases.RecordReading(id, result.reading, result.receivedAt)
			s.avoidWorker(id, time.Time{})
		}
		if result.leaving {
			s.avoidWorker(id, now.Add(s.scheduler.config.AvoidDuration))
		}
		if result.err != nil {
			s.scheduler.deps.Log.Debug().Str("event", "agent").Str("worker", string(id)).Err(result.err).Send()
		}
		for j := range result.reports {
			s.handleReport(result.reports[j])
		}
		if result.usage != nil {
			s.handleUsageReport(id, result.usage, now)
		}
	}
	entry := s.workers[id]
	if entry == nil {
		return
	}
	entry.commands.busy = false
	if isUnresponsive(results) {
		// Each queued command would wait for the same time-out. The commands are derived again from the rows and the
		// leases.
		entry.commands.pending = nil
		s.avoidWorker(id, now.Add(s.scheduler.config.AvoidDuration))
		s.dropProposalsOnWorker(id)
	}
	s.dispatch(id, entry)
}

// isUnresponsive reports whether the worker did not respond to the last call.
func isUnresponsive(results []callResult) bool {
	return len(results) > 0 && results[len(results)-1].err != nil && results[len(results)-1].reading.IsZero()
}

// handleReport queues the state transition that follows from a worker's report about an attempt.
func (s *state) handleReport(report medlarwheel.TaskReport) {
	job, index, ok := medlarwheel.ParseTaskID(report.Task)
	entry := s.jobs[job]
	if !ok || entry == nil || index >= len(entry.record.Job().Tasks) {
		return
	}
	task := &entry.record.Job().Tasks[index]
	if report.Phase == medlarwheel.PhaseRunning && task.State != medlarwheel.JobPlacing {
		return
	}
	s.intents.add(reportIntent(job, report))
}

// requestClock reads a worker's clock, unless a call to the worker is in progress or queued: its response has the clock as
// well.
func (s *state) requestClock(id medlarwheel.WorkerID) {
	if entry := s.workers[id]; entry != nil && !entry.commands.busy && len(entry.commands.pending) == 0 {
		s.enqueueCommand(id, command{order: medlarlease.Renew{Worker: id}})
	}
}
