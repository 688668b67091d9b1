package medlarcell

import (
	"fmt"
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// suspendOnlyWorker returns a cell whose only worker is suspended, because tasks of two submissions in a row have failed there.
func suspendOnlyWorker(t *testing.T) *scriptedCell {
	t.Helper()
	sc := newScriptedCell(t, 1, Ownership{Fence: 1 << 12, Term: 1})
	sc.report(sc.renewals[0], medlarorder.Report{})
	var ends []medlarorder.Ended
	for n := range DefaultConfig().FailuresToSuspend {
		s := testSubmission(testStep())
		s.ID, s.Policy.MaxAttempts = medlarsubmission.ID(fmt.Sprintf("%016x", n)), 1
		sc.cell.Accept(sc.now, s)
		ends = append(ends, medlarorder.Ended{
			Number: medlarorder.EndNumber(n + 1), Task: medlarsubmission.TaskName{Submission: s.ID}, Run: 1, Kind: medlarorder.EndFailed,
		})
	}
	sc.dispatch()
	sc.report(Command{Worker: "w0"}, medlarorder.Report{Ended: ends})
	sc.flush()
	if w := sc.cell.workers["w0"]; w.suspensions != 1 {
		t.Fatalf("the worker was suspended %d times, want once", w.suspensions)
	}
	return sc
}

// startsWithin returns the times of the starts within d. Each started task fails at once.
func (sc *scriptedCell) startsWithin(d time.Duration) (starts []time.Duration) {
	began := sc.now
	number := medlarorder.EndNumber(10)
	for sc.now.Sub(began) < d {
		sc.advance(50 * time.Millisecond)
		sc.dispatch()
		report := medlarorder.Report{}
		for _, start := range sc.starts {
			starts = append(starts, sc.now.Sub(began))
			number++
			report.Ended = append(report.Ended, medlarorder.Ended{Number: number, Task: start.Start.Task, Run: start.Start.Run, Kind: medlarorder.EndFailed})
		}
		sc.report(Command{Worker: "w0"}, report)
		sc.flush()
	}
	return starts
}

// TestLongRunningTaskIsTriedOnSuspendedWorker guards against a long-running task that waits for many seconds beside a suspended
// worker with room, the only one that it fits on.
func TestLongRunningTaskIsTriedOnSuspendedWorker(t *testing.T) {
	sc := suspendOnlyWorker(t)
	step := testStep()
	step.LongRunning = true
	sc.cell.Accept(sc.now, testSubmission(step))
	starts := sc.startsWithin(DefaultConfig().SuspendDuration - 100*time.Millisecond)
	if len(starts) == 0 || starts[0] > 1500*time.Millisecond {
		t.Errorf("the task was started after %v, want within 1.5 s", starts)
	}
	for i := 1; i < len(starts); i++ {
		if pause := starts[i] - starts[i-1]; pause < 900*time.Millisecond {
			t.Errorf("the task was tried again after %v on a worker on which it has failed, want a pause of about 1 s", pause)
		}
	}
}

// TestShortTaskWaitsForSuspension guards against short tasks that use up their attempts on a worker on which every task fails.
func TestShortTaskWaitsForSuspension(t *testing.T) {
	sc := suspendOnlyWorker(t)
	sc.cell.Accept(sc.now, testSubmission(testStep()))
	if starts := sc.startsWithin(DefaultConfig().SuspendDuration - 100*time.Millisecond); len(starts) > 0 {
		t.Errorf("the task was started on the suspended worker after %v", starts)
	}
}

// TestSuspendedWorkerIsNotUsedBesideOthers guards against long-running tasks on a suspended worker while another one has room.
func TestSuspendedWorkerIsNotUsedBesideOthers(t *testing.T) {
	sc := suspendOnlyWorker(t)
	sc.cell.SetWorker(sc.now, testWorker(1))
	sc.flush()
	sc.report(Command{Worker: "w1"}, medlarorder.Report{})
	step := testStep()
	step.LongRunning = true
	sc.cell.Accept(sc.now, testSubmission(step))
	if sc.dispatch(); len(sc.starts) != 1 || sc.starts[0].Worker != medlarwheel.WorkerID("w1") {
		t.Errorf("starts are %+v, want one on the worker that is not suspended", sc.starts)
	}
}

// TestFailingSubmissionDoesNotTakeAllTrials guards against a long-running task that waits for the only worker with room, which is suspended,
// because the tasks of a submission that always fails are tried there by turns.
func TestFailingSubmissionDoesNotTakeAllTrials(t *testing.T) {
	sc := suspendOnlyWorker(t)
	failing := testStep()
	failing.LongRunning, failing.Count = true, 6
	for n := range 2 {
		s := testSubmissionWithID(100+n, failing, 0)
		s.AcceptedAt = sc.now
		sc.cell.Accept(sc.now, s)
	}
	suspended := sc.cell.workers["w0"]
	suspended.suspendedUntil = sc.now.Add(DefaultConfig().SuspendDuration << maxSuspendDoublings)
	sc.cell.suspensionsEnd = suspended.suspendedUntil
	sc.advance(500 * time.Millisecond)
	sound := testSubmission(testStep())
	sound.AcceptedAt, sound.Steps[0].LongRunning = sc.now, true
	sc.cell.Accept(sc.now, sound)
	began := sc.now
	number := medlarorder.EndNumber(10)
	for sc.now.Sub(began) < maxRestartTime {
		sc.advance(50 * time.Millisecond)
		sc.dispatch()
		report := medlarorder.Report{}
		for _, start := range sc.starts {
			if start.Start.Task.Submission == sound.ID {
				return
			}
			number++
			report.Ended = append(report.Ended, medlarorder.Ended{Number: number, Task: start.Start.Task, Run: start.Start.Run, Kind: medlarorder.EndFailed})
		}
		sc.report(Command{Worker: "w0"}, report)
		sc.flush()
	}
	t.Errorf("the sound task was not tried within %v beside two submissions that fail", maxRestartTime)
}
