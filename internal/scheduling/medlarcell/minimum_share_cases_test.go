package medlarcell

import (
	"testing"
	"time"

	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// largeStep returns a best-effort step whose task fits no test worker but by its memory.
func largeStep() medlarsubmission.Step {
	return medlarsubmission.Step{Count: 1, Size: medlarsubmission.Size{MilliCPU: 20000, MemoryMB: 10}, Estimate: time.Second, BestEffort: true, Image: "etl"}
}

// newReportedCell returns a cell with workers that have reported no runs.
func newReportedCell(t *testing.T, workers int) *scriptedCell {
	sc := newScriptedCell(t, workers, Ownership{Fence: 1 << 12, Term: 1})
	for _, renewal := range sc.renewals {
		sc.report(renewal, medlarorder.Report{})
	}
	return sc
}

// acceptExpired accepts a submission past its hard deadline.
func (sc *scriptedCell) acceptExpired(n int, step medlarsubmission.Step) *job {
	s := testSubmissionWithID(n, step, 2)
	s.AcceptedAt = sc.now.Add(-time.Minute)
	sc.cell.Accept(sc.now, s)
	return sc.cell.jobs[s.ID]
}

// startWithin returns how long it takes until a task of the job is started, up to a limit.
func (sc *scriptedCell) startWithin(j *job, limit time.Duration) time.Duration {
	began := sc.now
	for len(j.occurrences[0].steps[0].ready) == j.submission.Steps[0].Count && sc.now.Sub(began) < limit {
		sc.cell.markResponsive(sc.now)
		sc.advance(50 * time.Millisecond)
		sc.dispatch()
	}
	return sc.now.Sub(began)
}

// TestUnfitSubmissionsDoNotHideOthersFromMinimumShare guards against a submission with nothing running behind thousands that no worker may run.
func TestUnfitSubmissionsDoNotHideOthersFromMinimumShare(t *testing.T) {
	sc := newReportedCell(t, 4)
	for n := range 3000 {
		step := largeStep()
		step.RequiredLabel, step.Size.MemoryMB = "missing", 10+int64(n)
		sc.acceptExpired(n, step)
	}
	const limit = time.Second
	if got := sc.startWithin(sc.acceptExpired(9999, largeStep()), 2*limit); got > limit {
		t.Errorf("start after %v, want within %v", got, limit)
	}
}

// TestAvoidedWorkerGetsMinimumShareIfThereIsNoOther guards against a submission with nothing running after its task has failed on the only worker for it.
func TestAvoidedWorkerGetsMinimumShareIfThereIsNoOther(t *testing.T) {
	sc := newReportedCell(t, 1)
	j := sc.acceptExpired(1, largeStep())
	j.occurrences[0].steps[0].tasks[0].avoidWorker = "w0"
	const limit = time.Second
	if got := sc.startWithin(j, 2*limit); got > limit {
		t.Errorf("start after %v, want within %v", got, limit)
	}
}

// TestReservationForGangLeavesMinimumShares guards against submissions with nothing running while all workers are kept free for a gang.
func TestReservationForGangLeavesMinimumShares(t *testing.T) {
	sc := newReportedCell(t, 1)
	w := sc.cell.workers["w0"]
	w.committed.MilliCPU = w.info.Capacity.MilliCPU
	gang := testGang()
	gang.Count = 1
	reserved := sc.acceptExpired(1, gang).occurrences[0].steps[0]
	sc.cell.gangReservation = gangReservation{step: reserved, tasks: map[*worker]int{w: 1}, startsAt: sc.now, until: sc.now.Add(time.Minute)}
	const limit = time.Second
	if got := sc.startWithin(sc.acceptExpired(2, largeStep()), 2*limit); got > limit {
		t.Errorf("start after %v, want within %v", got, limit)
	}
}

// TestNewOwnerDoesNotSlowGangsAndLongRunningTasks guards against a new owner that gives tasks a minimum share which may have none, and moves them.
func TestNewOwnerDoesNotSlowGangsAndLongRunningTasks(t *testing.T) {
	for name, change := range map[string]func(*medlarsubmission.Step){
		"gang":         func(s *medlarsubmission.Step) { s.Gang = true },
		"long-running": func(s *medlarsubmission.Step) { s.LongRunning = true },
	} {
		t.Run(name, func(t *testing.T) {
			sc := newScriptedCell(t, 1, Ownership{Fence: 2 << 12, Term: 2})
			step := largeStep()
			change(&step)
			s := testSubmissionWithID(1, step, 2)
			if err := sc.cell.Restore(sc.now, s, Progress{}, false); err != nil {
				t.Fatal(err)
			}
			sc.report(sc.renewals[0], medlarorder.Report{Running: []medlarorder.Running{{Task: medlarsubmission.TaskName{Submission: s.ID}, Run: 1}}})
			if j := sc.cell.jobs[s.ID]; j.runs != 1 || j.minimumShareRuns != 0 {
				t.Errorf("runs with a full and with a minimum share: got %d and %d, want 1 and 0", j.runs, j.minimumShareRuns)
			}
		})
	}
}

// TestWorkThatHasOnlyMinimumSharesIsOverdue guards against expired work that stays at the minimum pace, since it counts as begun.
func TestWorkThatHasOnlyMinimumSharesIsOverdue(t *testing.T) {
	sc := newReportedCell(t, 1)
	step := largeStep()
	step.Count = 2
	j := sc.acceptExpired(1, step)
	sc.startWithin(j, time.Second)
	sc.cell.HandleStartResponse(sc.now, "w0", sc.starts[0].Start, medlarorder.Response{Verdict: medlarorder.VerdictAccepted}, nil)
	s := j.occurrences[0].steps[0]
	if got := sc.cell.overdueTime(sc.now.Add(time.Minute), s, s.rank.Timeliness); !j.started || got == 0 {
		t.Errorf("submission that has begun: %v, with a minimum share: got %v overdue, want more than none", j.started, got)
	}
}
