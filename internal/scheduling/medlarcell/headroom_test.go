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
	renewals := sc.renewals
	// step reports the tail latency of the serving task, and lets the cell place what waits.
	step := func(tail time.Duration) {
		for _, renewal := range renewals {
			sc.report(renewal, medlarorder.Report{Running: []medlarorder.Running{{Task: start.Task, Run: start.Run, Percent: 100, Usage: tail.Milliseconds(), HasUsage: true}}})
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
	for len(sc.starts) == 0 && sc.now.Sub(began) < 2*deferral {
		step(3 * loadBaseLatency)
	}
	if waited := sc.now.Sub(began); len(sc.starts) == 0 || waited < deferral || waited > deferral+2*time.Second {
		t.Fatalf("late work beside a loaded serving task: started %v after %v, want a start within 2s after %v", len(sc.starts) > 0, waited, deferral)
	}
}
