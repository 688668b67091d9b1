package medlarcell

import (
	"testing"
	"time"

	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// runWithProgress starts one task of five seconds on each of four workers and lets them report progress for three seconds.
// It returns the workers that were told to stop a task.
func runWithProgress(t *testing.T, estimate time.Duration, progress func(worker string, elapsed time.Duration) int) map[string]bool {
	t.Helper()
	b := newScriptedCell(t, 4, Ownership{Fence: 1 << 12, Term: 1})
	for _, h := range b.renewals {
		b.report(h, medlarorder.Report{})
	}
	b.cell.Accept(b.now, testSubmission(medlarsubmission.Step{
		Count: 4, Size: medlarsubmission.Size{MilliCPU: 6000, MemoryMB: 10}, Estimate: estimate,
	}))
	b.dispatch()
	tasks := map[string]medlarorder.Start{}
	for _, s := range b.starts {
		tasks[string(s.Worker)] = s.Start
		b.cell.HandleStartResponse(b.now, s.Worker, s.Start, medlarorder.Response{Verdict: medlarorder.VerdictAccepted}, nil)
	}
	began, stopped := b.now, map[string]bool{}
	pending := b.renewals
	for b.now.Sub(began) < 3*time.Second {
		b.advance(500 * time.Millisecond)
		for _, h := range pending {
			worker := string(h.Worker)
			b.report(h, medlarorder.Report{Running: []medlarorder.Running{{
				Task: tasks[worker].Task, Run: 1, Percent: progress(worker, b.now.Sub(began)),
			}}})
		}
		b.dispatch()
		pending = b.renewals
		for _, s := range b.stops {
			stopped[string(s.Worker)] = true
		}
	}
	return stopped
}

// TestWrongEstimateDoesNotMoveTasks guards against work that is thrown away because its declared run time is far too short.
func TestWrongEstimateDoesNotMoveTasks(t *testing.T) {
	stopped := runWithProgress(t, 300*time.Millisecond, func(_ string, elapsed time.Duration) int {
		return int(100 * elapsed / (5 * time.Second))
	})
	if len(stopped) > 0 {
		t.Fatalf("tasks were stopped on %v although all work alike", stopped)
	}
}

// TestTasksAreMovedFromHangingWorker guards against tasks that stay on a worker on which nothing moves.
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

// TestSpeculativeCopyIsStartedOnce guards against copies of a speculative task that are started again and again, even after its end: a
// stuck run is reported several times before its copy finds a worker.
func TestSpeculativeCopyIsStartedOnce(t *testing.T) {
	b := newScriptedCell(t, 3, Ownership{Fence: 1 << 12, Term: 1})
	for _, h := range b.renewals {
		b.report(h, medlarorder.Report{})
	}
	spec := testStep()
	spec.Speculative = true
	b.cell.Accept(b.now, testSubmission(spec))
	b.dispatch()
	first := b.starts[0]
	b.cell.HandleStartResponse(b.now, first.Worker, first.Start, medlarorder.Response{Verdict: medlarorder.VerdictAccepted}, nil)
	r := b.cell.workers[first.Worker].findRun(first.Start.Task, first.Start.Run)
	b.cell.move(b.now, r)
	b.cell.move(b.now, r)
	b.dispatch()
	if len(b.starts) != 1 || b.starts[0].Worker == first.Worker {
		t.Fatalf("%d copies were started", len(b.starts))
	}
	end := medlarorder.Ended{Number: 1, Task: first.Start.Task, Run: first.Start.Run, Kind: medlarorder.EndDone}
	b.cell.handleEnd(b.now, b.cell.workers[first.Worker], &end)
	b.dispatch()
	if len(b.starts) > 0 {
		t.Fatal("a copy was started after the end of the task")
	}
}
