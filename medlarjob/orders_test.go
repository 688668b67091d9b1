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

// TestOrdersComeOnlyFromCommittedRows guards against commands that are sent before their transaction has taken effect, from
// an instance that does not own the shard or whose lease has expired, or from a read of the row that is outdated or that
// an earlier owner can still change.
func TestOrdersComeOnlyFromCommittedRows(t *testing.T) {
	f := newFixture(t, 1, 1, medlarwheel.TaskSpec{})
	leases := medlarlease.NewTaskLeases(medlarlease.DefaultConfig())
	leases.RecordReading("w0", medlarlease.ClockReading{Incarnation: 1, Uptime: 1}, f.now)
	ownership := medlarlease.NewOwnership(medlarlease.DefaultConfig(), medlarwheel.EntryInstance{
		ID: "e0", DataCentre: "dc1", PeerAddress: "127.0.0.1:7000", Incarnation: 1, State: medlarwheel.StateLive,
	})
	shards, _ := medlarlease.DefaultConfig().PlanShards(medlarlease.NewShardMap("dc1"), []medlarlease.Member{{Instance: "e0", Incarnation: 1}})
	ownership.RecordRenewal(f.now, 1)
	ownership.RecordShardMap(shards, f.now)
	shard, err := medlarlease.ShardOfJob("dc1", f.job.Job().ID)
	f.must(err)
	owned, _ := ownership.MayAct(shard, f.now)
	d, err := f.job.Place([]medlarjob.Placement{{Worker: f.workers[0], Incarnation: 1}}, 1, f.now)
	f.must(err)
	pending := d.Record()
	pending.TrackLeases(leases, owned, f.now)
	if orders := pending.Orders(leases, ownership, f.now); len(orders) != 0 {
		t.Fatalf("orders before the transaction has taken effect: %v", orders)
	}
	committed := d.Committed(9)
	committed.TrackLeases(leases, owned, f.now)
	if orders := committed.Orders(leases, ownership, f.now); len(orders) != 1 || orders[0].Target() != "w0" {
		t.Fatalf("orders after the transaction: got %v, want one for worker w0", orders)
	}
	renewals := leases.Renewals(ownership, f.now.Add(6*time.Second))
	if len(renewals) > 0 {
		t.Fatalf("renewal of an attempt that may not have started: got %v, want none", renewals)
	}
	evicted, err := committed.Evict([]int{0}, owned.Token, f.now)
	f.must(err)
	leaving := evicted.Record()
	if orders := leaving.Orders(leases, ownership, f.now); len(orders) != 0 {
		t.Fatalf("orders before the transaction has taken effect: %v", orders)
	}
	newer, err := committed.Evict([]int{0}, 5, f.now)
	f.must(err)
	later := newer.Committed(10)
	if orders := later.Orders(leases, ownership, f.now); len(orders) != 0 {
		t.Fatalf("orders of a superseded owner: %v", orders)
	}
	ended := medlarwheel.TaskAttempt{Task: f.job.Job().TaskID(0), Attempt: 2}
	leases.RecordEnd(ended, owned, f.now)
	committed.TrackLeases(leases, owned, f.now)
	if orders := committed.Orders(leases, ownership, f.now); len(orders) != 0 {
		t.Fatalf("orders from an older read of the row than one used before: %v", orders)
	}

	shards.Epoch, shards.Jobs[shard.Index].Token = 2, 2
	ownership.RecordShardMap(shards, f.now)
	owned, _ = ownership.MayAct(shard, f.now)
	committed.TrackLeases(leases, owned, f.now)
	if orders := committed.Orders(leases, ownership, f.now); len(orders) != 0 {
		t.Fatalf("orders from a row that an earlier owner can still change: %v", orders)
	}
	d, err = committed.TakeOver(owned.Token, f.now)
	f.must(err)
	takenOver := d.Committed(10)
	if orders := takenOver.Orders(leases, ownership, f.now); len(orders) != 1 {
		t.Fatalf("orders after the owner has written the row: got %v, want one", orders)
	}
	cancelling := takenOver.Cancel("asked", f.now)
	stopped := cancelling.Committed(11)
	if _, ok := stopped.Orders(leases, ownership, f.now)[0].(medlarlease.Stop); !ok {
		t.Fatalf("first order of a cancelled job is not a stop: %v", stopped.Orders(leases, ownership, f.now))
	}
	if orders := takenOver.Orders(leases, ownership, f.now.Add(time.Minute)); len(orders) != 0 {
		t.Fatalf("orders of an instance whose lease has expired: %v", orders)
	}
}

