package medlarjob_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/medlarjob"
	"medlarwheel/medlarlease"
	"medlarwheel/medlarworker"
)

// fixture applies decisions about one job to rows whose transactions always take effect.
type fixture struct {
	t       testing.TB
	job     medlarjob.Record
	workers []*medlarworker.Record
	version medlarwheel.RowVersion
	now     time.Time
}

func newFixture(t testing.TB, tasks, workers int, spec medlarwheel.TaskSpec) *fixture {
	f := &fixture{t: t, now: start, version: 1}
	spec.Size = medlarwheel.Resources{CPU: 1}
	_, write, err := medlarjob.Default().Submit(&medlarwheel.JobRequest{
		Name: "round", Account: "allotments", Template: "round", DataCentre: "dc1", Tasks: tasks,
	}, &medlarjob.SubmitContext{
		Template: &medlarwheel.Template{Name: "round", Kind: medlarwheel.KindBatch, Class: medlarwheel.ClassStandard, Task: &spec},
		Shapes:   []medlarjob.WorkerShape{{Size: medlarwheel.Resources{CPU: 400}, Available: 1}},
	}, start)
	f.must(err)
	f.job, err = medlarjob.Decode(medlarwheel.Row{Key: write.Key, Version: 1, Value: write.Value}, medlarjob.Default())
	f.must(err)
	for n := range workers {
		worker := emptyWorker(medlarwheel.WorkerID(fmt.Sprintf("w%d", n)))
		worker.Size.CPU = 400
		record, err := medlarworker.Register(worker, medlarworker.Default())
		f.must(err)
		f.workers = append(f.workers, record)
	}
	f.apply(f.job.Enqueue(1, f.now))
	return f
}

func (f *fixture) must(err error) {
	if f.t.Helper(); err != nil {
		f.t.Fatal(err)
	}
}

// apply writes the rows of a decision and reads them back. It returns the number of rows written.
func (f *fixture) apply(d medlarjob.Decision, err error) int {
	f.t.Helper()
	f.must(err)
	writes, err := d.Writes()
	f.must(err)
	f.version++
	for _, w := range writes {
		row := medlarwheel.Row{Key: w.Key, Version: f.version, Value: w.Value}
		if w.Key == f.job.Key() {
			f.job, err = medlarjob.Decode(row, medlarjob.Default())
			f.must(err)
		}
		for n := range f.workers {
			if w.Key == medlarwheel.WorkerKey(f.workers[n].Worker().ID) {
				f.workers[n], err = medlarworker.Decode(row, medlarworker.Default())
				f.must(err)
			}
		}
	}
	return len(writes)
}

func (f *fixture) task(index int) *medlarwheel.Task { return &f.job.Job().Tasks[index] }

func (f *fixture) place(worker int, tasks ...int) {
	f.t.Helper()
	var placements []medlarjob.Placement
	for _, index := range tasks {
		placements = append(placements, medlarjob.Placement{
			Task: index, Worker: f.workers[worker], Incarnation: 1, Resources: medlarwheel.Resources{CPU: 1},
		})
	}
	f.apply(f.job.Place(placements, 1, f.now))
}

func (f *fixture) report(index int, phase medlarwheel.TaskPhase) medlarwheel.TaskReport {
	return medlarwheel.TaskReport{
		Worker: f.task(index).Run.Worker, Incarnation: 1, Task: f.job.Job().TaskID(index), Attempt: f.task(index).Attempt,
		Token: 1, Phase: phase, CheckpointWritten: phase == medlarwheel.PhaseCheckpointed, Reason: "exit code 1",
	}
}

func (f *fixture) applyReport(report medlarwheel.TaskReport) int {
	f.t.Helper()
	var worker *medlarworker.Record
	for _, w := range f.workers {
		if w.Worker().ID == report.Worker {
			worker = w
		}
	}
	return f.apply(f.job.ApplyReport(&report, worker, 1, f.now))
}

func (f *fixture) wantState(state medlarwheel.JobState) {
	if f.t.Helper(); f.job.Job().State != state {
		f.t.Fatalf("job is %s, want %s", f.job.Job().State, state)
	}
}

