package medlarlease_test

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/medlarlease"
)

// testOwner is an instance that has all shards, with the lease of one attempt.
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

// renewAt renews the instance's lease, reads the map and returns the shard of the attempt.
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

// Guards against a start without evidence that the attempt before has ended (from a zero proof, from a proof that is not
// in the committed row yet, from a row without the ending), by an instance that may not act, by a row of another owner,
// of an attempt whose lease was found to have run out or that ended before an outage, and against a zero command that can
// be sent.
func TestStartNeedsRecordedProof(t *testing.T) {
	o := newOwner(2)
	job := o.job()
	o.track(1, startTime)
	word, err := medlarlease.ProofFromReport(&medlarwheel.TaskReport{
		Worker: "w0", Incarnation: 1, Task: o.attempt.Task, Attempt: 1, Token: 1, Phase: medlarwheel.PhaseStopped,
	})
	if err != nil {
		t.Fatal(err)
	}
	for name, proof := range map[string]medlarlease.Proof{"zero": {}, "not recorded": word} {
		if _, err := proof.Start(o.leases, o.ownership, job, 0, startTime); !errors.Is(err, medlarlease.ErrNoProof) {
			t.Errorf("%s proof: got %v", name, err)
		}
	}
	running := medlarwheel.TaskReport{Worker: "w0", Incarnation: 1, Task: o.attempt.Task, Attempt: 1, Phase: medlarwheel.PhaseRunning}
	if _, err := medlarlease.ProofFromReport(&running); !errors.Is(err, medlarlease.ErrNoProof) {
		t.Errorf("a running attempt proves its end: %v", err)
	}
	bare := o.job()
	bare.Tasks[0].PreviousEnd = nil
	if _, err := medlarlease.ProofFromJob(bare, 5, 0); !errors.Is(err, medlarlease.ErrNoProof) {
		t.Errorf("row without the ending: got %v", err)
	}
	if _, err := medlarlease.ProofFromJob(job, 0, 0); !errors.Is(err, medlarlease.ErrNoProof) {
		t.Errorf("row that is not committed: got %v", err)
	}
	if _, err := json.Marshal(medlarlease.Start{}); err == nil {
		t.Error("a zero start can be sent")
	}
	recorded, err := medlarlease.ProofFromJob(job, 5, 0)
	if err != nil {
		t.Fatal(err)
	}
	try := func(now time.Time, token medlarwheel.FencingToken) (medlarlease.Start, error) {
		job.Token = token
		return recorded.Start(o.leases, o.ownership, job, 0, now)
	}
	o.recordReading(1, startTime)
	if _, err := try(startTime, 1); !errors.Is(err, medlarlease.ErrClockUnknown) {
		t.Errorf("clock of an earlier incarnation: got %v", err)
	}
	o.recordReading(2, startTime)
	if command, err := try(startTime, 1); err != nil || command.Order().LeaseEnd.Uptime != 1+medlarwheel.Duration(medlarlease.DefaultConfig().TaskTerm) {
		t.Errorf("recorded proof: got %+v, %v", command.Order(), err)
	}
	if _, err := try(startTime, 0); !errors.Is(err, medlarwheel.ErrStale) {
		t.Errorf("row of an earlier owner: got %v", err)
	}
	o.recordReading(3, startTime)
	if command, err := try(startTime, 1); err != nil || command.Order().LeaseEnd != (medlarlease.ClockReading{Incarnation: 2}) {
		t.Errorf("restarted agent: got until %v, %v", command.Order().LeaseEnd, err)
	}
	late := startTime.Add(time.Hour)
	if _, err := o.leases.ProofOfExpiry(o.attempt, o.renewAt(late)); err != nil {
		t.Fatal(err)
	}
	o.leases.RecordReading("w1", medlarlease.ClockReading{Incarnation: 2, Uptime: 9}, late)
	if _, err := try(late, 1); !errors.Is(err, medlarwheel.ErrStale) {
		t.Errorf("attempt whose lease has run out: got %v", err)
	}
	if renewals := o.leases.Renewals(o.ownership, late); len(renewals) > 0 {
		t.Errorf("renewal of an attempt whose lease has run out: %v", renewals)
	}
	if _, err := try(late.Add(time.Minute), 1); !errors.Is(err, medlarwheel.ErrStale) {
		t.Errorf("instance whose lease has lapsed: got %v", err)
	}
	late = late.Add(time.Hour)
	o.leases.RecordEnd(o.attempt, o.renewAt(late), late)
	late = late.Add(time.Hour)
	o.leases.Prune(late)
	o.track(1, late)
	o.leases.RecordReading("w1", medlarlease.ClockReading{Incarnation: 3, Uptime: 10}, late)
	if _, err := try(late, 1); !errors.Is(err, medlarwheel.ErrStale) {
		t.Errorf("ended attempt by a row from before an outage of the table: got %v", err)
	}
}

