package medlarjob_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/medlarjob"
	"medlarwheel/medlarlease"
	"medlarwheel/medlarquota"
	"medlarwheel/medlarworker"
)

// fixture drives one job against rows that always take effect.
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
	}, &medlarjob.Surroundings{
		Template: &medlarwheel.Template{Name: "round", Kind: medlarwheel.KindBatch, Class: medlarwheel.ClassStandard, Task: &spec},
		Shapes:   []medlarjob.Shape{{Size: medlarwheel.Resources{CPU: 400}, Live: 1}},
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

// apply lets a decision take effect and reads the rows back. It returns the number of rows written.
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
		Token: 1, Phase: phase, Saved: phase == medlarwheel.PhaseCheckpointed, Reason: "exit code 1",
	}
}

func (f *fixture) hear(report medlarwheel.TaskReport) int {
	f.t.Helper()
	var worker *medlarworker.Record
	for _, w := range f.workers {
		if w.Worker().ID == report.Worker {
			worker = w
		}
	}
	return f.apply(f.job.Report(&report, worker, 1, f.now))
}

func (f *fixture) want(state medlarwheel.JobState) {
	if f.t.Helper(); f.job.Job().State != state {
		f.t.Fatalf("job is %s, want %s", f.job.Job().State, state)
	}
}

// Guards against an eviction whose release, checkpoint and next attempt number are not one transaction, and against
// repeated or stale events and owners that change anything.
func TestEvictedTaskResumesOnce(t *testing.T) {
	f := newFixture(t, 1, 2, medlarwheel.TaskSpec{})
	f.place(0, 0)
	f.hear(f.report(0, medlarwheel.PhaseRunning))
	f.apply(f.job.Evict([]int{0}, 1, f.now))
	if rows := f.hear(f.report(0, medlarwheel.PhaseRunning)); rows != 0 {
		t.Fatal("late word of a running task took its eviction back")
	}
	f.want(medlarwheel.JobCheckpointing)
	report := f.report(0, medlarwheel.PhaseCheckpointed)
	if rows := f.hear(report); rows != 2 {
		t.Fatalf("eviction wrote %d rows, want the job and the worker", rows)
	}
	f.want(medlarwheel.JobSuspended)
	if task := f.task(0); task.Checkpoint != 1 || task.Attempt != 2 || len(f.workers[0].Worker().Commitments) != 0 {
		t.Fatalf("after the eviction: %+v, commitments %v", task, f.workers[0].Worker().Commitments)
	}
	f.place(0, 0)
	if run := f.task(0).Run; run.Number != 2 || run.ResumeFrom != 1 {
		t.Fatalf("resumed as %+v", run)
	}
	for _, phase := range []medlarwheel.TaskPhase{
		medlarwheel.PhaseCheckpointed, medlarwheel.PhaseDone, medlarwheel.PhaseFailed, medlarwheel.PhaseRunning,
	} {
		report.Phase = phase
		if rows := f.hear(report); rows != 0 {
			t.Fatalf("repeated report %s of the evicted attempt wrote %d rows", phase, rows)
		}
	}
	early := f.report(0, medlarwheel.PhaseAbsent)
	if early.Token = 0; f.hear(early) != 0 {
		t.Fatal("word of a worker from before the placement changed the job")
	}
	current := f.report(0, medlarwheel.PhaseDone)
	current.Worker = "w1"
	if rows := f.hear(current); rows != 0 {
		t.Fatal("word of another worker changed the job")
	}
	f.apply(f.job.Evict([]int{0}, 3, f.now))
	if _, err := f.job.Wake(2, f.now); err != nil {
		t.Fatal(err)
	}
	current = f.report(0, medlarwheel.PhaseDone)
	if _, err := f.job.Report(&current, f.workers[0], 2, f.now); !errors.Is(err, medlarwheel.ErrStale) {
		t.Fatalf("stale owner: got %v", err)
	}
	current.Attempt++
	if _, err := f.job.Report(&current, f.workers[0], 3, f.now); !errors.Is(err, medlarjob.ErrOutdated) {
		t.Fatalf("report of a later attempt: got %v", err)
	}
}

