package medlarcell

import (
	"testing"
	"time"

	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// progressBench starts one task of five seconds on each of four workers and lets them report progress for three seconds.
// It returns the workers that were told to stop a task.
func progressBench(t *testing.T, estimate time.Duration, progress func(worker string, elapsed time.Duration) int) map[string]bool {
	t.Helper()
	b := newBench(t, 4, Tenure{Fence: 1 << 12, Term: 1})
	for _, h := range b.holds {
		b.report(h, medlarorder.Report{})
	}
	b.cell.Accept(b.now, benchSubmission(medlarsubmission.Step{
		Count: 4, Size: medlarsubmission.Size{MilliCPU: 6000, MemoryMB: 10}, Estimate: estimate,
	}))
	b.look()
	tasks := map[string]medlarorder.Start{}
	for _, s := range b.starts {
		tasks[string(s.Worker)] = s.Start
		b.cell.Started(b.now, s.Worker, s.Start, medlarorder.Response{Verdict: medlarorder.VerdictAccepted}, nil)
	}
	began, stopped := b.now, map[string]bool{}
	pending := b.holds
	for b.now.Sub(began) < 3*time.Second {
		b.wait(500 * time.Millisecond)
		for _, h := range pending {
			worker := string(h.Worker)
			b.report(h, medlarorder.Report{Running: []medlarorder.Running{{
				Task: tasks[worker].Task, Run: 1, Percent: progress(worker, b.now.Sub(began)),
			}}})
		}
		b.look()
		pending = b.holds
		for _, s := range b.stops {
			stopped[string(s.Worker)] = true
		}
	}
	return stopped
}

// TestWrongEstimateMovesNothing guards against work that is thrown away because its declared run time is far too short.
func TestWrongEstimateMovesNothing(t *testing.T) {
	stopped := progressBench(t, 300*time.Millisecond, func(_ string, elapsed time.Duration) int {
		return int(100 * elapsed / (5 * time.Second))
	})
	if len(stopped) > 0 {
		t.Fatalf("tasks were stopped on %v although all work alike", stopped)
	}
}

// TestHangingWorkerLosesItsTasks guards against tasks that stay on a worker on which nothing moves.
func TestHangingWorkerLosesItsTasks(t *testing.T) {
	stopped := progressBench(t, 5*time.Second, func(worker string, elapsed time.Duration) int {
		if worker == "w2" {
			return 0
		}
		return int(100 * elapsed / (5 * time.Second))
	})
	if !stopped["w2"] || len(stopped) != 1 {
		t.Fatalf("tasks were stopped on %v, want only on w2", stopped)
	}
}

// TestCopyIsStartedOnce guards against copies of a speculative task that are started again and again, even after its end: a
// stuck run is reported several times before its copy finds a worker.
func TestCopyIsStartedOnce(t *testing.T) {
	b := newBench(t, 3, Tenure{Fence: 1 << 12, Term: 1})
	for _, h := range b.holds {
		b.report(h, medlarorder.Report{})
	}
	spec := benchStep()
	spec.Speculative = true
	b.cell.Accept(b.now, benchSubmission(spec))
	b.look()
	first := b.starts[0]
	b.cell.Started(b.now, first.Worker, first.Start, medlarorder.Response{Verdict: medlarorder.VerdictAccepted}, nil)
	r := b.cell.workers[first.Worker].find(first.Start.Task, first.Start.Run)
	b.cell.move(b.now, r)
	b.cell.move(b.now, r)
	b.look()
	if len(b.starts) != 1 || b.starts[0].Worker == first.Worker {
		t.Fatalf("%d copies were started", len(b.starts))
	}
	end := medlarorder.Ended{Number: 1, Task: first.Start.Task, Run: first.Start.Run, Kind: medlarorder.EndDone}
	b.cell.ended(b.now, b.cell.workers[first.Worker], &end)
	b.look()
	if len(b.starts) > 0 {
		t.Fatal("a copy was started after the end of the task")
	}
}
