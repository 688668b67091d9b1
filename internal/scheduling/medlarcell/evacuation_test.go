package medlarcell

import (
	"testing"
	"time"

	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// drainFirstWorker starts a task of the step on the only worker, adds the others and lets the first one drain. The task has
// made the given progress. It returns the stops that follow within the time.
func drainFirstWorker(t *testing.T, step medlarsubmission.Step, others, percent int, remaining, wait time.Duration) []Command {
	t.Helper()
	sc := newScriptedCell(t, 1, Ownership{Fence: 1 << 12, Term: 1})
	sc.report(sc.renewals[0], medlarorder.Report{})
	sc.cell.Accept(sc.now, testSubmission(step))
	sc.dispatch()
	start := sc.starts[0].Start
	sc.cell.HandleStartResponse(sc.now, "w0", start, medlarorder.Response{Verdict: medlarorder.VerdictAccepted}, nil)
	for i := range others {
		sc.cell.SetWorker(sc.now, testWorker(i+1))
	}
	sc.flush()
	sc.dispatch()
	for _, renewal := range sc.renewals {
		sc.report(renewal, medlarorder.Report{})
	}
	draining := testWorker(0)
	draining.Draining, draining.Remaining = true, remaining
	sc.cell.SetWorker(sc.now, draining)
	sc.cell.workers["w0"].findRun(start.Task, start.Run).progressPercent = percent
	sc.advance(wait)
	sc.dispatch()
	return sc.stops
}

// TestLongRunningTaskLeavesDrainingWorker guards against serving tasks that are away for seconds, until the lease of their
// worker must have ended, although the worker had announced that it leaves.
func TestLongRunningTaskLeavesDrainingWorker(t *testing.T) {
	step := testStep()
	step.LongRunning = true
	if stops := drainFirstWorker(t, step, 1, 100, 2*time.Second, 100*time.Millisecond); len(stops) != 1 || stops[0].Worker != "w0" {
		t.Errorf("got stops %+v, want one on the draining worker", stops)
	}
	if stops := drainFirstWorker(t, step, 0, 100, 2*time.Second, 100*time.Millisecond); len(stops) != 0 {
		t.Errorf("got stops %+v without another worker, want none", stops)
	}
}

// TestTaskThatEndsInTimeStaysOnDrainingWorker guards against work that is thrown away by a stop although it would have ended
// before its worker leaves, and against a task that its worker takes with it.
func TestTaskThatEndsInTimeStaysOnDrainingWorker(t *testing.T) {
	step := testStep()
	const remaining = 2 * time.Second
	if stops := drainFirstWorker(t, step, 1, 50, remaining, time.Second); len(stops) != 0 {
		t.Errorf("half of the task is done: got stops %+v, want none", stops)
	}
	step.Estimate = 10 * time.Second
	if stops := drainFirstWorker(t, step, 1, 10, remaining, time.Second); len(stops) != 1 {
		t.Errorf("the task needs 9 s more and the worker leaves: got stops %+v, want one", stops)
	}
	if stops := drainFirstWorker(t, step, 1, 10, 5*time.Second, time.Second); len(stops) != 0 {
		t.Errorf("the worker stays for 4 s more: got stops %+v, want none yet", stops)
	}
}

// TestDepartedWorkerDoesNotDelaySuccessor guards against a successor that waits for a worker which has left, and starts
// nothing that its predecessor had accepted until the lease of that worker must have ended.
func TestDepartedWorkerDoesNotDelaySuccessor(t *testing.T) {
	sc := newScriptedCell(t, 2, Ownership{Fence: 1 << 12, Term: 1})
	for _, renewal := range sc.renewals {
		sc.report(renewal, medlarorder.Report{})
	}
	sc.cell.Unregister(sc.now, "w1")
	sc.advance(unregisteredRetention + 100*time.Millisecond)
	if batch := sc.cell.TakeFlush(100); len(batch.Left) != 1 || batch.Left[0] != "w1" {
		t.Errorf("workers that have left are %v after %v, want w1", batch.Left, unregisteredRetention)
	}
}
