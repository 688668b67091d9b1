package medlarcell

import (
	"testing"
	"time"

	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// TestLoadExcludesFragmentedCPU guards against admission of long-running tasks while short urgent tasks find no worker:
// the free CPU of each worker is too little for one of them, although the sum is large.
func TestLoadExcludesFragmentedCPU(t *testing.T) {
	const workers, short = 10, 3000
	capacity := func(longRunning int64) float64 {
		sc := newScriptedCell(t, workers, Ownership{Fence: 1 << 12, Term: 1})
		for _, renewal := range sc.renewals {
			sc.report(renewal, medlarorder.Report{})
		}
		sc.cell.Accept(sc.now, testSubmission(medlarsubmission.Step{Count: 1, Size: medlarsubmission.Size{MilliCPU: short}}))
		sc.cell.Cancel(sc.now, testSubmission().ID)
		for _, w := range sc.cell.workers {
			w.longRunningCPU, w.committed.MilliCPU = longRunning, longRunning
		}
		sc.advance(time.Minute)
		sc.cell.Tick(sc.now)
		return sc.cell.Load(sc.now, "svc").LongRunningHeadroom
	}
	// The workers have 8 cores each. MinReserve of them is always kept free.
	reserve := DefaultConfig().Load.MinReserve * 8 * workers
	for _, c := range []struct {
		longRunning int64
		want        float64
	}{
		{longRunning: 2000, want: 6*workers - reserve},
		{longRunning: 3000, want: 3*workers - reserve},
		{longRunning: 6000, want: -reserve},
	} {
		if got := capacity(c.longRunning); got != c.want {
			t.Errorf("%d thousandths of a core reserved on each worker: %v cores for long-running tasks, want %v", c.longRunning, got, c.want)
		}
	}
}
