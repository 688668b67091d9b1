package medlarcell

import (
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/internal/execution/medlarorder"
)

// startGang returns a cell with four workers, and the starts of a gang of three, one on each of the first three.
func startGang(t *testing.T, isLongRunning bool) (sc *scriptedCell, members map[medlarwheel.WorkerID]medlarorder.Running) {
	t.Helper()
	sc = newScriptedCell(t, 4, Ownership{Fence: 1 << 12, Term: 1})
	for _, renewal := range sc.renewals {
		sc.report(renewal, medlarorder.Report{})
	}
	step := testStep()
	step.Gang, step.LongRunning, step.MaxPerWorker, step.Count = true, isLongRunning, 1, 3
	sc.cell.Accept(sc.now, testSubmission(step))
	sc.dispatch()
	members = map[medlarwheel.WorkerID]medlarorder.Running{}
	for _, start := range sc.starts {
		members[start.Worker] = medlarorder.Running{Task: start.Start.Task, Run: start.Start.Run}
	}
	if len(members) != step.Count {
		t.Fatalf("%d members were started, want %d", len(members), step.Count)
	}
	return sc, members
}

// TestGangRestartsAfterLossOfMember guards against a gang that never runs again after the worker of a member was lost, because the other
// members, which work only together with it, run on.
func TestGangRestartsAfterLossOfMember(t *testing.T) {
	for _, isLongRunning := range []bool{true, false} {
		sc, members := startGang(t, isLongRunning)
		for _, start := range sc.starts {
			sc.cell.HandleStartResponse(sc.now, start.Worker, start.Start, medlarorder.Response{Verdict: medlarorder.VerdictAccepted}, nil)
		}
		lost := sc.starts[0].Worker
		delete(members, lost)
		sc.starts = nil
		number := medlarorder.EndNumber(0)
		lostAt := sc.now
		for len(sc.starts) == 0 && sc.now.Sub(lostAt) < maxRestartTime {
			sc.advance(50 * time.Millisecond)
			sc.dispatch()
			for _, stop := range sc.stops {
				if member, runs := members[stop.Worker]; runs {
					delete(members, stop.Worker)
					number++
					sc.report(Command{Worker: stop.Worker}, medlarorder.Report{Ended: []medlarorder.Ended{{
						Number: number, Task: member.Task, Run: member.Run, Kind: medlarorder.EndStopped,
					}}})
				}
			}
			for _, w := range sc.cell.workersByID() {
				if member, runs := members[w.info.ID]; runs {
					sc.report(Command{Worker: w.info.ID}, medlarorder.Report{Running: []medlarorder.Running{member}})
				} else if w.info.ID != lost {
					sc.report(Command{Worker: w.info.ID}, medlarorder.Report{})
				}
			}
			sc.flush()
		}
		if len(sc.starts) != 3 {
			t.Errorf("%d members start within %v of the loss (long-running: %v), want all 3", len(sc.starts), maxRestartTime, isLongRunning)
		}
	}
}

// TestGangWithRejectedMemberIsNotLeftWaiting guards against members that keep their capacity, and wait for one whose start was rejected.
func TestGangWithRejectedMemberIsNotLeftWaiting(t *testing.T) {
	sc, _ := startGang(t, false)
	for i, start := range sc.starts {
		response := medlarorder.Response{Verdict: medlarorder.VerdictAccepted}
		if i == 0 {
			response.Verdict = medlarorder.VerdictNoCapacity
		}
		sc.cell.HandleStartResponse(sc.now, start.Worker, start.Start, response, nil)
	}
	sc.advance(300 * time.Millisecond)
	if sc.dispatch(); len(sc.stops) != 2 {
		t.Errorf("%d members are stopped, want the 2 that would wait", len(sc.stops))
	}
}
