package medlarlease_test

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/medlarlease"
)

func placedJob(number medlarwheel.AttemptNumber) *medlarwheel.Job {
	job := &medlarwheel.Job{ID: "03-0000000000000001", DataCentre: "dc1", Token: 1, Template: "round", Tasks: []medlarwheel.Task{{
		State: medlarwheel.JobPlacing, Attempt: number,
		Run: &medlarwheel.Attempt{Number: number, Worker: "w1", Token: 1},
	}}}
	if number > 1 {
		job.Tasks[0].Ended = &medlarwheel.Ending{Attempt: number - 1, Worker: "w0", Cause: medlarwheel.EndingWorkerWord}
	}
	return job
}

func tracked(attempt medlarwheel.TaskAttempt, placed medlarwheel.FencingToken) medlarlease.TrackedAttempt {
	return medlarlease.TrackedAttempt{Attempt: attempt, Worker: "w1", Incarnation: 1, Placed: placed, Started: true}
}

// Guards against a start without evidence that the attempt before has ended: from a zero proof, from a proof that is not
// in the committed row yet, from a row without the ending, and from a zero command.
func TestStartNeedsProof(t *testing.T) {
	f := newOwnership("e1")
	f.own.Renewed(start, 1)
	f.own.SawMap(f.shards, start)
	shard := medlarlease.ShardID{DataCentre: "dc1", Kind: medlarlease.ShardOfJobs, Index: 3}
	owned, _ := f.own.MayAct(shard, start)
	leases := medlarlease.NewTaskLeases(medlarlease.Default())
	leases.Heard("w1", medlarlease.Reading{Incarnation: 1, Uptime: 1}, start)
	job := placedJob(2)
	leases.Track(tracked(medlarwheel.TaskAttempt{Task: job.TaskID(0), Attempt: 2}, 1), owned, start)

	report := &medlarwheel.TaskReport{
		Worker: "w0", Incarnation: 1, Task: job.TaskID(0), Attempt: 1, Token: 1, Phase: medlarwheel.PhaseStopped,
	}
	word, err := medlarlease.FromWorker(report)
	if err != nil {
		t.Fatal(err)
	}
	report.Phase = medlarwheel.PhaseRunning
	if _, err := medlarlease.FromWorker(report); !errors.Is(err, medlarlease.ErrNoProof) {
		t.Fatalf("a running attempt proves its end: %v", err)
	}
	for name, proof := range map[string]medlarlease.Proof{"zero": {}, "not recorded": word} {
		if _, err := proof.Start(leases, f.own, job, 0, start); !errors.Is(err, medlarlease.ErrNoProof) {
			t.Errorf("%s proof: got %v", name, err)
		}
	}
	if _, err := medlarlease.Recorded(job, 0, 0); !errors.Is(err, medlarlease.ErrNoProof) {
		t.Errorf("uncommitted row: got %v", err)
	}
	bare := placedJob(2)
	bare.Tasks[0].Ended = nil
	if _, err := medlarlease.Recorded(bare, 5, 0); !errors.Is(err, medlarlease.ErrNoProof) {
		t.Errorf("row without the ending: got %v", err)
	}
	if _, err := json.Marshal(medlarlease.Start{}); err == nil {
		t.Error("a zero start can be sent")
	}
	recorded, err := medlarlease.Recorded(job, 5, 0)
	if err != nil {
		t.Fatal(err)
	}
	if command, err := recorded.Start(leases, f.own, job, 0, start); err != nil || command.Target() != "w1" {
		t.Errorf("recorded proof: got %v", err)
	}
}

// Guards against proofs that name another worker, another attempt or a worker that has not heard of the commitment.
func TestProofCovers(t *testing.T) {
	proof, err := medlarlease.FromWorker(&medlarwheel.TaskReport{
		Worker: "w1", Incarnation: 1, Task: "j.0", Attempt: 2, Token: 7, Phase: medlarwheel.PhaseAbsent,
	})
	if err != nil {
		t.Fatal(err)
	}
	attempt := medlarwheel.TaskAttempt{Task: "j.0", Attempt: 2}
	if err := proof.Covers(attempt, "w1", 7); err != nil {
		t.Fatal(err)
	}
	other := medlarwheel.TaskAttempt{Task: "j.0", Attempt: 3}
	if proof.Covers(other, "w1", 7) == nil || proof.Covers(attempt, "w2", 7) == nil {
		t.Fatal("covers another attempt or worker")
	}
	if err := proof.Covers(attempt, "w1", 8); !errors.Is(err, medlarwheel.ErrStale) {
		t.Fatalf("word of a worker that has seen only a lower token: got %v", err)
	}
}

