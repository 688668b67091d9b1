package medlarcell

import (
	"testing"
	"time"

	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// TestLoadExcludesFragmentedCPU guards against a door that accepts tasks that last while short urgent tasks find no worker: what is
// free on each worker is too little for one of them, although it adds up.
func TestLoadExcludesFragmentedCPU(t *testing.T) {
	const workers, short = 10, 3000
	room := func(lasting int64) float64 {
		b := newScriptedCell(t, workers, Ownership{Fence: 1 << 12, Term: 1})
		for _, h := range b.renewals {
			b.report(h, medlarorder.Report{})
		}
		b.cell.Accept(b.now, testSubmission(medlarsubmission.Step{Count: 1, Size: medlarsubmission.Size{MilliCPU: short}}))
		b.cell.Cancel(b.now, testSubmission().ID)
		for _, w := range b.cell.workers {
			w.longRunningCPU, w.committed.MilliCPU = lasting, lasting
		}
		b.advance(time.Minute)
		b.cell.Tick(b.now)
		return b.cell.Load(b.now, "svc").LongRunningHeadroom
	}
	// The workers have 8 cores each. A part of them is kept in any case.
	reserve := DefaultConfig().Load.MinReserve * 8 * workers
	for _, c := range []struct {
		lasting int64
		want    float64
	}{
		{lasting: 2000, want: 6*workers - reserve},
		{lasting: 3000, want: 3*workers - reserve},
		{lasting: 6000, want: -reserve},
	} {
		if got := room(c.lasting); got != c.want {
			t.Errorf("%d thousandths of a core taken on each worker: room of %v cores, want %v", c.lasting, got, c.want)
		}
	}
}
