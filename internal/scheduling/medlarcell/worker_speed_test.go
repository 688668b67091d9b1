package medlarcell

import (
	"testing"
	"time"

	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// runWithProgress starts one task of five seconds on each of four workers and lets the workers report progress for three
// seconds. It returns the workers that were ordered to stop a task.
func runWithProgress(t *testing.T, estimate time.Duration, progress func(worker string, elapsed time.Duration) int) map[string]bool {
	t.Helper()
	sc := newScriptedCell(t, 4, Ownership{Fence: 1 << 12, Term: 1})
	for _, renewal := range sc.renewals {
		sc.report(renewal, medlarorder.Report{})
	}
	sc.cell.Accept(sc.now, testSubmission(medlarsubmission.Step{
		Count: 4, Size: medlarsubmission.Size{MilliCPU: 6000, MemoryMB: 10}, Estimate: estimate,
	}))
	sc.dispatch()
	tasks := map[string]medlarorder.Start{}
	for _, s := range sc.starts {
		tasks[string(s.Worker)] = s.Start
		sc.cell.HandleStartResponse(sc.now, s.Worker, s.Start, medlarorder.Response{Verdict: medlarorder.VerdictAccepted}, nil)
	}
	began, stopped := sc.now, map[string]bool{}
	pending := sc.renewals
	for sc.now.Sub(began) < 3*time.Second {
		sc.advance(500 * time.Millisecond)
		for _, renewal := range pending {
			worker := string(renewal.Worker)
			sc.report(renewal, medlarorder.Report{Running: []medlarorder.Running{{
				Task: tasks[worker].Task, Run: 1, Percent: progress(worker, sc.now.Sub(began)),
			}}})
		}
		sc.dispatch()
		pending = sc.renewals
		for _, s := range sc.stops {
			stopped[string(s.Worker)] = true
		}
	}
	return stopped
}

// TestWrongEstimateDoesNotMoveTasks guards against tasks that are restarted because their declared run time is far too
// short.
func TestWrongEstimateDoesNotMoveTasks(t *testing.T) {
	stopped := runWithProgress(t, 300*time.Millisecond, func(_ string, elapsed time.Duration) int {
		return int(100 * elapsed / (5 * time.Second))
	})
	if len(stopped) > 0 {
		t.Fatalf("tasks were stopped on %v, although all workers make the same progress", stopped)
	}
}

// TestTasksAreMovedFromHangingWorker guards against tasks that stay on a worker that makes no progress.
func TestTasksAreMovedFromHangingWorker(t *testing.T) {
	stopped := runWithProgress(t, 5*time.Second, func(worker string, elapsed time.Duration) int {
		if worker == "w2" {
			return 0
		}
		return int(100 * elapsed / (5 * time.Second))
	})
	if !stopped["w2"] || len(stopped) != 1 {
		t.Fatalf("tasks were stopped on %v, want only on w2", stopped)
	}
}

// TestSpeculativeCopyIsStartedOnce guards against copies of a speculative task that are started repeatedly, even after
// its end. A stuck run is reported several times before its copy is placed.
func TestSpeculativeCopyIsStartedOnce(t *testing.T) {
	sc := newScriptedCell(t, 3, Ownership{Fence: 1 << 12, Term: 1})
	for _, renewal := range sc.renewals {
		sc.report(renewal, medlarorder.Report{})
	}
	spec := testStep()
	spec.Speculative = true
	sc.cell.Accept(sc.now, testSubmission(spec))
	sc.dispatch()
	first := sc.starts[0]
	sc.cell.HandleStartResponse(sc.now, first.Worker, first.Start, medlarorder.Response{Verdict: medlarorder.VerdictAccepted}, nil)
	r := sc.cell.workers[first.Worker].findRun(first.Start.Task, first.Start.Run)
	sc.cell.move(sc.now, r)
	sc.cell.move(sc.now, r)
	sc.dispatch()
	if len(sc.starts) != 1 || sc.starts[0].Worker == first.Worker {
		t.Fatalf("%d copies were started, want 1 on another worker", len(sc.starts))
	}
	end := medlarorder.Ended{Number: 1, Task: first.Start.Task, Run: first.Start.Run, Kind: medlarorder.EndDone}
	sc.cell.handleEnd(sc.now, sc.cell.workers[first.Worker], &end)
	sc.dispatch()
	if len(sc.starts) > 0 {
		t.Fatal("a copy was started after the end of the task")
	}
}