// TestEvictedTaskResumesOnceFromItsCheckpoint guards against a checkpoint that is lost or resumed twice. That happens if the
// release, the checkpoint and the next attempt number of an eviction are not in one transaction, or if a repeated or
// outdated report or a superseded owner still changes the job.
func TestEvictedTaskResumesOnceFromItsCheckpoint(t *testing.T) {
	f := newFixture(t, 1, 2, medlarwheel.TaskSpec{})
	f.place(0, 0)
	f.applyReport(f.report(0, medlarwheel.PhaseRunning))
	f.apply(f.job.Evict([]int{0}, 1, f.now))
	if rows := f.applyReport(f.report(0, medlarwheel.PhaseRunning)); rows != 0 {
		t.Fatal("a late report that the task runs undid its eviction")
	}
	f.wantState(medlarwheel.JobCheckpointing)
	report := f.report(0, medlarwheel.PhaseCheckpointed)
	if rows := f.applyReport(report); rows != 2 {
		t.Fatalf("eviction wrote %d rows, want the job and the worker", rows)
	}
	f.wantState(medlarwheel.JobSuspended)
	if task := f.task(0); task.ResumeFrom != 1 || task.Attempt != 2 || len(f.workers[0].Worker().Commitments) != 0 {
		t.Fatalf("after the eviction: %+v, commitments %v", task, f.workers[0].Worker().Commitments)
	}
	f.place(0, 0)
	if run := f.task(0).Run; run.Number != 2 || run.ResumeFrom != 1 {
		t.Fatalf("attempt 2 is to resume from checkpoint 1, got run %+v", run)
	}
	for _, phase := range []medlarwheel.TaskPhase{
		medlarwheel.PhaseCheckpointed, medlarwheel.PhaseDone, medlarwheel.PhaseFailed, medlarwheel.PhaseRunning,
	} {
		report.Phase = phase
		if rows := f.applyReport(report); rows != 0 {
			t.Fatalf("repeated report %s of the evicted attempt wrote %d rows", phase, rows)
		}
	}
	early := f.report(0, medlarwheel.PhaseAbsent)
	if early.Token = 0; f.applyReport(early) != 0 {
		t.Fatal("a worker's report from before the placement changed the job")
	}
	current := f.report(0, medlarwheel.PhaseDone)
	current.Worker = "w1"
	if rows := f.applyReport(current); rows != 0 {
		t.Fatal("a report of another worker changed the job")
	}
	f.apply(f.job.Evict([]int{0}, 3, f.now))
	if _, err := f.job.EndHolds(2, f.now); err != nil {
		t.Fatal(err)
	}
	current = f.report(0, medlarwheel.PhaseDone)
	if _, err := f.job.ApplyReport(&current, f.workers[0], 2, f.now); !errors.Is(err, medlarwheel.ErrStale) {
		t.Fatalf("stale owner: got %v", err)
	}
	current.Attempt++
	if _, err := f.job.ApplyReport(&current, f.workers[0], 3, f.now); !errors.Is(err, medlarjob.ErrOutdated) {
		t.Fatalf("report of a later attempt: got %v", err)
	}
}

