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
	sc := newScriptedCell(t, 0, Ownership{Fence: 1 << 12, Term: 1})
	centreOf := map[medlarwheel.WorkerID]medlarwheel.DataCentreID{}
	for i := range 4 {
		info := testWorker(i)
		info.DataCentre = "north"
		if i >= 2 {
			info.DataCentre = "south"
		}
		centreOf[info.ID] = info.DataCentre
		sc.cell.SetWorker(sc.now, info)
	}
	sc.flush()
	sc.dispatch()
	renewals := sc.renewals
	for _, renewal := range renewals {
		sc.report(renewal, medlarorder.Report{})
	}
	started := map[medlarwheel.DataCentreID]int{}
	// place starts the tasks of a submission and responds for the workers in the south.
	place := func(id medlarsubmission.ID) {
		s := testSubmission(testStep())
		s.ID, s.Steps[0].Count = id, 4
		sc.cell.Accept(sc.now, s)
		sc.dispatch()
		clear(started)
		for _, c := range sc.starts {
			started[centreOf[c.Worker]]++
			if centreOf[c.Worker] == "south" {
				response := medlarorder.Response{Verdict: medlarorder.VerdictAccepted, Clock: sc.now.Sub(simEpoch) + time.Second}
				sc.cell.HandleStartResponse(sc.now, c.Worker, c.Start, response, nil)
			}
		}
	}
	place("00000000000000aa")
	if started["north"] == 0 {
		t.Fatal("no task was started in the north before the partition")
	}
	sc.now = sc.now.Add(DefaultConfig().ResponseTimeout)
	place("00000000000000ab")
	if started["north"] > 0 || started["south"] == 0 {
		t.Errorf("tasks by data centre while the north is unresponsive: %v, want some in the south only", started)
	}
	for _, renewal := range renewals {
		if centreOf[renewal.Worker] == "north" {
			sc.report(renewal, medlarorder.Report{})
		}
	}
	place("00000000000000ac")
	if started["north"] == 0 {
		t.Errorf("tasks by data centre after the north has responded: %v, want some in the north", started)
	}
}

// TestOutageLeaseCoversNetworkPartition guards against tasks that all end because their data centre is partitioned while
// the table is unavailable. The owner's authority ends with the partition, and leases of the usual length soon after. The
// usual lease is set to less than the partition.
func TestOutageLeaseCoversNetworkPartition(t *testing.T) {
	const outageLease, partition = 8 * time.Second, 6 * time.Second
	for _, extended := range []bool{false, true} {
		config := DefaultConfig()
		config.Lease, config.LeaseTail = 3*time.Second, 2200*time.Millisecond
		sc := newConfiguredCell(t, config, 1, Ownership{Fence: 1 << 12, Term: 1})
		sc.report(sc.renewals[0], medlarorder.Report{})
		sc.cell.Accept(sc.now, testSubmission(testStep()))
		sc.dispatch()
		start, renewal := sc.starts[0].Start, sc.renewals[0]
		sc.cell.HandleStartResponse(sc.now, "w0", start, medlarorder.Response{Verdict: medlarorder.VerdictAccepted}, nil)
		if extended {
			sc.cell.AllowOutageLease(sc.now.Add(time.Second), outageLease)
		}
		sc.advance(50 * time.Millisecond)
		sc.report(renewal, medlarorder.Report{Running: []medlarorder.Running{{Task: start.Task, Run: 1}}})
		sc.dispatch()
		granted := sc.renewals[0].Renew.LeaseEnd - sc.now.Sub(simEpoch) - time.Second
		sc.advance(partition)
		runs := len(sc.cell.workers["w0"].runs) == 1
		if runs != extended {
			t.Errorf("outage lease allowed: %v, task counts as running after a partition of %v: %v, want equal", extended, partition, runs)
		}
		if extended && granted < outageLease-100*time.Millisecond {
			t.Errorf("granted a lease of %v, want %v", granted, outageLease)
		}
		sc.advance(outageLease - partition + time.Second)
		if len(sc.cell.workers["w0"].runs) > 0 {
			t.Error("a task counts as running after all leases must have ended")
		}
	}
}

