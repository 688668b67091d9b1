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
	fails bool
	log   *runLog
}

func (a *agent) boot() {
	a.incarnation++
	a.bootAt = a.sim.now
	for _, run := range a.runs {
		a.sim.ended(run.log, false)
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
		Phase: phase,
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

// tick ends runs that are done or whose lease has run out.
func (a *agent) tick() {
	for _, task := range sortedKeys(a.runs) {
		run := a.runs[task]
		switch {
		case !a.sim.plantedIs(plantOverrun) && !a.reading().Before(run.until):
			a.end(run, medlarwheel.PhaseStopped)
		case !a.sim.now.Before(run.endAt) && run.fails:
			a.end(run, medlarwheel.PhaseFailed)
		case !a.sim.now.Before(run.endAt):
			a.end(run, medlarwheel.PhaseDone)
		default:
			continue
		}
		a.sim.tell(a.sim.instances[a.sim.pick(len(a.sim.instances))], a.last[task])
	}
}

func (a *agent) end(run *agentRun, phase medlarwheel.TaskPhase) {
	attempt := run.order.Attempt
	saved := phase == medlarwheel.PhaseCheckpointed
	if saved {
		a.sim.objects[medlarlease.CheckpointObject(attempt)] = true
	}
	a.sim.ended(run.log, saved)
	delete(a.runs, attempt.Task)
	a.fence(attempt.Task).End(attempt.Attempt)
	report := a.report(attempt, phase)
	report.Saved = saved
	a.last[attempt.Task] = report
}

// handle obeys an order and returns the answers.
func (a *agent) handle(order medlarlease.Order) []medlarwheel.TaskReport {
	switch o := order.(type) {
	case medlarlease.Start:
		var content medlarlease.StartOrder
		data, err := json.Marshal(o)
		if err != nil || json.Unmarshal(data, &content) != nil {
			panic(err)
		}
		return []medlarwheel.TaskReport{a.start(content)}
	case rawStart:
		return []medlarwheel.TaskReport{a.start(o.StartOrder)}
	case medlarlease.Renew:
		reports := []medlarwheel.TaskReport{a.report(medlarwheel.TaskAttempt{}, "")}
		for _, t := range o.Tasks {
			run, report := a.running(t.Attempt, t.Token)
			if run != nil && run.until.Before(o.Until) {
				run.until = o.Until
			}
			reports = append(reports, report)
		}
		return reports
	case medlarlease.Checkpoint:
		return []medlarwheel.TaskReport{a.finish(o.Attempt, o.Token, medlarwheel.PhaseCheckpointed)}
	case medlarlease.Stop:
		return []medlarwheel.TaskReport{a.finish(o.Attempt, o.Token, medlarwheel.PhaseStopped)}
	default:
		panic("unknown order")
	}
}

// running returns the run of an attempt, or what there is to say about it. What is not known is refused from then on.
func (a *agent) running(
	attempt medlarwheel.TaskAttempt, token medlarwheel.FencingToken,
) (*agentRun, medlarwheel.TaskReport) {
	fence := a.fence(attempt.Task)
	if token < fence.Token() {
		return nil, a.report(medlarwheel.TaskAttempt{}, "")
	}
	_ = fence.Admit(attempt.Attempt, token)
	if run := a.runs[attempt.Task]; run != nil && run.order.Attempt == attempt {
		return run, a.report(attempt, medlarwheel.PhaseRunning)
	}
	if last := a.last[attempt.Task]; last.Attempt == attempt.Attempt {
		last.Token, last.Uptime = fence.Token(), a.reading().Uptime
		return nil, last
	}
	fence.End(attempt.Attempt)
	return nil, a.report(attempt, medlarwheel.PhaseAbsent)
}

func (a *agent) finish(
	attempt medlarwheel.TaskAttempt, token medlarwheel.FencingToken, phase medlarwheel.TaskPhase,
) medlarwheel.TaskReport {
	run, report := a.running(attempt, token)
	if run == nil {
		return report
	}
	a.end(run, phase)
	return a.last[attempt.Task]
}

func (a *agent) start(o medlarlease.StartOrder) medlarwheel.TaskReport {
	fence := a.fence(o.Attempt.Task)
	known := a.runs[o.Attempt.Task] != nil
	if known || !a.reading().Before(o.Until) || o.Until.Incarnation != a.incarnation ||
		fence.Admit(o.Attempt.Attempt, o.Token) != nil {
		run, report := a.running(o.Attempt, o.Token)
		if run != nil && run.until.Before(o.Until) {
			run.until = o.Until
		}
		return report
	}
	job, _, _ := medlarwheel.JobOfTask(o.Attempt.Task)
	run := &agentRun{
		order: o, until: o.Until, log: a.sim.started(a, o),
		endAt: a.sim.now.Add(time.Duration(5+a.sim.pick(90)) * time.Second),
		fails: a.sim.failing[job] || a.sim.faulty && a.sim.pick(12) == 0,
	}
	a.runs[o.Attempt.Task] = run
	return a.report(o.Attempt, medlarwheel.PhaseRunning)
}