// TestGangIsPlacedEvictedAndResumedAsOne guards against gangs of which only some members are placed or keep running, and
// against members that resume from checkpoints of different points in time because one of them wrote none.
func TestGangIsPlacedEvictedAndResumedAsOne(t *testing.T) {
	f := newFixture(t, 2, 2, medlarwheel.TaskSpec{Gang: true})
	part := []medlarjob.Placement{{Task: 0, Worker: f.workers[0], Incarnation: 1, Resources: medlarwheel.Resources{CPU: 1}}}
	if _, err := f.job.Place(part, 1, f.now); !errors.Is(err, medlarjob.ErrInvalidState) {
		t.Fatalf("placement of one of two members: got %v", err)
	}
	tooMuch := []medlarjob.Placement{part[0], part[0]}
	tooMuch[1].Task, tooMuch[1].Resources = 1, medlarwheel.Resources{CPU: 1000}
	if _, err := f.job.Place(tooMuch, 1, f.now); err == nil || f.workers[0].Changes() != 0 {
		t.Fatalf("placement beyond the free capacity: got %v, %d changes left in the worker's record", err, f.workers[0].Changes())
	}
	f.place(0, 0, 1)
	f.applyReport(f.report(0, medlarwheel.PhaseRunning))
	f.applyReport(f.report(0, medlarwheel.PhaseFailed))
	if f.task(1).State != medlarwheel.JobCheckpointing {
		t.Fatalf("a member is %s after another one has failed", f.task(1).State)
	}
	f.applyReport(f.report(1, medlarwheel.PhaseAbsent))
	for round, last := range []medlarwheel.TaskPhase{
		medlarwheel.PhaseCheckpointed, medlarwheel.PhaseStopped, medlarwheel.PhaseCheckpointed,
	} {
		f.place(0, 0, 1)
		f.applyReport(f.report(0, medlarwheel.PhaseRunning))
		f.applyReport(f.report(1, medlarwheel.PhaseRunning))
		f.apply(f.job.Evict([]int{0}, 1, f.now))
		f.applyReport(f.report(0, medlarwheel.PhaseCheckpointed))
		if len(f.job.WaitingTasks()) != 0 {
			t.Fatal("a member waits for a worker while another one runs")
		}
		f.applyReport(f.report(1, last))
		want := []medlarwheel.AttemptNumber{2, 2, 4}[round]
		if f.task(0).ResumeFrom != want || f.task(1).ResumeFrom != want || len(f.job.WaitingTasks()) != 2 {
			t.Fatalf("round %d: checkpoints %d and %d, want %d", round, f.task(0).ResumeFrom, f.task(1).ResumeFrom, want)
		}
	}
}

// TestRepeatedlyFailingTaskIsHeldThenFails guards against a task that fails on every worker and is restarted without end,
// and against failures that still count against the task after their worker has been put on probation.
func TestRepeatedlyFailingTaskIsHeldThenFails(t *testing.T) {
	f := newFixture(t, 1, 3, medlarwheel.TaskSpec{MaxAttempts: 7})
	fail := func(worker int) {
		f.place(worker, 0)
		f.applyReport(f.report(0, medlarwheel.PhaseFailed))
	}
	config := medlarjob.Default()
	for worker := range 3 {
		f.wantState(medlarwheel.JobQueued)
		fail(worker)
	}
	f.wantState(medlarwheel.JobHeld)
	if heldUntil := f.task(0).HeldUntil; !heldUntil.Equal(f.now.Add(config.HoldWait)) || !strings.Contains(f.job.Job().Reason, "exit code 1") {
		t.Fatalf("held until %v because %q", heldUntil, f.job.Job().Reason)
	}
	f.apply(f.job.ClearWorkerFailures("w1", 1, f.now))
	f.wantState(medlarwheel.JobQueued)
	if f.task(0).Failures != 2 {
		t.Fatalf("%d failures after those on one of three workers are cleared, want 2", f.task(0).Failures)
	}
	fail(1)
	f.wantState(medlarwheel.JobHeld)
	if rows := f.apply(f.job.EndHolds(1, f.now.Add(config.HoldWait-1))); rows != 0 {
		t.Fatal("task left its hold early")
	}
	f.now = f.now.Add(config.HoldWait)
	f.apply(f.job.EndHolds(1, f.now))
	for worker := range 3 {
		fail(worker)
	}
	if f.wantState(medlarwheel.JobHeld); f.task(0).HeldUntil.Sub(f.now) != 2*config.HoldWait {
		t.Fatalf("second hold lasts %v, want %v", f.task(0).HeldUntil.Sub(f.now), 2*config.HoldWait)
	}
	f.now = f.task(0).HeldUntil
	f.apply(f.job.EndHolds(1, f.now))
	fail(0)
	f.wantState(medlarwheel.JobFailed)

	same := newFixture(t, 1, 1, medlarwheel.TaskSpec{})
	for range config.HoldFailures {
		same.wantState(medlarwheel.JobQueued)
		same.place(0, 0)
		same.applyReport(same.report(0, medlarwheel.PhaseFailed))
	}
	same.wantState(medlarwheel.JobHeld)
}

