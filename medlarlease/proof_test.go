package medlarlease_test

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/medlarlease"
)

// testOwner is an instance that owns all shards and tracks the lease of one attempt.
type testOwner struct {
	ownership *medlarlease.Ownership
	shards    medlarlease.ShardMap
	leases    *medlarlease.TaskLeases
	attempt   medlarwheel.TaskAttempt
}

func newOwner(number medlarwheel.AttemptNumber) *testOwner {
	config := medlarlease.DefaultConfig()
	shards, _ := config.PlanShards(medlarlease.NewShardMap("dc1"), []medlarlease.Member{{Instance: "e1", Incarnation: 1}})
	return &testOwner{
		ownership: medlarlease.NewOwnership(config, medlarwheel.EntryInstance{
			ID: "e1", DataCentre: "dc1", PeerAddress: "127.0.0.1:7000", Incarnation: 1, State: medlarwheel.StateLive,
		}),
		shards: shards, leases: medlarlease.NewTaskLeases(config),
		attempt: medlarwheel.TaskAttempt{Task: "03-0000000000000001.0", Attempt: number},
	}
}

// renewAt renews the instance's lease at now, reads the shard map and returns the shard of the attempt.
func (o *testOwner) renewAt(now time.Time) medlarlease.OwnedShard {
	o.ownership.RecordRenewal(now, 1)
	o.ownership.RecordShardMap(o.shards, now)
	owned, _ := o.ownership.MayAct(medlarlease.ShardID{DataCentre: "dc1", Kind: medlarlease.ShardKindJob, Index: 3}, now)
	return owned
}

func (o *testOwner) track(placed medlarwheel.FencingToken, now time.Time) {
	o.leases.Track(medlarlease.TrackedAttempt{
		Attempt: o.attempt, Worker: "w1", Incarnation: 2, PlacedToken: placed, Started: true,
	}, o.renewAt(now), now)
}

func (o *testOwner) recordReading(incarnation medlarwheel.Incarnation, now time.Time) {
	o.leases.RecordReading("w1", medlarlease.ClockReading{Incarnation: incarnation, Uptime: 1}, now)
}

func (o *testOwner) job() *medlarwheel.Job {
	return &medlarwheel.Job{
		ID: "03-0000000000000001", DataCentre: "dc1", Token: 1, Template: "round", Tasks: []medlarwheel.Task{{
			State: medlarwheel.JobPlacing, Attempt: o.attempt.Attempt,
			Run:         &medlarwheel.Attempt{Number: o.attempt.Attempt, Worker: "w1", Token: 1},
			PreviousEnd: &medlarwheel.AttemptEnd{Attempt: o.attempt.Attempt - 1, Worker: "w0", Cause: medlarwheel.EndReportedByWorker},
		}},
	}
}

