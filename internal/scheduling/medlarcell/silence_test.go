package medlarcell

import (
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// TestUnresponsiveDataCentreGetsNoTasks guards against tasks that are sent into a partition, one worker after another, until each of
// its workers has been silent for long enough.
func TestUnresponsiveDataCentreGetsNoTasks(t *testing.T) {
	b := newScriptedCell(t, 0, Ownership{Fence: 1 << 12, Term: 1})
	centreOf := map[medlarwheel.WorkerID]medlarwheel.DataCentreID{}
	for i := range 4 {
		info := testWorker(i)
		info.DataCentre = "north"
		if i >= 2 {
			info.DataCentre = "south"
		}
		centreOf[info.ID] = info.DataCentre
		b.cell.SetWorker(b.now, info)
	}
	b.flush()
	b.dispatch()
	renewals := b.renewals
	for _, h := range renewals {
		b.report(h, medlarorder.Report{})
	}
	started := map[medlarwheel.DataCentreID]int{}
	// place starts the tasks of a submission and answers those in the south.
	place := func(id medlarsubmission.ID) {
		s := testSubmission(testStep())
		s.ID, s.Steps[0].Count = id, 4
		b.cell.Accept(b.now, s)
		b.dispatch()
		clear(started)
		for _, c := range b.starts {
			started[centreOf[c.Worker]]++
			if centreOf[c.Worker] == "south" {
				answer := medlarorder.Response{Verdict: medlarorder.VerdictAccepted, Clock: b.now.Sub(simEpoch) + time.Second}
				b.cell.HandleStartResponse(b.now, c.Worker, c.Start, answer, nil)
			}
		}
	}
	place("00000000000000aa")
	if started["north"] == 0 {
		t.Fatal("no task went to the north")
	}
	b.now = b.now.Add(DefaultConfig().ResponseTimeout)
	place("00000000000000ab")
	if started["north"] > 0 || started["south"] == 0 {
		t.Errorf("tasks started while the north is silent: %v", started)
	}
	for _, h := range renewals {
		if centreOf[h.Worker] == "north" {
			b.report(h, medlarorder.Report{})
		}
	}
	place("00000000000000ac")
	if started["north"] == 0 {
		t.Errorf("tasks started after the north has answered: %v", started)
	}
}

// TestOutageLeaseCoversNetworkPartition guards against tasks that all end because their data centre is cut off while the table is away:
// the owner's authority ends with the cut, and leases of the usual length soon after.
func TestOutageLeaseCoversNetworkPartition(t *testing.T) {
	const outageLease, cut = 8 * time.Second, 6 * time.Second
	for _, lengthened := range []bool{false, true} {
		b := newScriptedCell(t, 1, Ownership{Fence: 1 << 12, Term: 1})
		b.report(b.renewals[0], medlarorder.Report{})
		b.cell.Accept(b.now, testSubmission(testStep()))
		b.dispatch()
		start, renewal := b.starts[0].Start, b.renewals[0]
		b.cell.HandleStartResponse(b.now, "w0", start, medlarorder.Response{Verdict: medlarorder.VerdictAccepted}, nil)
		if lengthened {
			b.cell.AllowOutageLease(b.now.Add(time.Second), outageLease)
		}
		b.advance(50 * time.Millisecond)
		b.report(renewal, medlarorder.Report{Running: []medlarorder.Running{{Task: start.Task, Run: 1}}})
		b.dispatch()
		granted := b.renewals[0].Renew.LeaseEnd - b.now.Sub(simEpoch) - time.Second
		b.advance(cut)
		runs := len(b.cell.workers["w0"].runs) == 1
		if runs != lengthened {
			t.Errorf("leases lengthened %v: the task counts as running %v after a cut of %v", lengthened, runs, cut)
		}
		if lengthened && granted < outageLease-100*time.Millisecond {
			t.Errorf("the worker may run for %v, want %v", granted, outageLease)
		}
		b.advance(outageLease - cut + time.Second)
		if len(b.cell.workers["w0"].runs) > 0 {
			t.Error("a task counts as running after every lease must have ended")
		}
	}
}

// TestSuccessorWaitsForOutageLeasesToEnd guards against a second start of a task that still runs, in a data centre out of reach,
// under a lease that the owner before has granted while the table was away.
func TestSuccessorWaitsForOutageLeasesToEnd(t *testing.T) {
	const left = 7 * time.Second
	b := newInheritingCell(t, Ownership{Fence: 2 << 12, Term: 2, Expired: true, OutageLeaseRemaining: left})
	for ; b.now.Sub(simEpoch) < left; b.advance(100 * time.Millisecond) {
		for _, h := range b.renewals {
			if h.Worker == "w0" {
				b.report(h, medlarorder.Report{})
			}
		}
		b.cell.Tick(b.now)
		b.dispatch()
		if len(b.starts) > 0 {
			t.Fatalf("started %v after the claim, while a lease of %v may last", b.now.Sub(simEpoch), left)
		}
	}
	if got := b.cell.OutageLeasesEnd().Sub(simEpoch); got != left {
		t.Errorf("the next owner would learn of leases of %v, want %v", got, left)
	}
}
