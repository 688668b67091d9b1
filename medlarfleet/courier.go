package medlarfleet

import (
	"context"
	"time"

	"medlarwheel"
	"medlarwheel/medlarlease"
)

// courier carries commands to one worker, one call at a time, so that a worker that hangs holds up no other.
type courier struct {
	address string
	agent   Agent
	queue   []command
	busy    bool
}

func (c *courier) close() {
	if c.agent != nil {
		c.agent.Close()
		c.agent = nil
	}
}

// command queues a command for a worker and sends it unless a call to the worker is under way.
func (s *state) command(id medlarwheel.WorkerID, c command) {
	entry := s.workers[id]
	if entry == nil {
		return
	}
	entry.courier.queue = append(entry.courier.queue, c)
	s.dispatch(id, entry)
}

// dispatch carries the queued commands to a worker.
func (s *state) dispatch(id medlarwheel.WorkerID, entry *workerEntry) {
	c := &entry.courier
	if c.busy || len(c.queue) == 0 {
		return
	}
	if address := s.addressOf(id, entry); c.agent == nil || c.address != address {
		c.close()
		c.address, c.agent = address, s.f.ports.Agents(address)
	}
	commands := c.queue
	c.queue, c.busy = nil, true
	a := &adapter{
		agent: c.agent, table: s.f.ports.Table, clock: s.f.ports.Clock, term: s.f.config.Lease.TaskTerm, worker: id,
	}
	s.spawn(func(ctx context.Context) {
		var words []word
		for _, command := range commands {
			words = append(words, a.run(ctx, command)...)
			if isSilent(words) {
				break
			}
		}
		s.f.post(ctx, func(s *state) { s.answered(id, words) })
	})
}

// addressOf prefers the announcement, because an agent that has moved announces itself before its row is changed.
func (s *state) addressOf(id medlarwheel.WorkerID, entry *workerEntry) string {
	if announcement, ok := s.agents[id]; ok {
		return announcement.Address
	}
	return entry.record.Worker().Address
}

// answered takes over what a worker said.
func (s *state) answered(id medlarwheel.WorkerID, words []word) {
	now := s.f.ports.Clock.Now()
	for i := range words {
		w := &words[i]
		if !w.reading.IsZero() {
			s.leases.RecordReading(id, w.reading, w.heardAt)
			s.avoid(id, time.Time{})
		}
		if w.leaving {
			s.avoid(id, now.Add(s.f.config.AvoidFor))
		}
		if w.err != nil {
			s.f.ports.Log.Debug().Str("event", "agent").Str("worker", string(id)).Err(w.err).Send()
		}
		for j := range w.reports {
			s.reported(w.reports[j])
		}
		if w.usage != nil {
			s.observeUsage(id, w.usage, now)
		}
	}
	entry := s.workers[id]
	if entry == nil {
		return
	}
	entry.courier.busy = false
	if isSilent(words) {
		// The commands are derived again from the rows and the leases. Each would wait for the same time-out.
		entry.courier.queue = nil
		s.avoid(id, now.Add(s.f.config.AvoidFor))
		s.dropProposalsOn(id)
	}
	s.dispatch(id, entry)
}

// isSilent reports whether the worker did not answer the last call.
func isSilent(words []word) bool {
	return len(words) > 0 && words[len(words)-1].err != nil && words[len(words)-1].reading.IsZero()
}

// reported queues the transition that a report calls for.
func (s *state) reported(report medlarwheel.TaskReport) {
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

// askClock asks for a worker's clock unless a call to the worker is under way, whose answer tells it as well.
func (s *state) askClock(id medlarwheel.WorkerID) {
	if entry := s.workers[id]; entry != nil && !entry.courier.busy && len(entry.courier.queue) == 0 {
		s.command(id, command{order: medlarlease.Renew{Worker: id}})
	}
}