// Guards against a Start without evidence that the previous attempt has ended: from a zero proof, from a proof that is not
// in the committed row yet, or from a row without the end of that attempt. Also guards against a Start by an instance
// whose lease has expired, from the row of another owner, for an attempt whose lease has expired or that ended before an
// outage of the table, and against a zero Start that can be encoded.
func TestStartNeedsRecordedProof(t *testing.T) {
	o := newOwner(2)
	job := o.job()
	o.track(1, startTime)
	fromReport, err := medlarlease.ProofFromReport(&medlarwheel.TaskReport{
		Worker: "w0", Incarnation: 1, Task: o.attempt.Task, Attempt: 1, Token: 1, Phase: medlarwheel.PhaseStopped,
	})
	if err != nil {
		t.Fatal(err)
	}
	for name, proof := range map[string]medlarlease.Proof{"zero": {}, "not recorded": fromReport} {
		if _, err := proof.Start(o.leases, o.ownership, job, 0, startTime); !errors.Is(err, medlarlease.ErrNoProof) {
			t.Errorf("%s proof: got error %v, want %v", name, err, medlarlease.ErrNoProof)
		}
	}
	running := medlarwheel.TaskReport{Worker: "w0", Incarnation: 1, Task: o.attempt.Task, Attempt: 1, Phase: medlarwheel.PhaseRunning}
	if _, err := medlarlease.ProofFromReport(&running); !errors.Is(err, medlarlease.ErrNoProof) {
		t.Errorf("report of a running attempt: got error %v, want no proof", err)
	}
	withoutEnd := o.job()
	withoutEnd.Tasks[0].PreviousEnd = nil
	if _, err := medlarlease.ProofFromJob(withoutEnd, 5, 0); !errors.Is(err, medlarlease.ErrNoProof) {
		t.Errorf("row without the end of the previous attempt: got error %v", err)
	}
	if _, err := medlarlease.ProofFromJob(job, 0, 0); !errors.Is(err, medlarlease.ErrNoProof) {
		t.Errorf("row that is not committed: got error %v", err)
	}
	if _, err := json.Marshal(medlarlease.Start{}); err == nil {
		t.Error("a zero Start can be encoded")
	}
	recorded, err := medlarlease.ProofFromJob(job, 5, 0)
	if err != nil {
		t.Fatal(err)
	}
	startCommand := func(now time.Time, token medlarwheel.FencingToken) (medlarlease.Start, error) {
		job.Token = token
		return recorded.Start(o.leases, o.ownership, job, 0, now)
	}
	o.recordReading(1, startTime)
	if _, err := startCommand(startTime, 1); !errors.Is(err, medlarlease.ErrClockUnknown) {
		t.Errorf("clock reading of an earlier incarnation: got error %v", err)
	}
	o.recordReading(2, startTime)
	if command, err := startCommand(startTime, 1); err != nil || command.Order().LeaseEnd.Uptime != 1+medlarwheel.Duration(medlarlease.DefaultConfig().TaskTerm) {
		t.Errorf("proof from the committed row: got %+v, error %v", command.Order(), err)
	}
	if _, err := startCommand(startTime, 0); !errors.Is(err, medlarwheel.ErrStale) {
		t.Errorf("row of an earlier owner: got error %v", err)
	}
	o.recordReading(3, startTime)
	if command, err := startCommand(startTime, 1); err != nil || command.Order().LeaseEnd != (medlarlease.ClockReading{Incarnation: 2}) {
		t.Errorf("restarted agent: got lease end %v, error %v", command.Order().LeaseEnd, err)
	}
	late := startTime.Add(time.Hour)
	if _, err := o.leases.ProofOfExpiry(o.attempt, o.renewAt(late)); err != nil {
		t.Fatal(err)
	}
	o.leases.RecordReading("w1", medlarlease.ClockReading{Incarnation: 2, Uptime: 9}, late)
	if _, err := startCommand(late, 1); !errors.Is(err, medlarwheel.ErrStale) {
		t.Errorf("attempt whose lease has expired: got error %v", err)
	}
	if renewals := o.leases.Renewals(o.ownership, late); len(renewals) > 0 {
		t.Errorf("renewals of an attempt whose lease has expired: got %v, want none", renewals)
	}
	if _, err := startCommand(late.Add(time.Minute), 1); !errors.Is(err, medlarwheel.ErrStale) {
		t.Errorf("instance whose lease has expired: got error %v", err)
	}
	late = late.Add(time.Hour)
	o.leases.RecordEnd(o.attempt, o.renewAt(late), late)
	late = late.Add(time.Hour)
	o.leases.Prune(late)
	o.track(1, late)
	o.leases.RecordReading("w1", medlarlease.ClockReading{Incarnation: 3, Uptime: 10}, late)
	if _, err := startCommand(late, 1); !errors.Is(err, medlarwheel.ErrStale) {
		t.Errorf("ended attempt, with a row read before an outage of the table: got error %v", err)
	}
}

// Guards against accepting a proof of another worker or another attempt, or a report of a worker that has not seen the
// token of the commitment.
func TestProofCoversOnlyItsAttemptAndWorker(t *testing.T) {
	proof, err := medlarlease.ProofFromReport(&medlarwheel.TaskReport{
		Worker: "w1", Incarnation: 1, Task: "j.0", Attempt: 2, Token: 7, Phase: medlarwheel.PhaseAbsent,
	})
	attempt, other := medlarwheel.TaskAttempt{Task: "j.0", Attempt: 2}, medlarwheel.TaskAttempt{Task: "j.0", Attempt: 3}
	if err != nil || proof.Covers(attempt, "w1", 7) != nil {
		t.Fatal(err, proof.Covers(attempt, "w1", 7))
	}
	if proof.Covers(other, "w1", 7) == nil || proof.Covers(attempt, "w2", 7) == nil {
		t.Fatal("the proof covers another attempt or another worker")
	}
	if err := proof.Covers(attempt, "w1", 8); !errors.Is(err, medlarwheel.ErrStale) {
		t.Fatalf("report of a worker that has seen only a lower token: got error %v", err)
	}
}

