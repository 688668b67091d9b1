package medlarcell

import (
	"testing"
	"time"

	"medlarwheel/internal/execution/medlarorder"
)

// startOnRestartingWorker starts a task on one of two workers, which restarts with the same id before it reports the task.
func startOnRestartingWorker(t *testing.T) (sc *scriptedCell, start, renewal Command) {
	t.Helper()
	sc = newScriptedCell(t, 2, Ownership{Fence: 1 << 12, Term: 1})
	for _, r := range sc.renewals {
		sc.report(r, medlarorder.Report{})
	}
	sc.cell.Accept(sc.now, testSubmission(testStep()))
	sc.dispatch()
	start = sc.starts[0]
	for _, r := range sc.renewals {
		if r.Worker == start.Worker {
			renewal = r
		}
	}
	sc.now = sc.now.Add(10 * time.Millisecond)
	return sc, start, renewal
}

// TestRunOfNewIncarnationIsNotLost guards against a second run of a task that a worker has accepted after a restart which the
// owner has not seen yet.
func TestRunOfNewIncarnationIsNotLost(t *testing.T) {
	sc, start, renewal := startOnRestartingWorker(t)
	accepted := medlarorder.Response{Verdict: medlarorder.VerdictAccepted, Clock: time.Second}
	sc.cell.HandleStartResponse(sc.now, start.Worker, start.Start, accepted, nil)
	sc.report(renewal, medlarorder.Report{Incarnation: 2, Running: []medlarorder.Running{{Task: start.Start.Task, Run: 1}}})
	sc.dispatch()
	if len(sc.starts)+len(sc.stops) > 0 {
		t.Errorf("got %d starts and %d stops after the new incarnation has reported the run, want none", len(sc.starts), len(sc.stops))
	}
}

// TestStartUnderWayDuringRestartIsResolved guards against a second run of a task whose start reaches the new
// incarnation after its first report.
func TestStartUnderWayDuringRestartIsResolved(t *testing.T) {
	sc, start, renewal := startOnRestartingWorker(t)
	sc.report(renewal, medlarorder.Report{Incarnation: 2})
	sc.dispatch()
	if len(sc.starts) > 0 {
		t.Fatal("the task was started elsewhere while its first start may still reach the new incarnation")
	}
	sc.now = sc.now.Add(10 * time.Millisecond)
	for _, r := range sc.renewals {
		if r.Worker == start.Worker && r.Renew.Fence <= start.Start.Fence {
			t.Errorf("renewal after the restart has token %d, want more than that of the start, %d", r.Renew.Fence, start.Start.Fence)
		}
		if r.Worker == start.Worker && r.OutOfBand {
			sc.report(r, medlarorder.Report{Incarnation: 2})
		}
	}
	sc.dispatch()
	if len(sc.starts) != 1 {
		t.Errorf("got %d starts after a report under a raised token without the run, want 1", len(sc.starts))
	}
}

// TestRestartLengthensLeaseBound guards against a second run of a task on a restarted worker that falls silent: on its new
// clock, the lease in an order for its previous incarnation lasts for the maximum.
func TestRestartLengthensLeaseBound(t *testing.T) {
	sc, start, renewal := startOnRestartingWorker(t)
	sc.report(renewal, medlarorder.Report{Incarnation: 2, Running: []medlarorder.Running{{Task: start.Start.Task, Run: 1}}})
	if got, want := sc.cell.workers[start.Worker].leaseEnd.Sub(sc.now), DefaultConfig().MaxLease; got < want {
		t.Errorf("leases of the restarted worker end after %v, want at least %v", got, want)
	}
}

// TestRegistrationAloneEndsNoRuns guards against a second run of the tasks of a worker whose registration shows another
// incarnation, because another writer has replaced it, while the worker goes on.
func TestRegistrationAloneEndsNoRuns(t *testing.T) {
	sc, start, renewal := startOnRestartingWorker(t)
	running := medlarorder.Report{Running: []medlarorder.Running{{Task: start.Start.Task, Run: 1}}}
	sc.report(renewal, running)
	info := sc.cell.workers[start.Worker].info
	info.Incarnation = 9
	sc.cell.SetWorker(sc.now, info)
	for range 3 {
		sc.dispatch()
		if len(sc.starts)+len(sc.stops) > 0 {
			t.Fatalf("got %d starts and %d stops after the registration of another incarnation, want none", len(sc.starts), len(sc.stops))
		}
		sc.advance(100 * time.Millisecond)
		for _, r := range sc.renewals {
			sc.report(r, running)
		}
	}
}