// Guards against gangs that are placed in part, run on in part, or resume from checkpoints of different rounds.
func TestGang(t *testing.T) {
	f := newFixture(t, 2, 2, medlarwheel.TaskSpec{Gang: true})
	part := []medlarjob.Placement{{Task: 0, Worker: f.workers[0], Incarnation: 1, Resources: medlarwheel.Resources{CPU: 1}}}
	if _, err := f.job.Place(part, 1, f.now); !errors.Is(err, medlarjob.ErrState) {
		t.Fatalf("placed in part: got %v", err)
	}
	tooMuch := []medlarjob.Placement{part[0], part[0]}
	tooMuch[1].Task, tooMuch[1].Resources = 1, medlarwheel.Resources{CPU: 1000}
	if _, err := f.job.Place(tooMuch, 1, f.now); err == nil || f.workers[0].Changes() != 0 {
		t.Fatalf("placed without room: %v, %d changes left behind", err, f.workers[0].Changes())
	}
	f.place(0, 0, 1)
	f.hear(f.report(0, medlarwheel.PhaseRunning))
	f.hear(f.report(0, medlarwheel.PhaseFailed))
	if f.task(1).State != medlarwheel.JobCheckpointing {
		t.Fatalf("a member is %s after another one has failed", f.task(1).State)
	}
	f.hear(f.report(1, medlarwheel.PhaseAbsent))
	for round, last := range []medlarwheel.TaskPhase{
		medlarwheel.PhaseCheckpointed, medlarwheel.PhaseStopped, medlarwheel.PhaseCheckpointed,
	} {
		f.place(0, 0, 1)
		f.hear(f.report(0, medlarwheel.PhaseRunning))
		f.hear(f.report(1, medlarwheel.PhaseRunning))
		f.apply(f.job.Evict([]int{0}, 1, f.now))
		f.hear(f.report(0, medlarwheel.PhaseCheckpointed))
		if len(f.job.Waiting()) != 0 {
			t.Fatal("a member waits for a worker while another one runs")
		}
		f.hear(f.report(1, last))
		want := []medlarwheel.AttemptNumber{2, 2, 4}[round]
		if f.task(0).Checkpoint != want || f.task(1).Checkpoint != want || len(f.job.Waiting()) != 2 {
			t.Fatalf("round %d: checkpoints %d and %d, want %d", round, f.task(0).Checkpoint, f.task(1).Checkpoint, want)
		}
	}
}

// Guards against jobs that fail everywhere and are tried without end, and against blame for a worker that fails every
// task.
func TestFailures(t *testing.T) {
	f := newFixture(t, 1, 3, medlarwheel.TaskSpec{MaxAttempts: 7})
	fail := func(worker int) {
		f.place(worker, 0)
		f.hear(f.report(0, medlarwheel.PhaseFailed))
	}
	config := medlarjob.Default()
	for worker := range 3 {
		f.want(medlarwheel.JobQueued)
		fail(worker)
	}
	f.want(medlarwheel.JobHeld)
	if until := f.task(0).HeldUntil; !until.Equal(f.now.Add(config.HoldWait)) || !strings.Contains(f.job.Job().Reason, "exit code 1") {
		t.Fatalf("held until %v because %q", until, f.job.Job().Reason)
	}
	f.apply(f.job.Forgive("w1", 1, f.now))
	f.want(medlarwheel.JobQueued)
	if f.task(0).Failures != 2 {
		t.Fatalf("%d failures after one is forgiven", f.task(0).Failures)
	}
	fail(1)
	f.want(medlarwheel.JobHeld)
	if rows := f.apply(f.job.Wake(1, f.now.Add(config.HoldWait-1))); rows != 0 {
		t.Fatal("woken before the hold is over")
	}
	f.now = f.now.Add(config.HoldWait)
	f.apply(f.job.Wake(1, f.now))
	for worker := range 3 {
		fail(worker)
	}
	if f.want(medlarwheel.JobHeld); f.task(0).HeldUntil.Sub(f.now) != 2*config.HoldWait {
		t.Fatalf("second hold lasts %v", f.task(0).HeldUntil.Sub(f.now))
	}
	f.now = f.task(0).HeldUntil
	f.apply(f.job.Wake(1, f.now))
	fail(0)
	f.want(medlarwheel.JobFailed)

	same := newFixture(t, 1, 1, medlarwheel.TaskSpec{})
	for range config.HoldFailures {
		same.want(medlarwheel.JobQueued)
		same.place(0, 0)
		same.hear(same.report(0, medlarwheel.PhaseFailed))
	}
	same.want(medlarwheel.JobHeld)
}

