package medlarcell

import (
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/internal/execution/medlarorder"
)

// TestLongRunningGangIsTriedOnSuspendedWorker guards against a long-running gang that waits for the end of a suspension, although no
// other worker has room for it.
func TestLongRunningGangIsTriedOnSuspendedWorker(t *testing.T) {
	sc := suspendOnlyWorker(t)
	step := testStep()
	step.LongRunning, step.Gang, step.Count = true, true, 3
	sc.cell.Accept(sc.now, testSubmission(step))
	starts := sc.startsWithin(DefaultConfig().SuspendDuration - 100*time.Millisecond)
	if len(starts) < step.Count || starts[0] > 1500*time.Millisecond {
		t.Fatalf("the members were started after %v, want all %d within 1.5 s", starts, step.Count)
	}
	for i := step.Count; i < len(starts); i++ {
		pause, want := starts[i]-starts[i-1], time.Duration(0)
		if i%step.Count == 0 {
			want = 900 * time.Millisecond
		}
		if pause < want {
			t.Errorf("the members were started after %v, want pauses of about 1 s between two trials", starts)
		}
	}
}

// TestLongRunningGangUsesSuspendedWorkerBesideOthers guards against a long-running gang that waits while the suspended worker has room for
// the members that the others have no room for.
func TestLongRunningGangUsesSuspendedWorkerBesideOthers(t *testing.T) {
	sc := suspendOnlyWorker(t)
	sc.cell.SetWorker(sc.now, testWorker(1))
	sc.flush()
	sc.report(Command{Worker: "w1"}, medlarorder.Report{})
	step := testStep()
	step.LongRunning, step.Gang, step.Count, step.Size.MilliCPU = true, true, 2, 8000
	sc.cell.Accept(sc.now, testSubmission(step))
	workers := map[medlarwheel.WorkerID]medlarorder.RunNumber{}
	for began := sc.now; len(workers) == 0 && sc.now.Sub(began) < 1500*time.Millisecond; {
		sc.advance(50 * time.Millisecond)
		for _, w := range sc.cell.workersByID() {
			sc.report(Command{Worker: w.info.ID}, medlarorder.Report{})
		}
		sc.dispatch()
		for _, start := range sc.starts {
			workers[start.Worker] = start.Start.Run
		}
	}
	if len(workers) != 2 || workers["w0"] != workers["w1"] {
		t.Errorf("runs by worker are %v, want one member on each of both workers in the same run", workers)
	}
}