// Guards against a proof of expiry that comes too early: before term and margin have passed since the last grant, before
// the earlier owner has stopped, or without a later confirmation that no other instance owned the shard.
func TestExpiryWaitsForTermAndEarlierOwners(t *testing.T) {
	wait := medlarlease.DefaultConfig().TaskTerm + medlarlease.DefaultConfig().TaskMargin
	o := newOwner(1)
	o.track(1, startTime)
	o.recordReading(2, startTime.Add(10*time.Second))
	o.renewAt(startTime.Add(11 * time.Second))
	if renewals := o.leases.Renewals(o.ownership, startTime.Add(11*time.Second)); len(renewals) != 1 || renewals[0].LeaseEnd.IsZero() {
		t.Fatalf("got renewals %v, want one with a lease end", renewals)
	}
	if _, err := o.leases.ProofOfExpiry(o.attempt, o.renewAt(startTime.Add(10*time.Second+wait-1))); err == nil {
		t.Fatal("expired before term and margin have passed since the clock reading of the last grant")
	}
	if _, err := o.leases.ProofOfExpiry(o.attempt, o.renewAt(startTime.Add(10*time.Second+wait))); err != nil {
		t.Fatal(err)
	}

	o = newOwner(1)
	late := startTime.Add(2 * time.Hour)
	instances := medlarlease.NewInstanceLeases(medlarlease.DefaultConfig(), "e1")
	o.leases.RefreshShard(o.renewAt(startTime), instances, startTime)
	o.track(0, startTime)
	o.leases.RefreshShard(o.renewAt(startTime.Add(time.Hour)), instances, startTime.Add(time.Hour))
	if _, err := o.leases.ProofOfExpiry(o.attempt, o.renewAt(late)); err == nil {
		t.Fatal("expired while an earlier owner may still renew the lease")
	}
	if err := instances.Observe(nil, late, late); err != nil {
		t.Fatal(err)
	}
	o.leases.RefreshShard(o.renewAt(late), instances, late)
	if _, err := o.leases.ProofOfExpiry(o.attempt, o.renewAt(late.Add(wait-1))); err == nil {
		t.Fatal("expired before term and margin have passed since the earlier owner stopped")
	}
	if _, err := o.leases.ProofOfExpiry(o.attempt, o.renewAt(late.Add(wait))); err != nil {
		t.Fatal(err)
	}
	owned := o.renewAt(late.Add(wait))
	owned.Token++
	o.leases.RefreshShard(owned, instances, late.Add(wait))
	o.leases.Track(medlarlease.TrackedAttempt{Attempt: o.attempt, Worker: "w1"}, owned, late.Add(wait))
	o.leases.RefreshShard(owned, instances, late.Add(wait))
	owned.ConfirmedAt = late.Add(time.Hour)
	if _, err := o.leases.ProofOfExpiry(o.attempt, owned); err == nil {
		t.Fatal("expired by what was recorded under another token of the shard")
	}
}

// Guards against taking earlier owners for stopped while one uses an older map and may still renew task leases within the
// outage renewal limit.
func TestEarlierOwnersStopByMapEpochOrTimeLimit(t *testing.T) {
	config := medlarlease.DefaultConfig()
	instances := medlarlease.NewInstanceLeases(config, "e1")
	now := startTime
	read := func(epoch medlarwheel.Epoch, version medlarwheel.RowVersion) {
		value, _ := json.Marshal(medlarlease.InstanceLease{Instance: medlarwheel.EntryInstance{
			ID: "e2", DataCentre: "dc1", PeerAddress: "127.0.0.1:7001", Incarnation: 1, State: medlarwheel.StateLive,
		}, MapEpoch: epoch})
		now = now.Add(2 * time.Second)
		row := medlarwheel.Row{Key: medlarlease.InstanceKey("dc1", "e2"), Version: version, Value: value}
		if err := instances.Observe([]medlarwheel.Row{row}, now, now); err != nil {
			t.Fatal(err)
		}
	}
	for read(4, 1); now.Before(startTime.Add(config.OutageRenewalLimit)); read(4, 1) {
		if instances.EarlierOwnersStopped(5, startTime) {
			t.Fatal("stopped before the outage renewal limit, although the earlier owner uses an older map")
		}
	}
	read(4, 1)
	read(4, 1)
	if !instances.EarlierOwnersStopped(5, startTime) || len(instances.Live()) != 0 {
		t.Fatal("not stopped after the outage renewal limit, or an unresponsive instance counts as live")
	}
	read(5, 2)
	if !instances.EarlierOwnersStopped(5, startTime) || instances.EarlierOwnersStopped(6, startTime) || instances.EarlierOwnersStopped(5, now) {
		t.Fatal("ignores the map epoch of the earlier owner, or accepts a read from before the shard was acquired")
	}
}

// Guards against a worker that runs an attempt again after it has ended or that obeys a superseded owner.
func TestFenceRefusesStaleCommands(t *testing.T) {
	var fence medlarlease.Fence
	if err := fence.Admit(1, 5); err != nil {
		t.Fatal(err)
	}
	if err := fence.Admit(1, 4); !errors.Is(err, medlarwheel.ErrStale) {
		t.Fatalf("lower token: got error %v", err)
	}
	fence.RecordEnd(2)
	if err := fence.Admit(2, 6); !errors.Is(err, medlarwheel.ErrStale) {
		t.Fatalf("ended attempt: got error %v", err)
	}
	if err := fence.Admit(3, 6); err != nil || fence.Token() != 6 {
		t.Fatalf("next attempt: got error %v", err)
	}
}