// Guards against a task that is placed twice, while it runs, or on a worker that has not been heard, and against a hold
// that ends with another task's.
func TestTasksOfOneJob(t *testing.T) {
	f := newFixture(t, 2, 3, medlarwheel.TaskSpec{})
	for _, c := range []struct {
		placements []medlarjob.Placement
		want       error
	}{
		{[]medlarjob.Placement{{Worker: f.workers[0], Incarnation: 1}, {Worker: f.workers[1], Incarnation: 1}}, medlarjob.ErrState},
		{[]medlarjob.Placement{{Worker: f.workers[0]}}, medlarlease.ErrClockUnknown},
	} {
		if _, err := f.job.Place(c.placements, 1, f.now); !errors.Is(err, c.want) {
			t.Errorf("placed %v: got %v", c.placements, err)
		}
	}
	for _, index := range []int{1, 0} {
		for worker := range 3 {
			f.place(worker, index)
			again := []medlarjob.Placement{{Task: index, Worker: f.workers[(worker+1)%3], Incarnation: 1}}
			if _, err := f.job.Place(again, 1, f.now); !errors.Is(err, medlarjob.ErrState) {
				t.Errorf("placed while it runs: got %v", err)
			}
			f.hear(f.report(index, medlarwheel.PhaseFailed))
		}
		f.now = f.now.Add(time.Second)
	}
	f.apply(f.job.Wake(1, f.task(1).HeldUntil))
	if f.task(1).State != medlarwheel.JobQueued || f.task(0).State != medlarwheel.JobHeld {
		t.Errorf("tasks are %s and %s when the first hold ends", f.task(0).State, f.task(1).State)
	}
}

// Guards against failures that are blamed on a job although its worker is on probation.
func TestFailureOnSuspectWorkerIsNotBlamed(t *testing.T) {
	f := newFixture(t, 1, 1, medlarwheel.TaskSpec{})
	suspect := *f.workers[0].Worker()
	suspect.Probation = &medlarwheel.Probation{Open: true}
	var err error
	f.workers[0], err = medlarworker.Register(suspect, medlarworker.Default())
	f.must(err)
	f.place(0, 0)
	f.hear(f.report(0, medlarwheel.PhaseFailed))
	if f.want(medlarwheel.JobQueued); f.task(0).Failures != 0 {
		t.Fatalf("%d failures are blamed on the job", f.task(0).Failures)
	}
}

