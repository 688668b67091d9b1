package medlarjob_test

import (
	"encoding/json"
	"time"

	"medlarwheel"
	"medlarwheel/medlarlease"
)

// agent is a fake worker agent. It follows tokens and leases by its own clock, which runs at another rate.
type agent struct {
	sim         *sim
	id          medlarwheel.WorkerID
	rate        float64
	incarnation medlarwheel.Incarnation
	bootAt      time.Time
	runs        map[medlarwheel.TaskID]*agentRun
	fences      map[medlarwheel.TaskID]*medlarlease.Fence
	// last is the word about the last ended attempt of a task, to be repeated when asked.
	last map[medlarwheel.TaskID]medlarwheel.TaskReport
}

type agentRun struct {
	order medlarlease.StartOrder
	until medlarlease.Reading
	endAt time.Time
	phase medlarwheel.TaskPhase
	log   *runLog
}

func (a *agent) boot() {
	a.incarnation++
	a.bootAt = a.sim.now
	for _, run := range a.runs {
		run.log.ended = a.sim.tick()
	}
	a.runs = make(map[medlarwheel.TaskID]*agentRun)
	a.fences = make(map[medlarwheel.TaskID]*medlarlease.Fence)
	a.last = make(map[medlarwheel.TaskID]medlarwheel.TaskReport)
}

func (a *agent) reading() medlarlease.Reading {
	uptime := time.Duration(float64(a.sim.now.Sub(a.bootAt)) * a.rate)
	return medlarlease.Reading{Incarnation: a.incarnation, Uptime: medlarwheel.Duration(uptime)}
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

// work ends runs that are done or whose lease has run out.
func (a *agent) work() {
	for _, task := range sortedKeys(a.runs) {
		run := a.runs[task]
		switch {
		case a.sim.planted != plantOverrun && !a.reading().Before(run.until):
			a.end(run, medlarwheel.PhaseStopped)
		case !a.sim.now.Before(run.endAt):
			a.end(run, run.phase)
		default:
			continue
		}
		a.sim.tell(a.sim.instances[a.sim.pick(len(a.sim.instances))], a.last[task])
	}
}

func (a *agent) end(run *agentRun, phase medlarwheel.TaskPhase) medlarwheel.TaskReport {
	attempt := run.order.Attempt
	if phase == medlarwheel.PhaseCheckpointed {
		a.sim.objects[medlarlease.CheckpointObject(attempt)] = true
	}
	run.log.ended = a.sim.tick()
	delete(a.runs, attempt.Task)
	a.fence(attempt.Task).End(attempt.Attempt)
	a.last[attempt.Task] = a.report(attempt, phase)
	return a.last[attempt.Task]
}

// handle obeys an order and returns the answers. Starts go through their wire form.
func (a *agent) handle(order medlarlease.Order) []medlarwheel.TaskReport {
	switch o := order.(type) {
	case medlarlease.Renew:
		reports := []medlarwheel.TaskReport{a.report(medlarwheel.TaskAttempt{}, "")}
		for _, t := range o.Tasks {
			reports = append(reports, a.ask(t.Attempt, t.Token, o.Until, ""))
		}
		return reports
	case medlarlease.Checkpoint:
		return []medlarwheel.TaskReport{a.ask(o.Attempt, o.Token, medlarlease.Reading{}, medlarwheel.PhaseCheckpointed)}
	case medlarlease.Stop:
		return []medlarwheel.TaskReport{a.ask(o.Attempt, o.Token, medlarlease.Reading{}, medlarwheel.PhaseStopped)}
	default:
		var content medlarlease.StartOrder
		data, err := json.Marshal(o)
		if err != nil || json.Unmarshal(data, &content) != nil {
			panic(err)
		}
		return []medlarwheel.TaskReport{a.start(content)}
	}
}

// ask extends or ends an attempt and returns the word about it. What is not known is refused from then on.
func (a *agent) ask(
	attempt medlarwheel.TaskAttempt, token medlarwheel.FencingToken, until medlarlease.Reading, end medlarwheel.TaskPhase,
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
		if run.until.Before(until) {
			run.until = until
		}
		return a.report(attempt, medlarwheel.PhaseRunning)
	}
	if last := a.last[attempt.Task]; last.Attempt == attempt.Attempt {
		last.Token, last.Uptime = fence.Token(), a.reading().Uptime
		return last
	}
	fence.End(attempt.Attempt)
	return a.report(attempt, medlarwheel.PhaseAbsent)
}

func (a *agent) start(o medlarlease.StartOrder) medlarwheel.TaskReport {
	if a.runs[o.Attempt.Task] != nil || !a.reading().Before(o.Until) || o.Until.Incarnation != a.incarnation ||
		a.fence(o.Attempt.Task).Admit(o.Attempt.Attempt, o.Token) != nil {
		return a.ask(o.Attempt, o.Token, o.Until, "")
	}
	run := &agentRun{
		order: o, until: o.Until, phase: medlarwheel.PhaseDone, log: a.sim.started(a, o),
		endAt: a.sim.now.Add(time.Duration(5+a.sim.pick(90)) * time.Second),
	}
	if job, _, _ := medlarwheel.ParseTaskID(o.Attempt.Task); job == a.sim.failing || a.sim.faulty && a.sim.pick(12) == 0 {
		run.phase = medlarwheel.PhaseFailed
	}
	a.runs[o.Attempt.Task] = run
	return a.report(o.Attempt, medlarwheel.PhaseRunning)
}
