package medlarcell

import (
	"testing"

	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// cellWithCapacity returns a cell whose only worker has the given CPU and has reported.
func cellWithCapacity(t *testing.T, milliCPU int64) *scriptedCell {
	sc := newScriptedCell(t, 1, Ownership{Fence: 1 << 12, Term: 1})
	sc.setCapacity(milliCPU, 1)
	sc.report(sc.renewals[0], medlarorder.Report{})
	return sc
}

func (sc *scriptedCell) setCapacity(milliCPU int64, incarnation medlarorder.Incarnation) {
	w := testWorker(0)
	w.Capacity.MilliCPU, w.Incarnation = milliCPU, incarnation
	sc.cell.SetWorker(sc.now, w)
}

// startAll accepts a submission of as many tasks of 1000 thousandths of a core, and returns the number that is started.
func (sc *scriptedCell) startAll(id medlarsubmission.ID, count int) int {
	s := testSubmission(testStep())
	s.ID, s.Steps[0].Count = id, count
	sc.cell.Accept(sc.now, s)
	sc.dispatch()
	return len(sc.starts)
}

// TestShrunkCapacityLimitsStarts guards against starts beyond a capacity that has shrunk below what runs or is being stopped.
func TestShrunkCapacityLimitsStarts(t *testing.T) {
	sc := cellWithCapacity(t, 4000)
	if n := sc.startAll("00000000000000aa", 3); n != 3 {
		t.Fatalf("%d tasks were started, want 3", n)
	}
	sc.cell.HandleStartResponse(sc.now, "w0", sc.starts[0].Start, medlarorder.Response{}, errSimNoResponse)
	sc.setCapacity(2000, 1)
	sc.cell.Cancel(sc.now, "00000000000000aa")
	if n := sc.startAll("00000000000000bb", 2); n != 0 {
		t.Fatalf("%d tasks were started while 3 that are being stopped exceed a capacity for 2", n)
	}
	sc.setCapacity(4000, 1)
	sc.now = sc.now.Add(fullScanInterval)
	sc.report(Command{Worker: "w0"}, medlarorder.Report{})
	if sc.dispatch(); len(sc.starts) != 1 {
		t.Fatalf("%d tasks were started beside 3 that are being stopped after the capacity has grown to 4, want 1", len(sc.starts))
	}
}

// TestStrayRunsCountAgainstCapacity guards against starts beside a run of an earlier owner that is being stopped.
func TestStrayRunsCountAgainstCapacity(t *testing.T) {
	sc := cellWithCapacity(t, 1000)
	sc.dispatch()
	stray := medlarorder.Running{Task: medlarsubmission.TaskName{Submission: "00000000000000cc"}, Run: 1}
	sc.report(sc.renewals[0], medlarorder.Report{Running: []medlarorder.Running{stray}})
	if n := sc.startAll("00000000000000aa", 1); n != 0 || len(sc.stops) != 1 {
		t.Fatalf("%d tasks were started and %d stopped, want the unknown run to end first", n, len(sc.stops))
	}
	ended := medlarorder.Ended{Number: 1, Task: stray.Task, Run: stray.Run, Kind: medlarorder.EndStopped}
	sc.report(sc.renewals[0], medlarorder.Report{Ended: []medlarorder.Ended{ended}})
	if sc.dispatch(); len(sc.starts) != 1 {
		t.Fatal("no task was started after the unknown run had ended")
	}
}

// TestRestartedWorkerWaitsForItsRegistration guards against starts that fit the capacity of the worker's earlier
// process only.
func TestRestartedWorkerWaitsForItsRegistration(t *testing.T) {
	sc := cellWithCapacity(t, 4000)
	sc.dispatch()
	sc.report(sc.renewals[0], medlarorder.Report{Incarnation: 2})
	if n := sc.startAll("00000000000000aa", 2); n != 0 {
		t.Fatalf("%d tasks were started on a restarted worker whose capacity is unknown", n)
	}
	sc.setCapacity(1000, 2)
	if sc.dispatch(); len(sc.starts) != 1 {
		t.Fatalf("%d tasks were started after the registration of a capacity for 1", len(sc.starts))
	}
}
