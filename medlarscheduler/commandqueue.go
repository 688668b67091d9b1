package medlarscheduler

import (
	"context"
	"time"

	"medlarwheel"
	"medlarwheel/medlarlease"
)

// commandQueue carries commands to one worker, one call at a time, so that a worker that hangs holds up no other.
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

// enqueueCommand queues a command for a worker and sends it unless a call to the worker is under way.
func (s *state) enqueueCommand(id medlarwheel.WorkerID, c command) {
	entry := s.workers[id]
	if entry == nil {
		return
	}
	entry.commands.pending = append(entry.commands.pending, c)
	s.dispatch(id, entry)
}

// dispatch carries the queued commands to a worker.
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
		var words []callResult
		for _, command := range commands {
			words = append(words, a.run(ctx, command)...)
			if isUnresponsive(words) {
				break
			}
		}
		s.scheduler.post(ctx, func(s *state) { s.handleResults(id, words) })
	})
}

// addressOf prefers the announcement, because an agent that has moved announces itself before its row is changed.
func (s *state) addressOf(id medlarwheel.WorkerID, entry *workerEntry) string {
	if announcement, ok := s.announcements[id]; ok {
		return announcement.Address
	}
	return entry.record.Worker().Address
}

// handleResults takes over what a worker said.
func (s *state) handleResults(id medlarwheel.WorkerID, words []callResult) {
	now := s.scheduler.deps.Clock.Now()
	for i := range words {
		w := &words[i]
		if !w.reading.IsZero() {
			s.taskLeases.RecordReading(id, w.reading, w.receivedAt)
			s.avoidWorker(id, time.Time{})
		}
		if w.leaving {
			s.avoidWorker(id, now.Add(s.scheduler.config.AvoidDuration))
		}
		if w.err != nil {
			s.scheduler.deps.Log.Debug().Str("event", "agent").Str("worker", string(id)).Err(w.err).Send()
		}
		for j := range w.reports {
			s.handleReport(w.reports[j])
		}
		if w.usage != nil {
			s.handleUsageReport(id, w.usage, now)
		}
	}
	entry := s.workers[id]
	if entry == nil {
		return
	}
	entry.commands.busy = false
	if isUnresponsive(words) {
		// The commands are derived again from the rows and the leases. Each would wait for the same time-out.
		entry.commands.pending = nil
		s.avoidWorker(id, now.Add(s.scheduler.config.AvoidDuration))
		s.dropProposalsOnWorker(id)
	}
	s.dispatch(id, entry)
}

// isUnresponsive reports whether the worker did not answer the last call.
func isUnresponsive(words []callResult) bool {
	return len(words) > 0 && words[len(words)-1].err != nil && words[len(words)-1].reading.IsZero()
}

// handleReport queues the transition that a report calls for.
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

// requestClock asks for a worker's clock unless a call to the worker is under way, whose answer tells it as well.
func (s *state) requestClock(id medlarwheel.WorkerID) {
	if entry := s.workers[id]; entry != nil && !entry.commands.busy && len(entry.commands.pending) == 0 {
		s.enqueueCommand(id, command{order: medlarlease.Renew{Worker: id}})
	}
}
