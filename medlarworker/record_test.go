package medlarworker_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/internal/testing/medlarseed"
	"medlarwheel/medlarlease"
	"medlarwheel/medlarworker"
)

var start = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

func newRecord(t testing.TB, cpu medlarwheel.MilliCPU) *medlarworker.Record {
	record, err := medlarworker.Register(medlarwheel.Worker{
		ID: "w1", DataCentre: "dc1", Rack: "r1", Address: "127.0.0.1:7100", Size: medlarwheel.Resources{CPU: cpu, Memory: 1000},
	}, medlarworker.Default())
	if err != nil {
		t.Fatal(err)
	}
	return record
}

func ref(task medlarwheel.TaskID, attempt medlarwheel.AttemptNumber) medlarworker.TaskRef {
	return medlarworker.TaskRef{Task: task, Attempt: attempt, Template: "round", Class: medlarwheel.ClassStandard}
}

func workerProof(task medlarwheel.TaskID, attempt medlarwheel.AttemptNumber, token medlarwheel.FencingToken) medlarlease.Proof {
	proof, err := medlarlease.ProofFromReport(&medlarwheel.TaskReport{
		Worker: "w1", Incarnation: 1, Task: task, Attempt: attempt, Token: token, Phase: medlarwheel.PhaseStopped,
	})
	if err != nil {
		panic(err)
	}
	return proof
}

func cores(n medlarwheel.MilliCPU) medlarwheel.Resources { return medlarwheel.Resources{CPU: n} }

// TestMain fixes the seed of the random tests unless the command line names one.
func TestMain(m *testing.M) { medlarseed.Main(m, medlarseed.Flags{"rapid.seed": "20260302"}) }

// TestCommitAndReleaseRefuseInvalidChanges guards against commitments beyond the worker's size, two commitments of one task,
// changes by superseded owners, and releases without proof that the attempt has ended.
func TestCommitAndReleaseRefuseInvalidChanges(t *testing.T) {
	record := newRecord(t, 10)
	attempt := medlarwheel.TaskAttempt{Task: "j.0", Attempt: 2}
	if _, err := record.Commit(ref("j.0", 2), cores(6), 5); err != nil {
		t.Fatal(err)
	}
	var noCapacity *medlarworker.NoCapacityError
	if _, err := record.Commit(ref("j.1", 1), cores(5), 5); !errors.As(err, &noCapacity) || noCapacity.Free.CPU != 4 {
		t.Errorf("beyond the size: got %v", err)
	}
	for _, c := range []struct {
		attempt medlarwheel.AttemptNumber
		token   medlarwheel.FencingToken
		want    error
	}{
		{2, 5, medlarworker.ErrCommitted},
		{1, 5, medlarwheel.ErrStale},
		{2, 4, medlarwheel.ErrStale},
		{3, 6, medlarworker.ErrOccupied},
	} {
		if _, err := record.Commit(ref("j.0", c.attempt), cores(1), c.token); !errors.Is(err, c.want) {
			t.Errorf("attempt %d token %d: got %v, want %v", c.attempt, c.token, err, c.want)
		}
	}
	release := func(attempt medlarwheel.TaskAttempt, proof medlarlease.Proof) error {
		_, err := record.Release(attempt, proof, medlarwheel.ResultEvicted, start)
		return err
	}
	if err := release(attempt, medlarlease.Proof{}); !errors.Is(err, medlarlease.ErrNoProof) {
		t.Errorf("zero proof: got %v", err)
	}
	if err := release(attempt, workerProof("j.0", 2, 4)); !errors.Is(err, medlarwheel.ErrStale) {
		t.Errorf("proof from a worker that has not seen the token: got %v", err)
	}
	if err := release(medlarwheel.TaskAttempt{Task: "j.0", Attempt: 1}, workerProof("j.0", 1, 5)); !errors.Is(err, medlarwheel.ErrStale) {
		t.Errorf("earlier attempt: got %v", err)
	}
	if err := release(attempt, workerProof("j.0", 2, 5)); err != nil {
		t.Fatal(err)
	}
	if err := release(attempt, workerProof("j.0", 2, 5)); !errors.Is(err, medlarworker.ErrNotCommitted) {
		t.Errorf("released twice: got %v", err)
	}
}

// TestDrainResizeAndRemoveRefuseInvalidChanges guards against marks set by a superseded owner, commitments on a draining
// worker, and a size below the committed resources.
func TestDrainResizeAndRemoveRefuseInvalidChanges(t *testing.T) {
	record := newRecord(t, 10)
	if _, err := record.Commit(ref("j.0", 1), cores(6), 5); err != nil {
		t.Fatal(err)
	}
	if _, err := record.Resize(cores(5), 3); err == nil {
		t.Error("resized below the committed resources")
	}
	if _, err := record.Remove(3); !errors.Is(err, medlarworker.ErrOccupied) {
		t.Errorf("removed with a commitment: got %v", err)
	}
	if _, err := record.Drain(true, 3); err != nil {
		t.Fatal(err)
	}
	if _, err := record.Drain(false, 2); !errors.Is(err, medlarwheel.ErrStale) {
		t.Errorf("mark of a superseded owner: got %v", err)
	}
	if _, err := record.Commit(ref("j.1", 1), cores(1), 5); !errors.Is(err, medlarworker.ErrDraining) {
		t.Errorf("commitment while draining: got %v", err)
	}
}

