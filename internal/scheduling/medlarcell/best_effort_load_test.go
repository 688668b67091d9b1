package medlarcell

import (
	"math"
	"testing"
	"time"

	"medlarwheel/internal/acceptance/medlaradmission"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

func bestEffortStep(tasks int) medlarsubmission.Step {
	return medlarsubmission.Step{
		Count: tasks, Size: medlarsubmission.Size{MilliCPU: 1000, MemoryMB: 10}, Estimate: 2 * time.Second, BestEffort: true, Image: "filling-0",
	}
}

// TestIdleCellReportsPriorDrainRate guards against refusals at the start of a cell and after idle times, because no work was done.
func TestIdleCellReportsPriorDrainRate(t *testing.T) {
	const workers = 10
	sc := newScriptedCell(t, workers, Ownership{Fence: 1 << 12, Term: 1})
	for _, renewal := range sc.renewals {
		sc.report(renewal, medlarorder.Report{})
	}
	want := drainRatePrior * 8 * workers
	for range 240 {
		sc.advance(250 * time.Millisecond)
		sc.cell.Tick(sc.now)
	}
	if got := sc.cell.Load(sc.now, "svc").BestEffort.DrainRate; math.Abs(got-want) > 0.01*want {
		t.Errorf("after a minute without work: got a drain rate of %v cores, want %v", got, want)
	}
	for _, w := range sc.cell.workers {
		w.committed.MilliCPU = 7000
	}
	sc.advance(250 * time.Millisecond)
	sc.cell.Tick(sc.now)
	if got := sc.cell.Load(sc.now, "svc").BestEffort.DrainRate; got > workers {
		t.Errorf("one core of each worker is unused: got a drain rate of %v cores, want at most %v", got, workers)
	}
}

// TestAcceptedWorkIsInBacklogAtOnce guards against instances that accept up to the limit again before the next measurement.
func TestAcceptedWorkIsInBacklogAtOnce(t *testing.T) {
	sc := newScriptedCell(t, 2, Ownership{Fence: 1 << 12, Term: 1})
	for _, renewal := range sc.renewals {
		sc.report(renewal, medlarorder.Report{})
	}
	sc.cell.Tick(sc.now)
	s := testSubmission(bestEffortStep(30), testStep())
	sc.cell.Accept(sc.now, s)
	want := medlaradmission.RouteBacklog{Route: "q", Work: 60}
	got := sc.cell.Load(sc.now, "svc").BestEffort
	if len(got.Backlog) != 1 || got.Backlog[0] != want || got.MeanWork != want.Work {
		t.Errorf("after an acceptance: got %+v, want a backlog of %+v", got, want)
	}
	sc.advance(time.Second)
	sc.cell.Tick(sc.now)
	if got := sc.cell.Load(sc.now, "svc").BestEffort; len(got.Backlog) != 1 || got.Backlog[0] != want {
		t.Errorf("after the next measurement: got %+v, want a backlog of %+v", got, want)
	}
	sc.cell.Cancel(sc.now, s.ID)
	sc.advance(time.Second)
	sc.cell.Tick(sc.now)
	if got := sc.cell.Load(sc.now, "svc").BestEffort.Backlog; len(got) != 0 {
		t.Errorf("after the cancellation: got a backlog of %+v, want none", got)
	}
}

// TestNewOwnerReportsBacklogWithoutRate guards against a door that is closed by an owner to which few workers have reported, and against
// one that is open because the owner has not counted what its predecessor has accepted.
func TestNewOwnerReportsBacklogWithoutRate(t *testing.T) {
	sc := newScriptedCell(t, 0, Ownership{Fence: 2 << 12, Term: 2})
	if err := sc.cell.Restore(sc.now, testSubmission(bestEffortStep(30)), Progress{}, false); err != nil {
		t.Fatal(err)
	}
	sc.cell.SetWorker(sc.now, testWorker(0))
	sc.cell.RestoreWorkers(sc.now, []medlarorder.Worker{testWorker(0), testWorker(1)})
	sc.flush()
	sc.advance(time.Second)
	sc.cell.Tick(sc.now)
	got := sc.cell.Load(sc.now, "svc").BestEffort
	if got.DrainRate != 0 || len(got.Backlog) != 1 || got.Backlog[0].Work != 60 {
		t.Errorf("before the workers have reported: got %+v, want the backlog of 60 core-seconds and no rate", got)
	}
}

// TestDrainRateIsMeasuredUnderOverload guards against predictions from a rate that the workers do not reach.
func TestDrainRateIsMeasuredUnderOverload(t *testing.T) {
	f := newLoadFleet(t, 1)
	o := f.playOverload(overloadRate, &door{config: medlaradmission.DefaultConfig()})
	done := o.done / overloadDuration.Seconds()
	if rate := f.cell.Load(f.now, "svc").BestEffort.DrainRate; rate < 0.7*done || rate > 1.4*done {
		t.Errorf("got a drain rate of %.0f cores, want about the %.0f that were done", rate, done)
	}
}