// Guards against commands that go out before their transaction has taken effect, from an instance that may not act, or by
// a view of the row that is or may become outdated.
func TestOrdersComeFromCommittedRows(t *testing.T) {
	f := newFixture(t, 1, 1, medlarwheel.TaskSpec{})
	leases := medlarlease.NewTaskLeases(medlarlease.Default())
	leases.Heard("w0", medlarlease.Reading{Incarnation: 1, Uptime: 1}, f.now)
	own := medlarlease.NewOwnership(medlarlease.Default(), medlarwheel.EntryInstance{
		ID: "e0", DataCentre: "dc1", PeerAddress: "127.0.0.1:7000", Incarnation: 1, State: medlarwheel.StateLive,
	})
	shards, _ := medlarlease.Default().PlanShards(medlarlease.NewShardMap("dc1"), []medlarlease.Member{{Instance: "e0", Incarnation: 1}})
	own.Renewed(f.now, 1)
	own.SawMap(shards, f.now)
	shard, err := medlarlease.ShardOfJob("dc1", f.job.Job().ID)
	f.must(err)
	owned, _ := own.MayAct(shard, f.now)
	d, err := f.job.Place([]medlarjob.Placement{{Worker: f.workers[0], Incarnation: 1}}, 1, f.now)
	f.must(err)
	pending := d.Record()
	pending.Track(leases, owned, f.now)
	if orders := pending.Orders(leases, own, f.now); len(orders) != 0 {
		t.Fatalf("orders before the transaction: %v", orders)
	}
	committed := d.Committed(9)
	committed.Track(leases, owned, f.now)
	if orders := committed.Orders(leases, own, f.now); len(orders) != 1 || orders[0].Target() != "w0" {
		t.Fatalf("orders after the transaction: %v", orders)
	}
	renewals := leases.Renewals(own, f.now.Add(6*time.Second))
	if len(renewals) > 0 {
		t.Fatalf("renewal of an attempt that may not have started: %v", renewals)
	}
	evicted, err := committed.Evict([]int{0}, owned.Token, f.now)
	f.must(err)
	leaving := evicted.Record()
	if orders := leaving.Orders(leases, own, f.now); len(orders) != 0 {
		t.Fatalf("orders before the transaction: %v", orders)
	}
	newer, err := committed.Evict([]int{0}, 5, f.now)
	f.must(err)
	later := newer.Committed(10)
	if orders := later.Orders(leases, own, f.now); len(orders) != 0 {
		t.Fatalf("orders of a superseded owner: %v", orders)
	}
	ended := medlarwheel.TaskAttempt{Task: f.job.Job().TaskID(0), Attempt: 2}
	leases.Forget(ended, owned, f.now)
	committed.Track(leases, owned, f.now)
	if orders := committed.Orders(leases, own, f.now); len(orders) != 0 {
		t.Fatalf("start by an older view of the row than one acted on before: %v", orders)
	}

	shards.Epoch, shards.Jobs[shard.Index].Token = 2, 2
	own.SawMap(shards, f.now)
	owned, _ = own.MayAct(shard, f.now)
	committed.Track(leases, owned, f.now)
	if orders := committed.Orders(leases, own, f.now); len(orders) != 0 {
		t.Fatalf("start by a row that an earlier owner can still change: %v", orders)
	}
	d, err = committed.Adopt(owned.Token, f.now)
	f.must(err)
	adopted := d.Committed(10)
	if orders := adopted.Orders(leases, own, f.now); len(orders) != 1 {
		t.Fatalf("orders after the row was adopted: %v", orders)
	}
	cancelling := adopted.Cancel("asked", f.now)
	stopped := cancelling.Committed(11)
	if _, ok := stopped.Orders(leases, own, f.now)[0].(medlarlease.Stop); !ok {
		t.Fatalf("orders of a cancelled job: %v", stopped.Orders(leases, own, f.now))
	}
	if orders := adopted.Orders(leases, own, f.now.Add(time.Minute)); len(orders) != 0 {
		t.Fatalf("orders of an instance whose lease has lapsed: %v", orders)
	}
}

