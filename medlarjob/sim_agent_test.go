package medlarjob_test

import (
	"encoding/json"
	"time"

	"medlarwheel"
	"medlarwheel/medlarlease"
)

// agent is a fake worker agent. It obeys tokens and leases by its own clock, which runs at a different rate.
type agent struct {
	sim         *sim
	id          medlarwheel.WorkerID
	rate        float64
	incarnation medlarwheel.Incarnation
	bootedAt    time.Time
	runs        map[medlarwheel.TaskID]*agentRun
	fences      map[medlarwheel.TaskID]*medlarlease.Fence
	// lastReports holds the report on the last ended attempt of each task, to be repeated on request.
	lastReports map[medlarwheel.TaskID]medlarwheel.TaskReport
}

type agentRun struct {
	order    medlarlease.StartOrder
	leaseEnd medlarlease.ClockReading
	endAt    time.Time
	phase    medlarwheel.TaskPhase
	log      *runLog
}

func (a *agent) boot() {
	a.incarnation++
	a.bootedAt = a.sim.now
	for _, run := range a.runs {
		run.log.ended = a.sim.nextEvent()
	}
	a.runs = make(map[medlarwheel.TaskID]*agentRun)
	a.fences = make(map[medlarwheel.TaskID]*medlarlease.Fence)
	a.lastReports = make(map[medlarwheel.TaskID]medlarwheel.TaskReport)
}

func (a *agent) reading() medlarlease.ClockReading {
	uptime := time.Duration(float64(a.sim.now.Sub(a.bootedAt)) * a.rate)
	return medlarlease.ClockReading{Incarnation: a.incarnation, Uptime: medlarwheel.Duration(uptime)}
}

func (a *agent) report(attempt medlarwheel.TaskAttempt, phase medlarwheel.TaskPhase) medlarwheel.TaskReport {
	r := medlarwheel.TaskReport{
		Worker: a.id, Incarnation: a.incarnation, Uptime: a.reading().Uptime, Task: attempt.Task, Attempt: attempt.Attempt,
		Phase: phase, CheckpointWritten: phase == medlarwheel.PhaseCheckpointed,
	}
	if attempt.Task != "" {
		r.Token = a.fence(attempt.Task).Token()
	}
	return r
}

func (a *agent) fence(task medlarwheel.TaskID) *medlarlease.Fence {
	if a.fences[task] == nil {
		a.fences[task] = &medlarlease.Fence{}
	}
	return a.fences[task]
}

// endDueRuns ends runs that are done or whose lease has expired.
func (a *agent) endDueRuns() {
	for _, task := range sortedKeys(a.runs) {
		run := a.runs[task]
		switch {
		case a.sim.injected != faultRunPastLease && !a.reading().Before(run.leaseEnd):
			a.end(run, medlarwheel.PhaseStopped)
		case !a.sim.now.Before(run.endAt):
			a.end(run, run.phase)
		default:
			continue
		}
		a.sim.sendReport(a.sim.instances[a.sim.pick(len(a.sim.instances))], a.lastReports[task])
	}
}

func (a *agent) end(run *agentRun, phase medlarwheel.TaskPhase) medlarwheel.TaskReport {
	attempt := run.order.Attempt
	if phase == medlarwheel.PhaseCheckpointed {
		a.sim.objects[medlarlease.CheckpointObjectName(attempt)] = true
	}
	run.log.ended = a.sim.nextEvent()
	delete(a.runs, attempt.Task)
	a.fence(attempt.Task).RecordEnd(attempt.Attempt)
	a.lastReports[attempt.Task] = a.report(attempt, phase)
	return a.lastReports[attempt.Task]
}

// handle executes an order and returns the reports on it. Starts are encoded to their wire form and decoded again.
func (a *agent) handle(order medlarlease.Order) []medlarwheel.TaskReport {
	switch o := order.(type) {
	case medlarlease.Renew:
		reports := []medlarwheel.TaskReport{a.report(medlarwheel.TaskAttempt{}, "")}
		for _, t := range o.Tasks {
			reports = append(reports, a.reportOn(t.Attempt, t.Token, o.LeaseEnd, ""))
		}
		return reports
	case medlarlease.Checkpoint:
		return []medlarwheel.TaskReport{a.reportOn(o.Attempt, o.Token, medlarlease.ClockReading{}, medlarwheel.PhaseCheckpointed)}
	case medlarlease.Stop:
		return []medlarwheel.TaskReport{a.reportOn(o.Attempt, o.Token, medlarlease.ClockReading{}, medlarwheel.PhaseStopped)}
	default:
		var content medlarlease.StartOrder
		data, err := json.Marshal(o)
		if err != nil || json.Unmarshal(data, &content) != nil {
			panic(err)
		}
		return []medlarwheel.TaskReport{a.start(content)}
	}
}

// reportOn extends the lease of an attempt or ends the attempt, and returns the report on it. An attempt that is not known
// is refused from then on.
func (a *agent) reportOn(
	attempt medlarwheel.TaskAttempt, token medlarwheel.FencingToken, leaseEnd medlarlease.ClockReading, end medlarwheel.TaskPhase,
) medlarwheel.TaskReport {
	fence := a.fence(attempt.Task)
	if token < fence.Token() {
		return a.report(medlarwheel.TaskAttempt{}, "")
	}
	_ = fence.Admit(attempt.Attempt, token)
	if run := a.runs[attempt.Task]; run != nil && run.order.Attempt == attempt {
		if end != "" {
			return a.end(run, end)
		}
		if run.leaseEnd.Before(leaseEnd) {
			run.leaseEnd = leaseEnd
		}
		return a.report(attempt, medlarwheel.PhaseRunning)
	}
	if last := a.lastReports[attempt.Task]; last.Attempt == attempt.Attempt {
		last.Token, last.Uptime = fence.Token(), a.reading().Uptime
		return last
	}
	fence.RecordEnd(attempt.Attempt)
	return a.report(attempt, medlarwheel.PhaseAbsent)
}

func (a *agent) start(o medlarlease.StartOrder) medlarwheel.TaskReport {
	if a.runs[o.Attempt.Task] != nil || !a.reading().Before(o.LeaseEnd) || o.LeaseEnd.Incarnation != a.incarnation ||
		a.fence(o.Attempt.Task).Admit(o.Attempt.Attempt, o.Token) != nil {
		return a.reportOn(o.Attempt, o.Token, o.LeaseEnd, "")
	}
	run := &agentRun{
		order: o, leaseEnd: o.LeaseEnd, phase: medlarwheel.PhaseDone, log: a.sim.recordStart(a, o),
		endAt: a.sim.now.Add(time.Duration(5+a.sim.pick(90)) * time.Second),
	}
	if job, _, _ := medlarwheel.ParseTaskID(o.Attempt.Task); job == a.sim.failingJob || a.sim.faultsEnabled && a.sim.pick(12) == 0 {
		run.phase = medlarwheel.PhaseFailed
	}
	a.runs[o.Attempt.Task] = run
	return a.report(o.Attempt, medlarwheel.PhaseRunning)
}