// TestProbationStartsAndEndsByTrials guards against a worker that is put on probation because of one faulty job, against a
// worker that fails every task and still gets new ones, and against a return from probation without single trials at
// growing intervals.
func TestProbationStartsAndEndsByTrials(t *testing.T) {
	config := medlarworker.Default()
	record := newRecord(t, 10)
	now, number := start, medlarwheel.AttemptNumber(0)
	run := func(job medlarwheel.TaskID, result medlarwheel.AttemptResult) error {
		number++
		if _, err := record.Commit(ref(job, number), cores(1), 1); err != nil {
			return err
		}
		_, err := record.Release(medlarwheel.TaskAttempt{Task: job, Attempt: number}, workerProof(job, number, 1), result, now)
		return err
	}
	for range 5 {
		_ = run("bad.0", medlarwheel.ResultFailed)
	}
	_ = run("b.0", medlarwheel.ResultFailed)
	_ = run("c.0", medlarwheel.ResultDone)
	_ = run("d.0", medlarwheel.ResultFailed)
	_ = run("e.0", medlarwheel.ResultFailed)
	if record.IsOnProbation() {
		t.Fatal("on probation without 3 different jobs in a row")
	}
	_ = run("f.0", medlarwheel.ResultFailed)
	if !record.IsOnProbation() || len(record.Worker().ConsecutiveFailures) != 3 {
		t.Fatalf("not on probation after 3 different jobs in a row: %+v", record.Worker())
	}
	if err := run("g.0", medlarwheel.ResultDone); !errors.Is(err, medlarworker.ErrProbation) {
		t.Fatalf("commitment on probation: got %v", err)
	}
	wait := config.TrialWait
	for range 3 {
		if _, open, _ := record.OpenTrial(1, now.Add(wait-1)); open {
			t.Fatal("trial opened before its time")
		}
		now = now.Add(wait)
		if _, open, err := record.OpenTrial(1, now); !open || err != nil {
			t.Fatalf("trial not opened after %v: %v", wait, err)
		}
		if err := run("g.0", medlarwheel.ResultFailed); err != nil {
			t.Fatal(err)
		}
		if err := run("h.0", medlarwheel.ResultDone); !errors.Is(err, medlarworker.ErrProbation) {
			t.Fatalf("second task after a trial: got %v", err)
		}
		wait *= 2
	}
	now = now.Add(wait)
	for range config.TrialsToReturn {
		if _, open, _ := record.OpenTrial(1, now); !open {
			t.Fatal("no further trial: the probation ended before enough trials had passed")
		}
		if err := run("h.0", medlarwheel.ResultDone); err != nil {
			t.Fatal(err)
		}
	}
	if record.IsOnProbation() || len(record.Worker().ConsecutiveFailures) != 0 {
		t.Fatal("still on probation after its trials")
	}
}

// TestResolveAfterLostResponse guards against a commitment that is made again or given up although its transaction, whose
// response was lost, can still take effect.
func TestResolveAfterLostResponse(t *testing.T) {
	record := newRecord(t, 10)
	write, err := record.Commit(ref("j.0", 1), cores(1), 5)
	if err != nil {
		t.Fatal(err)
	}
	attempt := medlarwheel.TaskAttempt{Task: "j.0", Attempt: 1}
	read := func(version medlarwheel.RowVersion, value []byte) *medlarworker.Record {
		again, err := medlarworker.Decode(medlarwheel.Row{Key: write.Key, Version: version, Value: value}, medlarworker.Default())
		if err != nil {
			t.Fatal(err)
		}
		return again
	}
	empty, _ := newRecord(t, 10).Write()
	for _, c := range []struct {
		again *medlarworker.Record
		want  medlarworker.Resolution
	}{
		{read(8, write.Value), medlarworker.Applied},
		{read(7, empty.Value), medlarworker.Unresolved},
		{read(8, empty.Value), medlarworker.NotApplied},
	} {
		if got := c.again.Resolve(7, attempt, 5); got != c.want {
			t.Errorf("row version %d: got %v, want %v", c.again.Version(), got, c.want)
		}
	}
	if got := read(8, write.Value).Resolve(7, attempt, 6); got != medlarworker.NotApplied {
		t.Errorf("commitment of another owner: got %v", got)
	}
}

func BenchmarkCommit(b *testing.B) {
	record := newRecord(b, 64_000)
	for i := range 40 {
		if _, err := record.Commit(ref(medlarwheel.TaskID(fmt.Sprintf("03-%016x.0", i)), 1), cores(1000), 1); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := record.Clone().Commit(ref("03-ffffffffffffffff.0", 1), cores(1000), 1); err != nil {
			b.Fatal(err)
		}
	}
}
