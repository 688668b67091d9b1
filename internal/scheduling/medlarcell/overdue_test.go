package medlarcell

import (
	"math"
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
	s.rank.Overdue = time.Second
	var runs []*run
	for n := range int(math.Ceil(share)) {
		runs = append(runs, newRun(later, sc.cell.workers["w0"], s, n, 1))
		sc.cell.attach(runs[n])
	}
	if got := sc.cell.overdueTime(later, s, medlarrank.TimelinessExpired); got != 0 {
		t.Errorf("overdue tasks hold their share of %v cores: got %v overdue, want none", share, got)
	}
	sc.cell.moveTo(sc.cell.jobs[testSubmission().ID], "other", 2)
	for _, r := range runs {
		sc.cell.detach(later, r)
	}
	if cpu := sc.cell.overdueCPU; cpu["svc"] != 0 || cpu["other"] != 0 {
		t.Errorf("after the end of all runs of a moved submission: got shares in use of %v, want none", cpu)
	}
	sc.cell.moveTo(sc.cell.jobs[testSubmission().ID], "svc", 3)
	sc.cell.markStarted(sc.cell.jobs[testSubmission().ID])
	if got := sc.cell.overdueTime(later, s, medlarrank.TimelinessExpired); got != 0 {
		t.Errorf("submission that has begun: got %v overdue, want none", got)
	}
}