// TestLeaseCoversNetworkPartition guards against tasks that all end because their data centre is partitioned from the owner
// for six seconds. The others rarely have room for them, so that they wait for the end of the partition anyway and lose
// their work besides.
func TestLeaseCoversNetworkPartition(t *testing.T) {
	const partition, authority = 6 * time.Second, 1200 * time.Millisecond
	sc := newScriptedCell(t, 2, Ownership{Fence: 1 << 12, Term: 1})
	sc.cell.authorityEnd = sc.now.Add(authority)
	for _, renewal := range sc.renewals {
		sc.report(renewal, medlarorder.Report{})
	}
	sc.cell.Accept(sc.now, testSubmission(testStep()))
	sc.dispatch()
	start := sc.starts[0]
	sc.cell.HandleStartResponse(sc.now, start.Worker, start.Start, medlarorder.Response{Verdict: medlarorder.VerdictAccepted}, nil)
	for end := sc.now.Add(partition); sc.now.Before(end); {
		sc.cell.Authorize(sc.now.Add(authority))
		for _, renewal := range sc.renewals {
			if renewal.Worker == start.Worker {
				sc.loseResponse(renewal)
			} else {
				sc.report(renewal, medlarorder.Report{})
			}
		}
		sc.advance(100 * time.Millisecond)
		sc.dispatch()
		if len(sc.starts) > 0 {
			t.Fatalf("a task was started elsewhere %v after its worker was partitioned", sc.now.Sub(simEpoch))
		}
	}
	if leaseEnd := start.Start.LeaseEnd - time.Second; leaseEnd < partition {
		t.Errorf("the task was started with a lease of %v, want at least %v", leaseEnd, partition)
	}
}

// TestSuccessorWaitsForLongerLeasesOfPredecessor guards against a second start of a task during a rolling change of the lease
// settings: the previous owner has granted longer leases than this one would.
func TestSuccessorWaitsForLongerLeasesOfPredecessor(t *testing.T) {
	const previous, tail = 12 * time.Second, 11 * time.Second
	for _, expired := range []bool{true, false} {
		sc := newInheritingCell(t, Ownership{Fence: 2 << 12, Term: 2, Expired: expired, PreviousLease: previous, PreviousLeaseTail: tail})
		want := previous
		if expired {
			want = tail
		}
		for ; sc.now.Sub(simEpoch) < want; sc.advance(100 * time.Millisecond) {
			for _, renewal := range sc.renewals {
				if renewal.Worker == "w0" {
					sc.report(renewal, medlarorder.Report{})
				}
			}
			sc.dispatch()
			if len(sc.starts) > 0 {
				t.Fatalf("expired %v: a task was started %v after the claim, while a lease may last for %v", expired, sc.now.Sub(simEpoch), want)
			}
		}
	}
}

// TestSuccessorWaitsForOutageLeasesToEnd guards against a second start of a task that still runs in an unreachable data
// centre, under a lease that the previous owner granted while the table was unavailable.
func TestSuccessorWaitsForOutageLeasesToEnd(t *testing.T) {
	const remaining = 7 * time.Second
	sc := newInheritingCell(t, Ownership{Fence: 2 << 12, Term: 2, Expired: true, OutageLeaseRemaining: remaining})
	for ; sc.now.Sub(simEpoch) < remaining; sc.advance(100 * time.Millisecond) {
		for _, renewal := range sc.renewals {
			if renewal.Worker == "w0" {
				sc.report(renewal, medlarorder.Report{})
			}
		}
		sc.cell.Tick(sc.now)
		sc.dispatch()
		if len(sc.starts) > 0 {
			t.Fatalf("a task was started %v after the claim, while a lease may last for %v", sc.now.Sub(simEpoch), remaining)
		}
	}
	if got := sc.cell.OutageLeasesEnd().Sub(simEpoch); got != remaining {
		t.Errorf("outage leases last for %v, want %v", got, remaining)
	}
}
