package medlarcell

import (
	"testing"
	"time"

	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// TestLateWorkIsNotDeferredForEver guards against accepted best-effort work that waits as long as the serving tasks are loaded,
// because it is past its time and may do less harm than other work, although most of the processors are free.
func TestLateWorkIsNotDeferredForEver(t *testing.T) {
	sc := newScriptedCell(t, 1, Ownership{Fence: 1 << 12, Term: 1})
	sc.report(sc.renewals[0], medlarorder.Report{})
	serving := testSubmission(medlarsubmission.Step{
		Count: 1, Size: medlarsubmission.Size{MilliCPU: 3000}, LongRunning: true, TailLatencyTarget: loadTarget, Image: "web",
	})
	sc.cell.Accept(sc.now, serving)
	sc.dispatch()
	start := sc.starts[0].Start
	sc.cell.HandleStartResponse(sc.now, "w0", start, medlarorder.Response{Verdict: medlarorder.VerdictAccepted}, nil)
	renewals, others := sc.renewals, []medlarorder.Running(nil)
	// step reports the tail latency of the serving task, and lets the cell place what waits.
	step := func(tail time.Duration) {
		for _, renewal := range renewals {
			running := medlarorder.Running{Task: start.Task, Run: start.Run, Percent: 100, Usage: tail.Milliseconds(), HasUsage: true}
			sc.report(renewal, medlarorder.Report{Running: append([]medlarorder.Running{running}, others...)})
		}
		sc.advance(400 * time.Millisecond)
		sc.dispatch()
		renewals = sc.renewals
	}
	step(loadBaseLatency)
	for range 20 {
		step(3 * loadBaseLatency)
	}
	filling := testSubmission(medlarsubmission.Step{Count: 1, Size: medlarsubmission.Size{MilliCPU: 1000}, Estimate: time.Second, BestEffort: true, Image: "etl"})
	filling.ID, filling.AcceptedAt = "00000000000000bb", sc.now.Add(-time.Minute)
	sc.cell.Accept(sc.now, filling)
	began, deferral := sc.now, sc.cell.config.Interference.MaxDeferral
	job := sc.cell.jobs[filling.ID]
	for job.runs == 0 && sc.now.Sub(began) < 2*deferral {
		step(3 * loadBaseLatency)
		for _, command := range sc.starts {
			others = append(others, medlarorder.Running{Task: command.Start.Task, Run: command.Start.Run})
			sc.cell.HandleStartResponse(sc.now, "w0", command.Start, medlarorder.Response{Verdict: medlarorder.VerdictAccepted}, nil)
		}
		job.forEachRun(func(r *run) {
			if job.runs == 0 && r.pace > minimumPace {
				t.Fatalf("late work beside a loaded serving task has pace %d after %v, want at most %d before %v", r.pace, sc.now.Sub(began), minimumPace, deferral)
			}
		})
	}
	if waited := sc.now.Sub(began); job.runs == 0 || waited < deferral || waited > deferral+2*time.Second {
		t.Fatalf("late work beside a loaded serving task: full share %v after %v, want it within 2s after %v", job.runs > 0, waited, deferral)
	}
}