// Guards against batches that lose a change: two views of one worker's row, or a worker's change without its job's.
func TestBatchRefusesSplitChanges(t *testing.T) {
	f, g := newFixture(t, 1, 1, medlarwheel.TaskSpec{}), newFixture(t, 1, 1, medlarwheel.TaskSpec{})
	place := func(job *medlarjob.Record, worker *medlarworker.Record) medlarjob.Decision {
		d, err := job.Place([]medlarjob.Placement{{Worker: worker, Incarnation: 1}}, 1, f.now)
		f.must(err)
		return d
	}
	batch := medlarjob.NewBatch(medlarjob.Default())
	first := place(&f.job, f.workers[0])
	f.must(batch.Add(first))
	value, _ := json.Marshal(g.job.Job())
	other, err := medlarjob.Decode(medlarwheel.Row{Key: "job/dc1.03/other", Version: 1, Value: value}, medlarjob.Default())
	f.must(err)
	if err := batch.Add(place(&other, g.workers[0])); !errors.Is(err, medlarjob.ErrMixedViews) {
		t.Errorf("two views of a worker: got %v", err)
	}
	next := first.Record()
	evicted, err := next.Evict([]int{0}, 1, f.now)
	f.must(err)
	f.must(batch.Add(evicted))
	if err := batch.Add(evicted); !errors.Is(err, medlarjob.ErrMixedViews) {
		t.Errorf("two decisions from one view of a job: got %v", err)
	}
	writes, err := batch.Writes()
	if err != nil || len(writes) != 2 || len(batch.Decisions()) != 1 {
		t.Errorf("a decision and the one that follows from it: %d writes, %v", len(writes), err)
	}
	_, err = f.workers[0].Commit(medlarworker.TaskRef{Task: "x.0", Attempt: 1}, medlarwheel.Resources{CPU: 1}, 1)
	f.must(err)
	if _, err := batch.Writes(); !errors.Is(err, medlarjob.ErrTorn) {
		t.Errorf("change of a worker that belongs to no decision: got %v", err)
	}
}

// Guards against a ledger that differs from what the tasks have, and against a quota lowered below what is used that
// stops a change which uses less of it.
func TestBook(t *testing.T) {
	f := newFixture(t, 2, 1, medlarwheel.TaskSpec{})
	ledger := medlarquota.NewLedger("quota/dc1.03")
	limits := func(cpu medlarwheel.MilliCPU) medlarquota.Limits {
		return medlarquota.Limits{Team: medlarwheel.Resources{CPU: cpu, Memory: 9}}
	}
	book := func(d medlarjob.Decision, err error, limits medlarquota.Limits, want medlarwheel.Resources) medlarjob.Decision {
		t.Helper()
		f.must(err)
		if changed, err := d.Book(ledger, limits); !changed || err != nil || len(ledger.Uses()) != 1 || ledger.Uses()[0].Resources != want {
			t.Fatalf("booked %v, %v: the ledger has %v, want %v", changed, err, ledger.Uses(), want)
		}
		return d
	}
	large := []medlarjob.Placement{{Worker: f.workers[0], Incarnation: 1, Resources: medlarwheel.Resources{CPU: 5}}}
	d, err := f.job.Place(large, 1, f.now)
	if _, quota := d.Book(ledger, limits(4)); err != nil || !errors.Is(quota, medlarquota.ErrQuota) {
		t.Fatalf("beyond the quota: got %v, %v", err, quota)
	}
	f.apply(book(d, err, limits(5), medlarwheel.Resources{CPU: 5}), nil)
	report := f.report(0, medlarwheel.PhaseDone)
	d, err = f.job.Report(&report, f.workers[0], 1, f.now)
	f.must(err)
	next := d.Record()
	small := []medlarjob.Placement{{Task: 1, Worker: f.workers[0], Incarnation: 1, Resources: medlarwheel.Resources{CPU: 2, Memory: 3}}}
	d, err = next.Place(small, 1, f.now)
	f.apply(book(d, err, limits(1), medlarwheel.Resources{CPU: 2, Memory: 3}), nil)
	report = f.report(1, medlarwheel.PhaseDone)
	d, err = f.job.Report(&report, f.workers[0], 1, f.now)
	if _, booked := d.Book(ledger, limits(1)); err != nil || booked != nil || len(ledger.Uses()) != 0 {
		t.Fatalf("after the last task the ledger has %v: %v, %v", ledger.Uses(), err, booked)
	}
}

