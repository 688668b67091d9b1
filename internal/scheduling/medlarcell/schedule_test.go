package medlarcell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// scheduledSubmission returns a submission of two steps that run so many times, the first time a second after simEpoch.
func scheduledSubmission(times int, interval time.Duration) medlarsubmission.Submission {
	later := testStep()
	later.After = []int{0}
	s := testSubmission(testStep(), later)
	s.OccurrenceCount, s.FirstDue, s.Interval = times, time.Duration(simEpoch.Add(time.Second).UnixNano()), interval
	return s
}

// scheduleRun runs a scheduled submission through changes of owner. Its worker runs each task for one round.
type scheduleRun struct {
	*scriptedCell
	t          *testing.T
	submission medlarsubmission.Submission
	term       uint64
	progress   Progress
	running    []medlarorder.Running
	ended      []medlarorder.Ended
	lastEnd    medlarorder.EndNumber
	startedAt  map[medlarsubmission.TaskName]time.Time
	// mostCreated is the largest number of tasks that the cell has held.
	mostCreated int
}

func newScheduleRun(t *testing.T, s medlarsubmission.Submission) *scheduleRun {
	r := &scheduleRun{t: t, submission: s, startedAt: map[medlarsubmission.TaskName]time.Time{}}
	r.scriptedCell = &scriptedCell{T: t, now: simEpoch}
	r.changeOwner()
	r.cell.Accept(r.now, s)
	return r
}

func (r *scheduleRun) changeOwner() {
	r.term++
	isFirst := r.cell == nil
	r.scriptedCell = &scriptedCell{T: r.t, cell: New(DefaultConfig()), now: r.now}
	r.cell.Begin(r.now, Ownership{Fence: medlarwheel.FencingToken(r.term << 12), Term: r.term})
	r.cell.Authorize(r.now.Add(time.Hour))
	r.cell.ExcludeSuccessor(r.now.Add(time.Hour))
	if !isFirst {
		if err := r.cell.Restore(r.now, r.submission, r.progress, false); err != nil {
			r.t.Fatal(err)
		}
	}
	r.cell.SetWorker(r.now, testWorker(0))
	r.cell.RestoreWorkers(r.now, []medlarorder.Worker{testWorker(0)})
}

// round lets 50 ms pass. The runs of the last round end, and waiting tasks are started.
func (r *scheduleRun) round() {
	r.advance(50 * time.Millisecond)
	for _, run := range r.running {
		r.lastEnd++
		r.ended = append(r.ended, medlarorder.Ended{Number: r.lastEnd, Task: run.Task, Run: run.Run, Kind: medlarorder.EndDone})
	}
	r.running = nil
	r.report(Command{Worker: "w0"}, medlarorder.Report{Ended: r.ended})
	for r.cell.HasFlush() {
		b := r.cell.TakeFlush(93)
		for _, record := range b.Records {
			if err := r.progress.Merge(record.Progress); err != nil {
				r.t.Fatal(err)
			}
		}
		r.cell.FlushSucceeded(r.now, b)
	}
	r.ended = slices.DeleteFunc(r.ended, func(e medlarorder.Ended) bool { return e.Number <= r.cell.workers["w0"].lastAckedEnd })
	r.dispatch()
	for _, s := range r.starts {
		if at, again := r.startedAt[s.Start.Task]; again {
			r.t.Fatalf("task %s is started at %v, and was at %v", s.Start.Task, r.now.Sub(simEpoch), at.Sub(simEpoch))
		}
		if due := r.submission.Due(s.Start.Task.Occurrence); r.now.Before(due) {
			r.t.Fatalf("task %s is started %v before its time", s.Start.Task, due.Sub(r.now))
		}
		r.startedAt[s.Start.Task] = r.now
		r.running = append(r.running, medlarorder.Running{Task: s.Start.Task, Run: s.Start.Run})
		r.cell.HandleStartResponse(r.now, s.Worker, s.Start, medlarorder.Response{Verdict: medlarorder.VerdictAccepted}, nil)
	}
	if j := r.cell.jobs[r.submission.ID]; j != nil {
		r.mostCreated = max(r.mostCreated, j.schedule.created*j.tasksPerOccurrence)
	}
}

