package medlarcell

import (
	"fmt"
	"math/rand/v2"
	"time"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// simRun is a run on a simulated worker.
type simRun struct {
	number medlarorder.RunNumber
	endsAt time.Duration
	fails  bool
}

// simWorker is a worker as the platform specifies it: it enforces its capacity, keeps its own lists of runs and checks
// fencing tokens.
type simWorker struct {
	info        medlarorder.Worker
	up          bool
	removed     bool
	partitioned bool
	leaseEnd    time.Duration // on the worker's clock
	fence       medlarwheel.FencingToken
	runs        map[medlarsubmission.TaskName]*simRun
	ended       []medlarorder.Ended
	lastEnd     medlarorder.EndNumber
	// lapsedEnd is the last end before a lapse of the lease.
	lapsedEnd medlarorder.EndNumber
	// lastStopped holds the highest run that has ended or was stopped, by task.
	lastStopped map[medlarsubmission.TaskName]medlarorder.RunNumber
	startedAt   time.Duration
	speed       float64
	// maxRunTime bounds the run time of a task.
	maxRunTime time.Duration
	// longRunning holds the submissions whose tasks do not end by themselves. It may be nil.
	longRunning map[medlarsubmission.ID]bool
	// failsAll is true while every run fails right after its start.
	failsAll bool
	// slowness delays each order.
	slowness time.Duration
}

// simFailDelay is the run time on a worker that fails all runs, and simNever later than the end of every simulation.
const (
	simFailDelay = 30 * time.Millisecond
	simNever     = 24 * time.Hour
)

func newSimWorker(index int, capacity int64) *simWorker {
	w := &simWorker{maxRunTime: time.Second, info: medlarorder.Worker{
		ID: medlarwheel.WorkerID(fmt.Sprintf("w%d", index)), Service: "svc", Address: fmt.Sprintf("10.0.0.%d:80", index),
		Rack: medlarwheel.RackID(fmt.Sprintf("r%d", index/4)), Capacity: medlarsubmission.Size{MilliCPU: capacity, MemoryMB: 1 << 20},
	}}
	w.restart(0)
	return w
}

// restart begins a new incarnation, which knows nothing of the one before.
func (w *simWorker) restart(now time.Duration) {
	w.up, w.startedAt = true, now
	w.info.Incarnation = medlarorder.Incarnation(1000 + now.Milliseconds())
	w.runs = map[medlarsubmission.TaskName]*simRun{}
	w.lastStopped = map[medlarsubmission.TaskName]medlarorder.RunNumber{}
	w.ended, w.lastEnd, w.lapsedEnd, w.fence, w.leaseEnd = nil, 0, 0, 0, 0
}

// closesConnections reports whether the worker is down and its system refuses connections. That of every other incarnation has
// lost its power and is silent.
func (w *simWorker) closesConnections() bool {
	return !w.up && !w.removed && !w.partitioned && w.info.Incarnation%2 == 0
}

// clock returns the worker's clock, which is up to 2% slow.
func (w *simWorker) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now-w.startedAt) * w.speed)
}

func (w *simWorker) used() (sum int64) {
	return int64(len(w.runs)) * simTaskCPU
}

// advance ends the runs that are over and, once the lease has ended, all others.
func (w *simWorker) advance(now time.Duration, onEnd func(medlarorder.Ended)) {
	for name, r := range w.runs {
		if now >= r.endsAt && w.clock(now) < w.leaseEnd {
			kind := medlarorder.EndDone
			if r.fails {
				kind = medlarorder.EndFailed
			}
			w.end(name, r, kind, onEnd)
		}
	}
	if w.clock(now) >= w.leaseEnd {
		for name, r := range w.runs {
			w.end(name, r, medlarorder.EndLeaseExpired, onEnd)
		}
		w.lapsedEnd = w.lastEnd
	}
}

func (w *simWorker) end(name medlarsubmission.TaskName, r *simRun, kind medlarorder.EndKind, onEnd func(medlarorder.Ended)) {
	delete(w.runs, name)
	w.lastEnd++
	e := medlarorder.Ended{Number: w.lastEnd, Task: name, Run: r.number, Kind: kind}
	w.ended = append(w.ended, e)
	w.lastStopped[name] = max(w.lastStopped[name], r.number)
	onEnd(e)
}

func (w *simWorker) start(now time.Duration, s medlarorder.Start, rng *rand.Rand) medlarorder.Response {
	clock := w.clock(now)
	response := medlarorder.Response{Verdict: medlarorder.VerdictAccepted, Clock: clock}
	if s.Fence < w.fence {
		response.Verdict = medlarorder.VerdictFenced
		return response
	}
	w.fence = s.Fence
	switch r := w.runs[s.Task]; {
	case r != nil && r.number == s.Run:
	case w.lastStopped[s.Task] >= s.Run || r != nil:
		response.Verdict = medlarorder.VerdictSuperseded
	case s.LeaseEnd <= clock:
		response.Verdict = medlarorder.VerdictLeaseExpired
	case w.used()+simTaskCPU > w.info.Capacity.MilliCPU:
		response.Verdict = medlarorder.VerdictNoCapacity
	default:
		w.leaseEnd = max(w.leaseEnd, s.LeaseEnd)
		fails := rng.Float64() < simFailShare
		r := &simRun{number: s.Run, endsAt: now + 200*time.Millisecond + time.Duration(rng.Int64N(int64(w.maxRunTime))), fails: fails}
		if w.longRunning[s.Task.Submission] && !fails {
			r.endsAt = simNever
		}
		if w.failsAll {
			r.endsAt, r.fails = now+simFailDelay, true
		}
		w.runs[s.Task] = r
	}
	return response
}

func (w *simWorker) stop(now time.Duration, s medlarorder.Stop, onEnd func(medlarorder.Ended)) medlarorder.Response {
	response := medlarorder.Response{Verdict: medlarorder.VerdictAccepted, Clock: w.clock(now)}
	if s.Fence < w.fence {
		response.Verdict = medlarorder.VerdictFenced
		return response
	}
	w.fence = s.Fence
	w.lastStopped[s.Task] = max(w.lastStopped[s.Task], s.Run)
	if r := w.runs[s.Task]; r != nil && r.number == s.Run {
		w.end(s.Task, r, medlarorder.EndStopped, onEnd)
	}
	return response
}

func (w *simWorker) renew(now time.Duration, renewal medlarorder.Renew, onAck func(e medlarorder.Ended, inLease bool)) medlarorder.Report {
	report := medlarorder.Report{Verdict: medlarorder.VerdictAccepted, Incarnation: w.info.Incarnation, Clock: w.clock(now)}
	if renewal.Fence < w.fence {
		report.Verdict = medlarorder.VerdictFenced
		return report
	}
	w.fence = renewal.Fence
	w.leaseEnd = max(w.leaseEnd, renewal.LeaseEnd)
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e.Number <= renewal.AckedUpTo {
			onAck(e, e.Number > w.lapsedEnd)
		} else {
			kept = append(kept, e)
		}
	}
	w.ended = kept
	report.Ended = append(report.Ended, w.ended...)
	for name, r := range w.runs {
		report.Running = append(report.Running, medlarorder.Running{Task: name, Run: r.number, Percent: 50})
	}
	return report
}
