package medlarcell

import (
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// TestUnresponsiveDataCentreGetsNoTasks guards against tasks that are sent into a partitioned data centre, to one worker
// after another, until each of them counts as unresponsive by itself.
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
	// place starts the tasks of a submission and responds for the workers in the south.
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
		t.Fatal("no task was started in the north before the partition")
	}
	b.now = b.now.Add(DefaultConfig().ResponseTimeout)
	place("00000000000000ab")
	if started["north"] > 0 || started["south"] == 0 {
		t.Errorf("tasks by data centre while the north is unresponsive: %v, want some in the south only", started)
	}
	for _, h := range renewals {
		if centreOf[h.Worker] == "north" {
			b.report(h, medlarorder.Report{})
		}
	}
	place("00000000000000ac")
	if started["north"] == 0 {
		t.Errorf("tasks by data centre after the north has responded: %v, want some in the north", started)
	}
}

// TestOutageLeaseCoversNetworkPartition guards against tasks that all end because their data centre is partitioned while
// the table is unavailable. The owner's authority ends with the partition, and leases of the usual length soon after.
func TestOutageLeaseCoversNetworkPartition(t *testing.T) {
	const outageLease, partition = 8 * time.Second, 6 * time.Second
	for _, extended := range []bool{false, true} {
		b := newScriptedCell(t, 1, Ownership{Fence: 1 << 12, Term: 1})
		b.report(b.renewals[0], medlarorder.Report{})
		b.cell.Accept(b.now, testSubmission(testStep()))
		b.dispatch()
		start, renewal := b.starts[0].Start, b.renewals[0]
		b.cell.HandleStartResponse(b.now, "w0", start, medlarorder.Response{Verdict: medlarorder.VerdictAccepted}, nil)
		if extended {
			b.cell.AllowOutageLease(b.now.Add(time.Second), outageLease)
		}
		b.advance(50 * time.Millisecond)
		b.report(renewal, medlarorder.Report{Running: []medlarorder.Running{{Task: start.Task, Run: 1}}})
		b.dispatch()
		granted := b.renewals[0].Renew.LeaseEnd - b.now.Sub(simEpoch) - time.Second
		b.advance(partition)
		runs := len(b.cell.workers["w0"].runs) == 1
		if runs != extended {
			t.Errorf("outage lease allowed: %v, task counts as running after a partition of %v: %v, want equal", extended, partition, runs)
		}
		if extended && granted < outageLease-100*time.Millisecond {
			t.Errorf("granted a lease of %v, want %v", granted, outageLease)
		}
		b.advance(outageLease - partition + time.Second)
		if len(b.cell.workers["w0"].runs) > 0 {
			t.Error("a task counts as running after all leases must have ended")
		}
	}
}

// TestSuccessorWaitsForOutageLeasesToEnd guards against a second start of a task that still runs in an unreachable data
// centre, under a lease that the previous owner granted while the table was unavailable.
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
			t.Fatalf("a task was started %v after the claim, while a lease may last for %v", b.now.Sub(simEpoch), left)
		}
	}
	if got := b.cell.OutageLeasesEnd().Sub(simEpoch); got != left {
		t.Errorf("outage leases last for %v, want %v", got, left)
	}
}