// TestScheduledSubmissionRunsEachOccurrenceOnce guards against occurrences that run early, twice or never, on their way through
// several owners, and against an owner that holds the tasks of all of them.
func TestScheduledSubmissionRunsEachOccurrenceOnce(t *testing.T) {
	const times = 400
	r := newScheduleRun(t, scheduledSubmission(times, 20*time.Millisecond))
	for round := range 400 {
		r.round()
		if round%37 == 36 && round < 300 {
			r.changeOwner()
		}
	}
	if len(r.startedAt) != 2*times {
		t.Errorf("%d tasks have run, want %d", len(r.startedAt), 2*times)
	}
	if state, _ := r.cell.State(r.submission.ID); state != medlarsubmission.StateCompleted {
		t.Errorf("the submission is %q, want completed", state)
	}
	for name, at := range r.startedAt {
		if late := at.Sub(r.submission.Due(name.Occurrence)); late > 2*time.Second {
			t.Errorf("task %s was started %v after its time", name, late)
		}
	}
	if most := 2 * 150; r.mostCreated > most {
		t.Errorf("the owner has held %d tasks, want at most %d of %d", r.mostCreated, most, 2*times)
	}
}

// TestOccurrencesAreCreatedUpToALimit guards against owners that end one after another for want of memory, because all
// occurrences of a submission come due at once.
func TestOccurrencesAreCreatedUpToALimit(t *testing.T) {
	s := largestSubmissions()["20,000 times 10 tasks"]
	c := New(DefaultConfig())
	c.Begin(simEpoch, Ownership{Fence: 1 << 12, Term: 1})
	c.Accept(simEpoch, s)
	for range 100 {
		c.Tick(simEpoch.Add(time.Hour))
	}
	j, limit := c.jobs[s.ID], medlarsubmission.MaxCreatedTasks
	if created := j.schedule.created * j.tasksPerOccurrence; created < limit || created > limit+j.tasksPerOccurrence {
		t.Errorf("%d tasks are created of %d that are due, want about %d", created, 200000, limit)
	}
}

// TestRunOfLaterOccurrenceIsAdopted guards against a run that is stopped as unknown, because the new owner has not created its
// occurrence.
func TestRunOfLaterOccurrenceIsAdopted(t *testing.T) {
	s := scheduledSubmission(20000, time.Millisecond)
	s.Steps[0].Count = 5
	sc := newScriptedCell(t, 0, Ownership{Fence: 2 << 12, Term: 2})
	sc.now = simEpoch.Add(time.Minute)
	if err := sc.cell.Restore(sc.now, s, Progress{}, false); err != nil {
		t.Fatal(err)
	}
	sc.cell.SetWorker(sc.now, testWorker(0))
	last := medlarsubmission.TaskName{Submission: s.ID, Occurrence: 19999}
	sc.report(Command{Worker: "w0"}, medlarorder.Report{Running: []medlarorder.Running{{Task: last, Run: 1}}})
	sc.dispatch()
	if len(sc.stops) > 0 || len(sc.cell.workers["w0"].runs) == 0 {
		t.Errorf("%d stops and %d runs, want the run of the last occurrence adopted", len(sc.stops), len(sc.cell.workers["w0"].runs))
	}
}