// TestSupersededStartIsNotRepeatedAtOnce guards against hundreds of starts of one task while a worker stops an earlier
// run of it.
func TestSupersededStartIsNotRepeatedAtOnce(t *testing.T) {
	sc := newScriptedCell(t, 1, Ownership{Fence: 1 << 12, Term: 1})
	sc.report(sc.renewals[0], medlarorder.Report{})
	sc.cell.Accept(sc.now, testSubmission(testStep()))
	sc.dispatch()
	first, starts := sc.starts[0], 0
	for range 20 {
		for _, s := range sc.starts {
			starts++
			superseded := medlarorder.Response{Verdict: medlarorder.VerdictSuperseded, Clock: sc.now.Sub(simEpoch) + time.Second}
			sc.cell.HandleStartResponse(sc.now, first.Worker, s.Start, superseded, nil)
		}
		sc.now = sc.now.Add(10 * time.Millisecond)
		sc.dispatch()
	}
	if starts > 2 {
		t.Errorf("got %d starts of one task in 200 ms, want at most 2", starts)
	}
}

// TestTaskOfReplacedWorkerRunsAgain guards against a task that waits for ever because another worker responds at the
// address of the one that ran it, and its lease seems to be extended with every renewal.
func TestTaskOfReplacedWorkerRunsAgain(t *testing.T) {
	sc, start, renewal := startOnRestartingWorker(t)
	sc.report(renewal, medlarorder.Report{Running: []medlarorder.Running{{Task: start.Start.Task, Run: 1}}})
	for _, r := range sc.renewals {
		if r.Worker != start.Worker {
			sc.report(r, medlarorder.Report{})
		}
	}
	restartedAfter := time.Duration(0)
	for began := sc.now; restartedAfter == 0 && sc.now.Sub(began) < 2*DefaultConfig().MaxLease; sc.advance(100 * time.Millisecond) {
		sc.dispatch()
		if len(sc.starts) > 0 {
			restartedAfter = sc.now.Sub(began)
		}
		for _, r := range sc.renewals {
			report := medlarorder.Report{}
			if r.Worker == start.Worker {
				report.Verdict = medlarorder.VerdictOtherIncarnation
			}
			sc.report(r, report)
		}
	}
	if lease := DefaultConfig().Lease; restartedAfter < lease {
		t.Errorf("task started elsewhere after %v, want after the lease of %v", restartedAfter, lease)
	}
}

// TestEarlierIncarnationExtendsNoLease guards against a task that waits for ever because its worker has started again with a
// lower time of birth, after its clock was set back: its reports are ignored while its lease seems to be extended.
func TestEarlierIncarnationExtendsNoLease(t *testing.T) {
	sc, start, renewal := startOnRestartingWorker(t)
	sc.report(renewal, medlarorder.Report{
		Incarnation: 9, Running: []medlarorder.Running{{Task: start.Start.Task, Run: 1}}, Ended: []medlarorder.Ended{{Number: 5}},
	})
	sc.cell.FlushSucceeded(sc.now, sc.cell.TakeFlush(0))
	for _, r := range sc.renewals {
		if r.Worker != start.Worker {
			sc.report(r, medlarorder.Report{})
		}
	}
	startedAgain := false
	for began := sc.now; !startedAgain && sc.now.Sub(began) < 3*DefaultConfig().MaxLease; sc.advance(100 * time.Millisecond) {
		sc.dispatch()
		startedAgain = len(sc.starts) > 0
		for _, r := range sc.renewals {
			if r.Worker == start.Worker && sc.now.Sub(began) > time.Second && r.Renew.AckedUpTo > 0 && !startedAgain {
				t.Errorf("ends up to %d acknowledged to an incarnation whose reports are ignored", r.Renew.AckedUpTo)
			}
			sc.report(r, medlarorder.Report{Incarnation: 2})
		}
	}
	if !startedAgain {
		t.Error("the task of the earlier incarnation was never started again")
	}
}

