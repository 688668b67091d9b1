package medlarcell

import (
	"testing"
	"time"

	"medlarwheel/internal/execution/medlarorder"
)

// TestLeaseThatSuccessorMayHaveExtendedIsNotOver guards against a second run of a task by an owner without the table: its successor, of
// which it does not know, reaches the worker that is silent for it, and extends the lease.
func TestLeaseThatSuccessorMayHaveExtendedIsNotOver(t *testing.T) {
	for _, term := range []uint64{1, 2} {
		sc := newScriptedCell(t, 2, Ownership{Fence: 2 << 12, Term: term})
		sc.cell.noSuccessorUntil = sc.now.Add(time.Second)
		for _, r := range sc.renewals {
			if term == 1 || r.Worker != testWorker(1).ID {
				sc.report(r, medlarorder.Report{})
			}
		}
		if term == 1 {
			sc.cell.Accept(sc.now, testSubmission(testStep()))
		} else if err := sc.cell.Restore(sc.now, testSubmission(testStep()), Progress{}, false); err != nil {
			t.Fatal(err)
		}
		sc.dispatch()
		if got, want := len(sc.starts), int(2-term); got != want {
			t.Fatalf("term %d: got %d starts, want %d", term, got, want)
		}
		silent := testWorker(1).ID
		if term == 1 {
			start := sc.starts[0]
			silent = start.Worker
			sc.cell.HandleStartResponse(sc.now, silent, start.Start, medlarorder.Response{Verdict: medlarorder.VerdictAccepted}, nil)
		}
		started := 0
		round := func() {
			for _, r := range sc.renewals {
				if r.Worker == silent {
					sc.loseResponse(r)
				} else {
					sc.report(r, medlarorder.Report{})
				}
			}
			sc.advance(50 * time.Millisecond)
			sc.dispatch()
			started += len(sc.starts)
		}
		for range 300 {
			round()
		}
		if started > 0 {
			t.Errorf("term %d: the task was started again while a successor may have extended the lease of its worker", term)
		}
		sc.cell.ExcludeSuccessor(sc.now)
		for range 20 {
			round()
		}
		if started != 1 {
			t.Errorf("term %d: got %d starts once no successor can have claimed the cell before the end of the lease, want 1", term, started)
		}
	}
}
