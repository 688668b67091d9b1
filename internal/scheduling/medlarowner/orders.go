package medlarowner

import (
	"context"
	"time"

	"medlarwheel"
	"medlarwheel/internal/operation/medlarclock"
	"medlarwheel/internal/scheduling/medlarcell"
)

// executeCommands executes the commands of the scheduler. Orders to workers run on a goroutine each.
func (o *Owner) executeCommands(ctx context.Context) {
	o.updateConnectionLimit()
	for _, command := range o.cell.TakeCommands() {
		if command.Kind == medlarcell.CommandDeleteSubmission {
			o.eraser.enqueue(o.config.Part, command.Submission, command.Segments)
			continue
		}
		if command.Kind == medlarcell.CommandDisconnect {
			o.disconnect(command.Worker)
			continue
		}
		agent, now := o.agentFor(command.Worker, command.Address), o.Clock.Now()
		switch command.Kind {
		case medlarcell.CommandStart:
			o.goWithOrder("order-start", func() { o.start(agent, command, now) })
		case medlarcell.CommandStop:
			o.goWithOrder("order-stop", func() { o.stop(agent, command) })
		case medlarcell.CommandPace:
			o.goWithOrder("order-pace", func() { o.pace(agent, command) })
		case medlarcell.CommandRenew:
			o.goInBackground("order-hold", func() { o.renewLease(ctx, agent, command) })
		}
	}
}

// goWithOrder sends an order in the background and counts it until its response is queued for the control goroutine.
func (o *Owner) goWithOrder(part string, send func()) {
	o.ordersInFlight.Add(1)
	o.goInBackground(part, func() {
		defer o.ordersInFlight.Add(-1)
		send()
	})
}

// updateConnectionLimit divides the file descriptors of the instance among the current workers. Workers join one after
// another, so the limit is updated for all of them: otherwise the first ones would keep the share that suits a few
// workers.
func (o *Owner) updateConnectionLimit() {
	n := o.Connections(o.cell.WorkerCount())
	if n == o.connectionLimit {
		return
	}
	o.connectionLimit = n
	o.cell.SetOrdersPerWorker(n)
	for _, entry := range o.agents {
		entry.agent.SetConnections(n)
	}
}

// agentFor returns the agent of a worker. It reconnects after a change of the worker's address.
func (o *Owner) agentFor(id medlarwheel.WorkerID, address string) Agent {
	entry := o.agents[id]
	if entry != nil && entry.address == address {
		return entry.agent
	}
	if entry != nil {
		entry.agent.Close()
	}
	entry = &agentEntry{agent: o.Connect(id, address, o.connectionLimit), address: address}
	o.agents[id] = entry
	return entry.agent
}

// disconnect closes the connections to a worker.
func (o *Owner) disconnect(id medlarwheel.WorkerID) {
	if entry := o.agents[id]; entry != nil {
		entry.agent.Close()
		delete(o.agents, id)
	}
}

// start sends a start order and passes the response to the scheduler.
func (o *Owner) start(agent Agent, c medlarcell.Command, decidedAt time.Time) {
	began := time.Now()
	response, err := agent.Start(c.Start)
	o.Meter.Time("worker.start", time.Since(began))
	o.postToControl(func(now time.Time) {
		if err == nil {
			o.turnaround.observe(now.Sub(decidedAt))
		}
		o.cell.HandleStartResponse(now, c.Worker, c.Start, response, err)
	})
}

func (o *Owner) stop(agent Agent, c medlarcell.Command) {
	response, err := agent.Stop(c.Stop)
	o.postToControl(func(now time.Time) { o.cell.HandleStopResponse(now, c.Worker, c.Stop, response, err) })
}

// pace sends a pace order and passes the response to the scheduler, which repeats it if it was lost.
func (o *Owner) pace(agent Agent, c medlarcell.Command) {
	response, err := agent.Pace(c.Pace)
	if err != nil {
		o.Log.Warn().Str("event", "pace-failed").Str("worker", string(c.Worker)).Stringer("task", c.Pace.Task).Int("percent", c.Pace.Percent).Err(err).
			Msg("pace order not confirmed by the worker; the run may keep its previous pace until the order is repeated")
	}
	o.postToControl(func(now time.Time) { o.cell.HandlePaceResponse(now, c.Worker, c.Pace, response, err) })
}

// renewLease sends a lease renewal after the delay of the command and passes the report to the scheduler.
func (o *Owner) renewLease(ctx context.Context, agent Agent, c medlarcell.Command) {
	if c.Delay > 0 && !medlarclock.Sleep(ctx, c.Delay) {
		return
	}
	sentAt := o.Clock.Now()
	report, err := agent.Renew(c.Renew)
	isPosted := o.postToControl(func(now time.Time) {
		defer report.Done()
		o.cell.HandleRenewResponse(now, c.Worker, c.OutOfBand, sentAt, c.Renew, report, err)
	})
	if !isPosted {
		report.Done()
	}
}

// countPlaces counts the starts of tasks that take longer away from their rack by place.
func (o *Owner) countPlaces() {
	counts := o.cell.TakePlaceCounts()
	if counts.Near+counts.Away == 0 {
		return
	}
	o.Meter.Add("place.near", counts.Near)
	o.Meter.Add("place.waited-ms", counts.Waited.Milliseconds())
	o.Meter.Add("place.away", counts.Away)
	o.Meter.Add("place.away-after-wait", counts.AwayAfterWait)
}

// logSchedulerEvents logs and counts the scheduler's events.
func (o *Owner) logSchedulerEvents() {
	o.countPlaces()
	for _, event := range o.cell.TakeEvents() {
		o.Meter.Count("cell." + string(event.Kind))
		switch event.Kind {
		case medlarcell.EventFirstStart:
			if event.Predicted > 0 {
				o.Meter.Time("owner.best-effort-start", event.Age)
				o.Meter.Time("owner.best-effort-predicted-start", event.Predicted)
			}
		case medlarcell.EventTaskRestarted:
			o.Meter.Time("owner.lost-task-restart", event.Age)
		case medlarcell.EventTakeoverReconciled:
			o.Meter.Time("owner.takeover", event.Age)
		}
		ok, suppressed := o.eventLogLimit.admits(o.Clock.Now(), event.Kind)
		for kind, count := range suppressed {
			o.Log.Warn().Str("event", "notes-left-out").Str("kind", string(kind)).Int("count", count).
				Msg("log lines of this kind above the limit per second were suppressed")
		}
		if !ok {
			continue
		}
		line := o.Log.Info().Str("event", string(event.Kind))
		if event.Submission != "" {
			line = line.Str("id", string(event.Submission)).Str("route", event.Route)
		}
		if event.Task.Submission != "" {
			line = line.Str("id", string(event.Task.Submission)).Stringer("task", event.Task).Uint64("run", uint64(event.Run))
		}
		if event.Worker != "" {
			line = line.Str("worker", string(event.Worker))
		}
		if event.Reason != "" {
			line = line.Str("reason", event.Reason)
		}
		if event.Count != 0 {
			line = line.Int("count", event.Count)
		}
		line.Int64("age-ms", event.Age.Milliseconds()).Msg("")
	}
}
