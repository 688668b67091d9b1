package medlarcell

import (
	"testing"
	"time"

	"medlarwheel/internal/execution/medlarorder"
	"medlarwheel/internal/scheduling/medlarrank"
)

// TestOverdueWorkGetsItsShareOnly guards against expired work that waits without end, and against fresh work that expires because a large
// backlog of expired work comes first.
func TestOverdueWorkGetsItsShareOnly(t *testing.T) {
	const workers = 10
	sc := newScriptedCell(t, workers, Ownership{Fence: 1 << 12, Term: 1})
	for _, renewal := range sc.renewals {
		sc.report(renewal, medlarorder.Report{})
	}
	sc.cell.Tick(sc.now)
	sc.cell.Accept(sc.now, testSubmission(bestEffortStep(4*workers)))
	s := sc.cell.jobs[testSubmission().ID].occurrences[0].steps[0]
	if got := sc.cell.overdueTime(sc.now.Add(time.Hour), s, medlarrank.TimelinessLate); got != 0 {
		t.Errorf("late work: got %v overdue, want none", got)
	}
	if got := sc.cell.overdueTime(sc.now.Add(maxWaitOfExpired), s, medlarrank.TimelinessExpired); got != 0 {
		t.Errorf("expired work that has waited for %v: got %v overdue, want none", maxWaitOfExpired, got)
	}
	later := sc.now.Add(maxWaitOfExpired + time.Second)
	if got := sc.cell.overdueTime(later, s, medlarrank.TimelinessExpired); got != time.Second {
		t.Errorf("expired work that has waited for a second more: got %v overdue, want 1 s", got)
	}
	share := overdueShare * drainRatePrior * 8 * workers
	for n := 0.0; n < share; n++ {
		sc.cell.countOverdue(&run{step: s, overdue: true}, 1)
	}
	if got := sc.cell.overdueTime(later, s, medlarrank.TimelinessExpired); got != 0 {
		t.Errorf("overdue tasks hold their share of %v cores: got %v overdue, want none", share, got)
	}
}
