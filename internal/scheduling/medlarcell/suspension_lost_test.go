package medlarcell

import (
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/internal/execution/medlarorder"
)

// maxRestartTime is the time after the loss of its worker within which a long-running task has to run again if there is room: the
// 6 s and 3 s of the rule.
const maxRestartTime = 9 * time.Second

// TestLostTasksShareOnlySuspendedWorker guards against long-running tasks that wait one after the other for the only worker with room,
// which is suspended and runs tasks again.
func TestLostTasksShareOnlySuspendedWorker(t *testing.T) {
	sc := newScriptedCell(t, 2, Ownership{Fence: 1 << 12, Term: 1})
	sc.cell.workers["w0"].pausedUntil = sc.now.Add(time.Second)
	for _, renewal := range sc.renewals {
		sc.report(renewal, medlarorder.Report{})
	}
	running := map[medlarwheel.WorkerID][]medlarorder.Running{}
	step := testStep()
	step.LongRunning, step.Count = true, 4
	sc.cell.Accept(sc.now, testSubmission(step))
	var lostAt time.Time
	for began := sc.now; sc.now.Sub(began) < 3*maxRestartTime; {
		sc.dispatch()
		for _, start := range sc.starts {
			running[start.Worker] = append(running[start.Worker], medlarorder.Running{Task: start.Start.Task, Run: start.Start.Run})
			sc.cell.HandleStartResponse(sc.now, start.Worker, start.Start, medlarorder.Response{Verdict: medlarorder.VerdictAccepted}, nil)
			if !lostAt.IsZero() && sc.now.Sub(lostAt) > maxRestartTime {
				t.Errorf("task %s runs again %v after the loss of its worker, want %v at most", start.Start.Task, sc.now.Sub(lostAt), maxRestartTime)
			}
		}
		for _, renewal := range sc.renewals {
			if renewal.Worker == "w0" || lostAt.IsZero() {
				sc.report(renewal, medlarorder.Report{Running: running[renewal.Worker]})
			} else {
				sc.loseResponse(renewal)
			}
		}
		if lostAt.IsZero() && len(running["w1"]) == step.Count {
			lostAt = sc.now
			w := sc.cell.workers["w0"]
			w.suspendedUntil, sc.cell.suspensionsEnd = sc.now.Add(time.Minute), sc.now.Add(time.Minute)
		}
		sc.flush()
		sc.advance(50 * time.Millisecond)
	}
	if len(running["w0"]) != step.Count {
		t.Errorf("%d tasks run again, want %d", len(running["w0"]), step.Count)
	}
}

// TestFailingWorkerGetsOneTrialAtATime guards against many long-running tasks that start, and fail, on a worker that fails every run.
func TestFailingWorkerGetsOneTrialAtATime(t *testing.T) {
	sc := suspendOnlyWorker(t)
	step := testStep()
	step.LongRunning, step.Count = true, 4
	sc.cell.Accept(sc.now, testSubmission(step))
	starts := sc.startsWithin(DefaultConfig().SuspendDuration - 100*time.Millisecond)
	for i := 1; i < len(starts); i++ {
		if pause := starts[i] - starts[i-1]; pause < 900*time.Millisecond {
			t.Errorf("starts after %v, want pauses of about 1 s", starts)
		}
	}
}