// Guards against a wave of cancellations that floods the table, forgets jobs, or ends running tasks without a word of
// their workers.
func TestCancelMany(t *testing.T) {
	config := medlarjob.Default()
	total := config.MaxBatchWrites*config.MaxWaveBatches + 10
	var jobs []medlarjob.Record
	for n := range total {
		f := newFixture(t, 1, 1, medlarwheel.TaskSpec{})
		if n%2 == 0 {
			f.place(0, 0)
		}
		value, _ := json.Marshal(f.job.Job())
		record, err := medlarjob.Decode(medlarwheel.Row{Key: fmt.Sprintf("job/dc1.03/%d", n), Version: 1, Value: value}, config)
		f.must(err)
		jobs = append(jobs, record)
	}
	cancelled := 0
	for waves := 0; len(jobs) > 0; waves++ {
		wave, err := config.CancelMany(jobs, "asked", start)
		if err != nil || len(wave.Batches) > config.MaxWaveBatches || waves > 1 {
			t.Fatalf("wave %d: %d batches, %v", waves, len(wave.Batches), err)
		}
		for _, batch := range wave.Batches {
			if writes, err := batch.Writes(); err != nil || len(writes) > config.MaxBatchWrites {
				t.Fatalf("batch of %d writes: %v", len(writes), err)
			}
			for _, d := range batch.Decisions() {
				cancelled++
				if record := d.Record(); record.Job().Tasks[0].State.IsActive() == record.Job().State.IsFinal() {
					t.Fatalf("cancelled job is %s", record.Job().State)
				}
			}
		}
		jobs = wave.Rest
	}
	if cancelled != total {
		t.Fatalf("cancelled %d jobs of %d", cancelled, total)
	}
}

// Guards against a row that grows with the number of attempts.
func TestRowSizeIsBounded(t *testing.T) {
	f := newFixture(t, medlarwheel.MaxJobTasks, 3, medlarwheel.TaskSpec{MaxAttempts: 100})
	size := 0
	for round := range 8 {
		f.now = f.now.Add(24 * time.Hour)
		f.apply(f.job.Wake(1, f.now))
		f.place(round%3, f.job.Waiting()...)
		known := &medlarjob.Known{
			Owned: medlarlease.OwnedShard{Token: 1}, Leases: medlarlease.NewTaskLeases(medlarlease.Default()),
			Worker: func(medlarwheel.WorkerID) (*medlarworker.Record, error) { return f.workers[round%3], nil },
			Saved:  func(medlarwheel.TaskAttempt) bool { return false },
		}
		for index := range medlarwheel.MaxJobTasks {
			report := f.report(index, medlarwheel.PhaseFailed)
			report.Reason = strings.Repeat("<é", 500)
			known.Reports = append(known.Reports, report)
		}
		f.apply(f.job.Advance(known, f.now))
		data, err := json.Marshal(f.job.Job())
		f.must(err)
		size = max(size, len(data))
	}
	t.Logf("largest row: %d bytes", size)
	if limit := medlarjob.Default().MaxBatchBytes; size > limit {
		t.Fatalf("row of %d bytes is larger than a transaction of %d", size, limit)
	}
}

func BenchmarkJobTransition(b *testing.B) {
	f := newFixture(b, 8, 1, medlarwheel.TaskSpec{})
	f.place(0, 0, 1, 2, 3, 4, 5, 6, 7)
	report := f.report(3, medlarwheel.PhaseCheckpointed)
	b.ReportAllocs()
	for b.Loop() {
		d, err := f.job.Report(&report, f.workers[0].Clone(), 1, f.now)
		f.must(err)
		if _, err := d.Writes(); err != nil {
			b.Fatal(err)
		}
	}
}