// Guards against an expiry that is concluded too early: before term and margin since the last grant, before the earlier
// owner has stopped, or without a later confirmation that nobody else owned the shard.
func TestExpiryWaits(t *testing.T) {
	config := medlarlease.Default()
	f := newOwnership("e1")
	shard := medlarlease.ShardID{DataCentre: "dc1", Kind: medlarlease.ShardOfJobs, Index: 3}
	owned := func(at time.Time) medlarlease.OwnedShard {
		f.own.Renewed(at, 1)
		f.own.SawMap(f.shards, at)
		shard, _ := f.own.MayAct(shard, at)
		return shard
	}
	attempt := medlarwheel.TaskAttempt{Task: "03-0000000000000001.0", Attempt: 1}
	wait := config.TaskTerm + config.TaskMargin
	leases := medlarlease.NewTaskLeases(config)
	leases.Track(tracked(attempt, 1), owned(start), start)
	leases.Heard("w1", medlarlease.Reading{Incarnation: 1, Uptime: 1}, start.Add(10*time.Second))
	owned(start.Add(11 * time.Second))
	if renewals := leases.Renewals(f.own, start.Add(11*time.Second)); len(renewals) != 1 || renewals[0].Until.IsZero() {
		t.Fatalf("renewals: %v", renewals)
	}
	if _, err := leases.Expired(attempt, owned(start.Add(10*time.Second+wait-1))); err == nil {
		t.Fatal("expired before term and margin since the reading of the last grant")
	}
	if _, err := leases.Expired(attempt, owned(start.Add(10*time.Second+wait))); err != nil {
		t.Fatal(err)
	}

	inherited := medlarlease.NewTaskLeases(config)
	inherited.Track(tracked(attempt, 0), owned(start.Add(time.Minute)), start.Add(time.Minute))
	late := start.Add(time.Hour)
	if _, err := inherited.Expired(attempt, owned(late)); err == nil {
		t.Fatal("expired while an earlier owner may still renew")
	}
	inherited.Settle(owned(late), late)
	if _, err := inherited.Expired(attempt, owned(late.Add(wait-1))); err == nil {
		t.Fatal("expired before term and margin since the earlier owner stopped")
	}
	if _, err := inherited.Expired(attempt, owned(late.Add(wait))); err != nil {
		t.Fatal(err)
	}
}

// Guards against settling while an earlier owner acts by an older map and may still be renewing within the horizon.
func TestWatchSettled(t *testing.T) {
	config := medlarlease.Default()
	watch := medlarlease.NewWatch(config, "e1")
	now := start
	read := func(epoch medlarwheel.Epoch, version medlarwheel.RowVersion) {
		value, _ := json.Marshal(medlarlease.InstanceLease{Instance: medlarwheel.EntryInstance{
			ID: "e2", DataCentre: "dc1", PeerAddress: "127.0.0.1:7001", Incarnation: 1, State: medlarwheel.StateLive,
		}, MapEpoch: epoch})
		now = now.Add(2 * time.Second)
		row := medlarwheel.Row{Key: medlarlease.InstanceKey("dc1", "e2"), Version: version, Value: value}
		if err := watch.Observe([]medlarwheel.Row{row}, now, now); err != nil {
			t.Fatal(err)
		}
	}
	read(4, 1)
	if watch.Settled(5, start) {
		t.Fatal("settled while the earlier owner acts by an older map")
	}
	for now.Before(start.Add(config.Horizon)) {
		read(4, 1)
	}
	if watch.Settled(5, start) || len(watch.Live()) != 0 {
		t.Fatal("settled before the horizon, or a silent instance counts as live")
	}
	read(4, 1)
	read(4, 1)
	if !watch.Settled(5, start) {
		t.Fatal("not settled beyond the horizon")
	}
	read(5, 2)
	if !watch.Settled(5, start) || watch.Settled(6, start) {
		t.Fatal("does not go by the acknowledged epoch")
	}
	if watch.Settled(5, now) {
		t.Fatal("settled by a read from before the shard was acquired")
	}
}

// Guards against a worker that runs an attempt again after it has ended, or obeys a superseded owner.
func TestFence(t *testing.T) {
	var fence medlarlease.Fence
	if err := fence.Admit(1, 5); err != nil {
		t.Fatal(err)
	}
	if err := fence.Admit(1, 4); !errors.Is(err, medlarwheel.ErrStale) {
		t.Fatalf("lower token: got %v", err)
	}
	fence.End(2)
	if err := fence.Admit(2, 6); !errors.Is(err, medlarwheel.ErrStale) {
		t.Fatalf("ended attempt: got %v", err)
	}
	if err := fence.Admit(3, 6); err != nil || fence.Token() != 6 {
		t.Fatalf("next attempt: got %v", err)
	}
}