// TestBatchRefusesInconsistentReadsAndSplitChanges guards against batches that lose a change: decisions made from different
// reads of a row overwrite each other, and a worker's change without the job's change leaves the rows inconsistent.
func TestBatchRefusesInconsistentReadsAndSplitChanges(t *testing.T) {
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
	if err := batch.Add(place(&other, g.workers[0])); !errors.Is(err, medlarjob.ErrInconsistentReads) {
		t.Errorf("decisions from two reads of a worker's row: got %v", err)
	}
	next := first.Record()
	evicted, err := next.Evict([]int{0}, 1, f.now)
	f.must(err)
	f.must(batch.Add(evicted))
	if err := batch.Add(evicted); !errors.Is(err, medlarjob.ErrInconsistentReads) {
		t.Errorf("a decision on a job that is added twice: got %v", err)
	}
	writes, err := batch.Writes()
	if err != nil || len(writes) != 2 || len(batch.Decisions()) != 1 {
		t.Errorf("batch of a decision and its successor: got %d writes and %d decisions, want 2 and 1: %v", len(writes),
			len(batch.Decisions()), err)
	}
	_, err = f.workers[0].Commit(medlarworker.TaskRef{Task: "x.0", Attempt: 1}, medlarwheel.Resources{CPU: 1}, 1)
	f.must(err)
	if _, err := batch.Writes(); !errors.Is(err, medlarjob.ErrSplitTransaction) {
		t.Errorf("change of a worker that belongs to no decision: got %v", err)
	}
}

// TestUpdateLedgerMatchesPlacedTasks guards against a ledger that differs from the resources of the placed tasks, and
// against a quota that was lowered below the usage and blocks a change that reduces the usage.
func TestUpdateLedgerMatchesPlacedTasks(t *testing.T) {
	f := newFixture(t, 2, 1, medlarwheel.TaskSpec{})
	ledger := medlarquota.NewLedger("quota/dc1.03")
	limits := func(cpu medlarwheel.MilliCPU) medlarquota.Limits {
		return medlarquota.Limits{Team: medlarwheel.Resources{CPU: cpu, Memory: 9}}
	}
	update := func(d medlarjob.Decision, err error, limits medlarquota.Limits, want medlarwheel.Resources) medlarjob.Decision {
		t.Helper()
		f.must(err)
		if changed, err := d.UpdateLedger(ledger, limits); !changed || err != nil || len(ledger.Usages()) != 1 || ledger.Usages()[0].Resources != want {
			t.Fatalf("ledger changed: %v, %v; it has %v, want %v", changed, err, ledger.Usages(), want)
		}
		return d
	}
	large := []medlarjob.Placement{{Worker: f.workers[0], Incarnation: 1, Resources: medlarwheel.Resources{CPU: 5}}}
	d, err := f.job.Place(large, 1, f.now)
	if _, quota := d.UpdateLedger(ledger, limits(4)); err != nil || !errors.Is(quota, medlarquota.ErrQuotaExceeded) {
		t.Fatalf("placement beyond the quota: got %v from Place and %v from UpdateLedger", err, quota)
	}
	f.apply(update(d, err, limits(5), medlarwheel.Resources{CPU: 5}), nil)
	report := f.report(0, medlarwheel.PhaseDone)
	d, err = f.job.ApplyReport(&report, f.workers[0], 1, f.now)
	f.must(err)
	next := d.Record()
	small := []medlarjob.Placement{{Task: 1, Worker: f.workers[0], Incarnation: 1, Resources: medlarwheel.Resources{CPU: 2, Memory: 3}}}
	d, err = next.Place(small, 1, f.now)
	f.apply(update(d, err, limits(1), medlarwheel.Resources{CPU: 2, Memory: 3}), nil)
	report = f.report(1, medlarwheel.PhaseDone)
	d, err = f.job.ApplyReport(&report, f.workers[0], 1, f.now)
	if _, refund := d.UpdateLedger(ledger, limits(1)); err != nil || refund != nil || len(ledger.Usages()) != 0 {
		t.Fatalf("after the last task the ledger has %v: %v, %v", ledger.Usages(), err, refund)
	}
}

// TestCancelManyIsBoundedAndComplete guards against cancellations that overload the table with too many or too large
// transactions, skip jobs, or end running tasks before their workers have reported that they stopped.
func TestCancelManyIsBoundedAndComplete(t *testing.T) {
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
		jobs = wave.Remaining
	}
	if cancelled != total {
		t.Fatalf("cancelled %d jobs of %d", cancelled, total)
	}
}

// TestRowSizeIsBounded guards against a row that grows with the number of attempts until it no longer fits into a
// transaction.
func TestRowSizeIsBounded(t *testing.T) {
	f := newFixture(t, medlarwheel.MaxJobTasks, 3, medlarwheel.TaskSpec{MaxAttempts: 100})
	size := 0
	for round := range 8 {
		f.now = f.now.Add(24 * time.Hour)
		f.apply(f.job.EndHolds(1, f.now))
		f.place(round%3, f.job.WaitingTasks()...)
		observations := &medlarjob.Observations{
			Owned: medlarlease.OwnedShard{Token: 1}, Leases: medlarlease.NewTaskLeases(medlarlease.DefaultConfig()),
			Worker:           func(medlarwheel.WorkerID) (*medlarworker.Record, error) { return f.workers[round%3], nil },
			CheckpointExists: func(medlarwheel.TaskAttempt) bool { return false },
		}
		for index := range medlarwheel.MaxJobTasks {
			report := f.report(index, medlarwheel.PhaseFailed)
			report.Reason = strings.Repeat("<é", 500)
			observations.Reports = append(observations.Reports, report)
		}
		f.apply(f.job.Advance(observations, f.now))
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
		d, err := f.job.ApplyReport(&report, f.workers[0].Clone(), 1, f.now)
		f.must(err)
		if _, err := d.Writes(); err != nil {
			b.Fatal(err)
		}
	}
}