// TestStoredFinalStateReleasesTasks guards against finished submissions that hold the memory of their tasks until they are erased.
func TestStoredFinalStateReleasesTasks(t *testing.T) {
	sc := newScriptedCell(t, 1, Ownership{Fence: 1 << 12, Term: 1})
	sc.report(sc.renewals[0], medlarorder.Report{})
	sc.cell.Accept(sc.now, testSubmission(testStep()))
	sc.dispatch()
	start := sc.starts[0]
	sc.cell.HandleStartResponse(sc.now, start.Worker, start.Start, medlarorder.Response{Verdict: medlarorder.VerdictAccepted}, nil)
	running := medlarorder.Report{Running: []medlarorder.Running{{Task: start.Start.Task, Run: start.Start.Run}}}
	sc.report(Command{Worker: "w0"}, running)
	sc.cell.Cancel(sc.now, "00000000000000aa")
	sc.flush()
	if j := sc.cell.jobs["00000000000000aa"]; j.occurrences != nil || j.submission.Steps != nil {
		t.Error("the tasks are still held")
	}
	sc.report(Command{Worker: "w0"}, running)
	sc.advance(2 * time.Second)
	if sc.dispatch(); len(sc.stops) == 0 {
		t.Error("the run of the cancelled submission is not stopped again")
	}
	sc.report(Command{Worker: "w0"}, medlarorder.Report{Ended: []medlarorder.Ended{{
		Number: 1, Task: start.Start.Task, Run: start.Start.Run, Kind: medlarorder.EndStopped,
	}}})
	sc.flush()
	if w := sc.cell.workers["w0"]; len(w.runs) > 0 || w.committed != (medlarsubmission.Size{}) {
		t.Errorf("%d runs with %+v are left on the worker, want none", len(w.runs), w.committed)
	}
	if state, _ := sc.cell.State("00000000000000aa"); state != medlarsubmission.StateCancelled {
		t.Errorf("the submission is %q, want cancelled", state)
	}
}

// TestLaterOccurrencesAreRankedByTheirOwnTime guards against occurrences of a scheduled submission that count as past their deadline when
// they come due, and wait until all other work is done.
func TestLaterOccurrencesAreRankedByTheirOwnTime(t *testing.T) {
	const times, interval = 8, 3 * time.Second
	sc := newScriptedCell(t, 0, Ownership{Fence: 1 << 12, Term: 1})
	scheduled := scheduledSubmission(times, interval)
	sc.cell.Accept(sc.now, scheduled)
	j := sc.cell.jobs[scheduled.ID]
	for k := range times {
		now := scheduled.Due(k)
		fresh := testSubmission(scheduled.Steps...)
		fresh.ID, fresh.AcceptedAt = medlarsubmission.ID(fmt.Sprintf("%016x", k)), now
		sc.cell.Accept(now, fresh)
		first := j.occurrence(k).steps[0]
		got, want := sc.cell.rankOf(now, first), sc.cell.rankOf(now, sc.cell.jobs[fresh.ID].occurrences[0].steps[0])
		if got.Compare(want) != 0 {
			t.Errorf("rank of occurrence %d when it is due: got %+v, want %+v as that of a submission accepted then", k, got, want)
		}
		first.completeTask(0)
	}
}

// TestScheduleAtItsLimitDoesNotHideOthers guards against work that waits beside free workers, because the occurrences of a scheduled
// submission fill the queue, and each is tried by itself.
func TestScheduleAtItsLimitDoesNotHideOthers(t *testing.T) {
	sc := newScriptedCell(t, 4, Ownership{Fence: 1 << 12, Term: 1})
	for _, renewal := range sc.renewals {
		sc.report(renewal, medlarorder.Report{})
	}
	s := scheduledSubmission(medlarsubmission.MaxCreatedTasks, time.Microsecond)
	s.FirstDue = time.Duration(simEpoch.UnixNano())
	s.Steps = s.Steps[:1]
	s.Steps[0].MaxPerWorker, s.Steps[0].RequiredLabel = 1, "missing"
	sc.cell.Accept(sc.now, s)
	sc.cell.Accept(sc.now, testSubmissionWithID(9999, testStep(), 2))
	const limit = 2 * time.Second
	for began := sc.now; ; {
		sc.advance(50 * time.Millisecond)
		for _, w := range sc.cell.workersByID() {
			sc.report(Command{Worker: w.info.ID}, medlarorder.Report{})
			sc.cell.failureCache.workerChanged(w)
		}
		sc.dispatch()
		waited := sc.now.Sub(began)
		if len(sc.starts) > 0 {
			return
		}
		if waited > limit {
			t.Fatalf("beside %d occurrences that no worker can run, the task has waited for %v, want a start within %v", s.OccurrenceCount, waited, limit)
		}
	}
}
