package medlarowner

import (
	"context"
	"time"

	"medlarwheel"
	"medlarwheel/internal/operation/medlarclock"
	"medlarwheel/internal/scheduling/medlarcell"
)

// carryOut carries out the scheduler's commands, each on a goroutine of its own.
func (o *Owner) carryOut(ctx context.Context) {
	o.boundConnections()
	for _, command := range o.cell.TakeCommands() {
		if command.Kind == medlarcell.CommandErase {
			o.eraser.forget(o.config.Part, command.Submission)
			continue
		}
		if command.Kind == medlarcell.CommandForget {
			o.disconnect(command.Worker)
			continue
		}
		agent, now := o.agentOf(command.Worker, command.Address), o.Clock.Now()
		switch command.Kind {
		case medlarcell.CommandStart:
			o.background("order-start", func() { o.start(agent, command, now) })
		case medlarcell.CommandStop:
			o.background("order-stop", func() { o.stop(agent, command) })
		case medlarcell.CommandPace:
			o.background("order-pace", func() { o.pace(agent, command) })
		case medlarcell.CommandHold:
			o.background("order-hold", func() { o.poll(ctx, agent, command) })
		}
	}
}

// boundConnections shares the descriptors of the instance among the workers that there are now. Workers join one after another:
// with the bound of their first order, the first ones would keep the share that was right for a small fleet.
func (o *Owner) boundConnections() {
	n := o.Connections(o.cell.WorkerCount())
	if n == o.connections {
		return
	}
	o.connections = n
	for _, entry := range o.agents {
		entry.agent.SetConnections(n)
	}
}

func (o *Owner) agentOf(id medlarwheel.WorkerID, address string) Agent {
	entry := o.agents[id]
	if entry != nil && entry.address == address {
		return entry.agent
	}
	if entry != nil {
		entry.agent.Close()
	}
	entry = &agentEntry{agent: o.Connect(id, address, o.connections), address: address}
	o.agents[id] = entry
	return entry.agent
}

func (o *Owner) disconnect(id medlarwheel.WorkerID) {
	if entry := o.agents[id]; entry != nil {
		entry.agent.Close()
		delete(o.agents, id)
	}
}

func (o *Owner) start(agent Agent, c medlarcell.Command, decidedAt time.Time) {
	began := time.Now()
	answer, err := agent.Start(c.Start)
	o.Meter.Time("worker.start", time.Since(began))
	o.post(func(now time.Time) {
		if err == nil {
			o.turnaround.observe(now.Sub(decidedAt))
		}
		o.cell.Started(now, c.Worker, c.Start, answer, err)
	})
}

func (o *Owner) stop(agent Agent, c medlarcell.Command) {
	answer, err := agent.Stop(c.Stop)
	o.post(func(now time.Time) { o.cell.Stopped(now, c.Worker, c.Stop, answer, err) })
}

func (o *Owner) pace(agent Agent, c medlarcell.Command) {
	if _, err := agent.Pace(c.Pace); err != nil {
		// The scheduler sets the pace again when the worker's figures don't follow it.
		o.Log.Warn().Str("event", "pace-failed").Str("worker", string(c.Worker)).Stringer("task", c.Pace.Task).Err(err).Msg("")
	}
}

func (o *Owner) poll(ctx context.Context, agent Agent, c medlarcell.Command) {
	if c.Delay > 0 && !medlarclock.Sleep(ctx, c.Delay) {
		return
	}
	sentAt := o.Clock.Now()
	report, err := agent.Poll(c.Hold)
	o.post(func(now time.Time) { o.cell.Reported(now, c.Worker, c.Extra, sentAt, c.Hold, report, err) })
}

// logNotes logs the scheduler's decisions.
func (o *Owner) logNotes() {
	for _, n := range o.cell.TakeNotes() {
		o.Meter.Count("cell." + string(n.Kind))
		ok, left := o.notes.admits(o.Clock.Now(), n.Kind)
		for kind, count := range left {
			o.Log.Warn().Str("event", "notes-left-out").Str("kind", string(kind)).Int("count", count).Msg("")
		}
		if !ok {
			continue
		}
		line := o.Log.Info().Str("event", string(n.Kind))
		if n.Submission != "" {
			line = line.Str("id", string(n.Submission)).Str("route", n.Route)
		}
		if n.Task.Submission != "" {
			line = line.Str("id", string(n.Task.Submission)).Stringer("task", n.Task).Uint64("run", uint64(n.Run))
		}
		if n.Worker != "" {
			line = line.Str("worker", string(n.Worker))
		}
		if n.Reason != "" {
			line = line.Str("reason", n.Reason)
		}
		if n.Count != 0 {
			line = line.Int("count", n.Count)
		}
		line.Int64("age-ms", n.Age.Milliseconds()).Msg("")
	}
}