// TestTaskIsPlacedOnceAndHoldsEndSeparately guards against a task that is placed twice, while it runs, or on a worker whose
// clock is not known because it has not reported yet, and against a hold that ends together with another task's hold.
func TestTaskIsPlacedOnceAndHoldsEndSeparately(t *testing.T) {
	f := newFixture(t, 2, 3, medlarwheel.TaskSpec{})
	for _, c := range []struct {
		placements []medlarjob.Placement
		want       error
	}{
		{[]medlarjob.Placement{{Worker: f.workers[0], Incarnation: 1}, {Worker: f.workers[1], Incarnation: 1}}, medlarjob.ErrInvalidState},
		{[]medlarjob.Placement{{Worker: f.workers[0]}}, medlarlease.ErrClockUnknown},
	} {
		if _, err := f.job.Place(c.placements, 1, f.now); !errors.Is(err, c.want) {
			t.Errorf("placement of %v: got %v, want %v", c.placements, err, c.want)
		}
	}
	for _, index := range []int{1, 0} {
		for worker := range 3 {
			f.place(worker, index)
			again := []medlarjob.Placement{{Task: index, Worker: f.workers[(worker+1)%3], Incarnation: 1}}
			if _, err := f.job.Place(again, 1, f.now); !errors.Is(err, medlarjob.ErrInvalidState) {
				t.Errorf("placement of a running task: got %v", err)
			}
			f.applyReport(f.report(index, medlarwheel.PhaseFailed))
		}
		f.now = f.now.Add(time.Second)
	}
	f.apply(f.job.EndHolds(1, f.task(1).HeldUntil))
	if f.task(1).State != medlarwheel.JobQueued || f.task(0).State != medlarwheel.JobHeld {
		t.Errorf("tasks are %s and %s when the first hold ends", f.task(0).State, f.task(1).State)
	}
}

// TestAdvanceAppliesAllReportsToOneWorkerRecord guards against releases that are lost because two reports of one worker are
// applied to different records of its row.
func TestAdvanceAppliesAllReportsToOneWorkerRecord(t *testing.T) {
	f := newFixture(t, 2, 1, medlarwheel.TaskSpec{})
	f.place(0, 0, 1)
	observations := &medlarjob.Observations{
		Owned: medlarlease.OwnedShard{Token: 1}, Leases: medlarlease.NewTaskLeases(medlarlease.DefaultConfig()),
		Reports:          []medlarwheel.TaskReport{f.report(0, medlarwheel.PhaseDone), f.report(1, medlarwheel.PhaseDone)},
		Worker:           func(medlarwheel.WorkerID) (*medlarworker.Record, error) { return f.workers[0].Clone(), nil },
		CheckpointExists: func(medlarwheel.TaskAttempt) bool { return false },
	}
	f.apply(f.job.Advance(observations, f.now))
	if f.wantState(medlarwheel.JobDone); len(f.workers[0].Worker().Commitments) != 0 {
		t.Fatalf("commitments left on the worker after both tasks are done: %v", f.workers[0].Worker().Commitments)
	}
}

// TestFailureOnWorkerOnProbationIsNotCounted guards against failures that count against a task although its worker is on
// probation and probably the cause.
func TestFailureOnWorkerOnProbationIsNotCounted(t *testing.T) {
	f := newFixture(t, 1, 1, medlarwheel.TaskSpec{})
	onProbation := *f.workers[0].Worker()
	onProbation.Probation = &medlarwheel.Probation{TrialOpen: true}
	var err error
	f.workers[0], err = medlarworker.Register(onProbation, medlarworker.Default())
	f.must(err)
	f.place(0, 0)
	f.applyReport(f.report(0, medlarwheel.PhaseFailed))
	if f.wantState(medlarwheel.JobQueued); f.task(0).Failures != 0 {
		t.Fatalf("%d failures on a worker on probation count against the task", f.task(0).Failures)
	}
}