// Guards against proofs that name another worker, another attempt or a worker that has not heard of the commitment.
func TestProofCoversOnlyItsAttemptAndWorker(t *testing.T) {
	proof, err := medlarlease.ProofFromReport(&medlarwheel.TaskReport{
		Worker: "w1", Incarnation: 1, Task: "j.0", Attempt: 2, Token: 7, Phase: medlarwheel.PhaseAbsent,
	})
	attempt, other := medlarwheel.TaskAttempt{Task: "j.0", Attempt: 2}, medlarwheel.TaskAttempt{Task: "j.0", Attempt: 3}
	if err != nil || proof.Covers(attempt, "w1", 7) != nil {
		t.Fatal(err, proof.Covers(attempt, "w1", 7))
	}
	if proof.Covers(other, "w1", 7) == nil || proof.Covers(attempt, "w2", 7) == nil {
		t.Fatal("covers another attempt or worker")
	}
	if err := proof.Covers(attempt, "w1", 8); !errors.Is(err, medlarwheel.ErrStale) {
		t.Fatalf("word of a worker that has seen only a lower token: got %v", err)
	}
}

// Guards against an expiry that is concluded too early: before term and margin since the last grant, before the earlier
// owner has stopped, or without a later confirmation that nobody else owned the shard.
func TestExpiryWaitsForTermAndEarlierOwners(t *testing.T) {
	wait := medlarlease.DefaultConfig().TaskTerm + medlarlease.DefaultConfig().TaskMargin
	o := newOwner(1)
	o.track(1, startTime)
	o.recordReading(2, startTime.Add(10*time.Second))
	o.renewAt(startTime.Add(11 * time.Second))
	if renewals := o.leases.Renewals(o.ownership, startTime.Add(11*time.Second)); len(renewals) != 1 || renewals[0].LeaseEnd.IsZero() {
		t.Fatalf("renewals: %v", renewals)
	}
	if _, err := o.leases.ProofOfExpiry(o.attempt, o.renewAt(startTime.Add(10*time.Second+wait-1))); err == nil {
		t.Fatal("expired before term and margin since the reading of the last grant")
	}
	if _, err := o.leases.ProofOfExpiry(o.attempt, o.renewAt(startTime.Add(10*time.Second+wait))); err != nil {
		t.Fatal(err)
	}

	o = newOwner(1)
	late := startTime.Add(2 * time.Hour)
	watch := medlarlease.NewInstanceLeases(medlarlease.DefaultConfig(), "e1")
	o.leases.RefreshShard(o.renewAt(startTime), watch, startTime)
	o.track(0, startTime)
	o.leases.RefreshShard(o.renewAt(startTime.Add(time.Hour)), watch, startTime.Add(time.Hour))
	if _, err := o.leases.ProofOfExpiry(o.attempt, o.renewAt(late)); err == nil {
		t.Fatal("expired while an earlier owner may still renew")
	}
	if err := watch.Observe(nil, late, late); err != nil {
		t.Fatal(err)
	}
	o.leases.RefreshShard(o.renewAt(late), watch, late)
	if _, err := o.leases.ProofOfExpiry(o.attempt, o.renewAt(late.Add(wait-1))); err == nil {
		t.Fatal("expired before term and margin since the earlier owner stopped")
	}
	if _, err := o.leases.ProofOfExpiry(o.attempt, o.renewAt(late.Add(wait))); err != nil {
		t.Fatal(err)
	}
	owned := o.renewAt(late.Add(wait))
	owned.Token++
	o.leases.RefreshShard(owned, watch, late.Add(wait))
	o.leases.Track(medlarlease.TrackedAttempt{Attempt: o.attempt, Worker: "w1"}, owned, late.Add(wait))
	o.leases.RefreshShard(owned, watch, late.Add(wait))
	owned.ConfirmedAt = late.Add(time.Hour)
	if _, err := o.leases.ProofOfExpiry(o.attempt, owned); err == nil {
		t.Fatal("keeps what was known of the shard under another token")
	}
}

// Guards against settling while an earlier owner acts by an older map and may still be renewing within the horizon.
func TestEarlierOwnersStopByMapEpochOrTimeLimit(t *testing.T) {
	config := medlarlease.DefaultConfig()
	watch := medlarlease.NewInstanceLeases(config, "e1")
	now := startTime
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
	for read(4, 1); now.Before(startTime.Add(config.OutageRenewalLimit)); read(4, 1) {
		if watch.EarlierOwnersStopped(5, startTime) {
			t.Fatal("settled before the horizon while the earlier owner acts by an older map")
		}
	}
	read(4, 1)
	read(4, 1)
	if !watch.EarlierOwnersStopped(5, startTime) || len(watch.Live()) != 0 {
		t.Fatal("not settled beyond the horizon, or a silent instance counts as live")
	}
	read(5, 2)
	if !watch.EarlierOwnersStopped(5, startTime) || watch.EarlierOwnersStopped(6, startTime) || watch.EarlierOwnersStopped(5, now) {
		t.Fatal("does not go by the acknowledged epoch, or settles by a read from before the shard was acquired")
	}
}

// Guards against a worker that runs an attempt again after it has ended, or obeys a superseded owner.
func TestFenceRefusesStaleCommands(t *testing.T) {
	var fence medlarlease.Fence
	if err := fence.Admit(1, 5); err != nil {
		t.Fatal(err)
	}
	if err := fence.Admit(1, 4); !errors.Is(err, medlarwheel.ErrStale) {
		t.Fatalf("lower token: got %v", err)
	}
	fence.RecordEnd(2)
	if err := fence.Admit(2, 6); !errors.Is(err, medlarwheel.ErrStale) {
		t.Fatalf("ended attempt: got %v", err)
	}
	if err := fence.Admit(3, 6); err != nil || fence.Token() != 6 {
		t.Fatalf("next attempt: got %v", err)
	}
}