// TestRestartCountsBestEffortRunOnce guards against interference that is predicted twice for a run which a restarted
// worker reports again.
func TestRestartCountsBestEffortRunOnce(t *testing.T) {
	step := testStep()
	step.BestEffort, step.Image = true, "i"
	sc := newScriptedCell(t, 1, Ownership{Fence: 1 << 12, Term: 1})
	sc.report(sc.renewals[0], medlarorder.Report{})
	sc.cell.Accept(sc.now, testSubmission(step))
	sc.dispatch()
	start, renewal := sc.starts[0], sc.renewals[0]
	sc.cell.HandleStartResponse(sc.now, start.Worker, start.Start, medlarorder.Response{Verdict: medlarorder.VerdictAccepted, Clock: time.Second}, nil)
	sc.now = sc.now.Add(10 * time.Millisecond)
	sc.report(renewal, medlarorder.Report{Incarnation: 2, Running: []medlarorder.Running{{Task: start.Start.Task, Run: start.Start.Run}}})
	open := 0
	for _, interval := range sc.cell.workers[start.Worker].shareHistory.intervals {
		if interval.to.IsZero() {
			open++
		}
	}
	if open != 1 {
		t.Errorf("got %d open intervals for one run, want 1", open)
	}
}

// TestStartOnUnnoticedIncarnationLengthensLeaseBound guards against a second run of a task beside the first: the clock in the response to
// its start shows that the worker has restarted, so that its lease lasts for the maximum.
func TestStartOnUnnoticedIncarnationLengthensLeaseBound(t *testing.T) {
	sc := newScriptedCell(t, 1, Ownership{Fence: 1 << 12, Term: 1})
	report := medlarorder.Report{Verdict: medlarorder.VerdictAccepted, Incarnation: 1, Clock: time.Minute}
	sc.cell.HandleRenewResponse(sc.now, sc.renewals[0].Worker, false, sc.now, sc.renewals[0].Renew, report, nil)
	sc.cell.Accept(sc.now, testSubmission(testStep()))
	sc.dispatch()
	start := sc.starts[0]
	sc.now = sc.now.Add(10 * time.Millisecond)
	sc.cell.HandleStartResponse(sc.now, start.Worker, start.Start, medlarorder.Response{Verdict: medlarorder.VerdictAccepted, Clock: time.Second}, nil)
	w := sc.cell.workers[start.Worker]
	if got, want := w.leaseEnd.Sub(sc.now), DefaultConfig().MaxLease; got < want {
		t.Errorf("leases of the restarted worker end after %v, want at least %v", got, want)
	}
	sc.dispatch()
	if len(sc.renewals) != 1 || !sc.renewals[0].OutOfBand || sc.renewals[0].Renew.AckedUpTo != 0 {
		t.Errorf("renewals after the response: got %+v, want a request for a report that acknowledges nothing", sc.renewals)
	}
}

// TestOldEndsAreNotAcknowledged guards against a task that runs again after it is done: the end of its run is acknowledged to a restarted
// worker under the number of an end of the previous incarnation.
func TestOldEndsAreNotAcknowledged(t *testing.T) {
	sc, start, renewal := startOnRestartingWorker(t)
	accepted := medlarorder.Response{Verdict: medlarorder.VerdictAccepted, Clock: time.Second}
	sc.cell.HandleStartResponse(sc.now, start.Worker, start.Start, accepted, nil)
	done := medlarorder.Ended{Number: 1, Task: start.Start.Task, Run: 1, Kind: medlarorder.EndDone}
	sc.report(renewal, medlarorder.Report{Ended: []medlarorder.Ended{done}})
	// The table takes a second to store the end.
	sc.now = sc.now.Add(time.Second)
	sc.flush()
	renewalOf := func() medlarorder.Renew {
		sc.dispatch()
		for _, r := range sc.renewals {
			if r.Worker == start.Worker {
				renewal = r
				return r.Renew
			}
		}
		t.Fatal("the worker gets no renewal")
		return medlarorder.Renew{}
	}
	if got := renewalOf(); got.AckedUpTo != 0 {
		t.Errorf("ends up to %d are acknowledged a second after the last report, want none", got.AckedUpTo)
	}
	sc.report(renewal, medlarorder.Report{Ended: []medlarorder.Ended{done}})
	if got := renewalOf(); got.AckedUpTo != 1 {
		t.Errorf("ends up to %d are acknowledged after a report of the same incarnation, want up to 1", got.AckedUpTo)
	}
	sc.report(renewal, medlarorder.Report{})
	if got := renewalOf(); got.AckedUpTo != 0 {
		t.Errorf("ends up to %d are acknowledged again, want none", got.AckedUpTo)
	}
}
