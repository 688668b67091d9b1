package medlarlease_test

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwheel"
	"medlarwheel/internal/testing/medlarseed"
	"medlarwheel/medlarlease"
)

var startTime = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// TestMain fixes the seed of the random tests unless the command line names one.
func TestMain(m *testing.M) { medlarseed.Main(m, medlarseed.Flags{"rapid.seed": "20260301"}) }

// Guards against a holder and an observer that both count the lease as theirs, for any delay of the renewal and of the
// reads.
func TestObserverNeverExpiresHeldLease(t *testing.T) {
	config := medlarlease.DefaultConfig()
	rapid.Check(t, func(t *rapid.T) {
		step := func(name string, limit time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(limit)).Draw(t, name))
		}
		holder, now, version := medlarlease.NewHolder(config.Term), startTime, medlarwheel.RowVersion(1)
		var observer medlarlease.Observer
		holder.RecordRenewal(now)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			sent := now
			if rapid.Bool().Draw(t, "renew") {
				now = now.Add(step("renewal delay", 3*time.Second))
				version++
				holder.RecordRenewal(sent)
			} else {
				now = now.Add(step("read delay", time.Second))
				observer.Observe(version, sent, now, config.MaxReadInterval)
			}
			if observer.Expired(config.Term, config.Margin) && holder.MayAct(now) {
				t.Fatalf("both the holder and the observer count the lease as theirs at %v", now.Sub(startTime))
			}
			now = now.Add(step("pause", 5*time.Second))
		}
	})
}

// Guards against an observer that gives up all holders after an outage of the table, in which none could renew.
func TestObserverRestartsCountAfterOutage(t *testing.T) {
	config := medlarlease.DefaultConfig()
	var observer medlarlease.Observer
	read := func(after time.Duration) bool {
		observer.Observe(1, startTime.Add(after), startTime.Add(after), config.MaxReadInterval)
		return observer.Expired(config.Term, config.Margin)
	}
	read(0)
	if read(time.Minute) || read(time.Minute+3*time.Second) || read(time.Minute+6*time.Second) {
		t.Fatal("run out by the time of the outage")
	}
	if !read(time.Minute + 9*time.Second) {
		t.Fatal("not run out by unbroken reads since")
	}
}

// Guards against a holder that trusts a time read before a pause.
func TestHolderIgnoresEarlierTime(t *testing.T) {
	holder := medlarlease.NewHolder(8 * time.Second)
	holder.RecordRenewal(startTime)
	if !holder.MayAct(startTime.Add(7 * time.Second)) {
		t.Fatal("lease does not hold within its term")
	}
	if holder.MayAct(startTime.Add(8*time.Second)) || holder.MayAct(startTime.Add(time.Second)) {
		t.Fatal("lease holds after its term, or again for an earlier time")
	}
}

// Guards against plans that move shards of live members when one dies, move too many at once, leave shards unowned or
// unbalanced, or keep a token across a reassignment.
func TestPlanShardsIsBalancedAndMovesFewShards(t *testing.T) {
	config := medlarlease.DefaultConfig()
	rapid.Check(t, func(t *rapid.T) {
		current := medlarlease.NewShardMap("dc1")
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			live := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) medlarlease.Member {
				return medlarlease.Member{
					Instance:    medlarwheel.InstanceID(fmt.Sprintf("e%d", rapid.IntRange(0, 9).Draw(t, "instance"))),
					Incarnation: medlarwheel.Incarnation(rapid.IntRange(1, 2).Draw(t, "incarnation")),
				}
			}), 1, 9, func(m medlarlease.Member) medlarwheel.InstanceID { return m.Instance }).Draw(t, "live")
			current = planAndCheck(t, config, current, live)
		}
		for before := current.Epoch - 1; before != current.Epoch; {
			before = current.Epoch
			current = planAndCheck(t, config, current, current.Members)
		}
		counts := make(map[medlarwheel.InstanceID]int)
		for _, a := range current.Jobs {
			counts[a.Owner]++
		}
		for _, m := range current.Members {
			if fair := medlarlease.ShardCount / len(current.Members); counts[m.Instance] < fair || counts[m.Instance] > fair+1 {
				t.Fatalf("unbalanced at rest: %v", counts)
			}
		}
	})
}

func planAndCheck(
	t *rapid.T, config medlarlease.Config, current medlarlease.ShardMap, live []medlarlease.Member,
) medlarlease.ShardMap {
	next, changed := config.PlanShards(current, live)
	reversed := slices.Clone(live)
	slices.Reverse(reversed)
	if again, _ := config.PlanShards(current, reversed); !reflect.DeepEqual(next, again) {
		t.Fatalf("racing planners differ:\n%v\n%v", next, again)
	}
	if faults := next.Check(); changed && len(faults) > 0 {
		t.Fatal(faults)
	}
	moved, dead := 0, 0
	for i := range medlarlease.ShardIndex(2 * medlarlease.ShardCount) {
		kind := []medlarlease.ShardKind{medlarlease.ShardKindJob, medlarlease.ShardKindWorker}[i%2]
		old, now := current.Assignment(kind, i/2), next.Assignment(kind, i/2)
		wasLive := slices.ContainsFunc(live, func(m medlarlease.Member) bool {
			return m.Instance == old.Owner && current.IsMember(m)
		})
		switch {
		case !wasLive && now.Token <= old.Token || old != now && now.Token <= old.Token:
			t.Fatalf("reassigned %s shard %v without a higher token", kind, i/2)
		case !wasLive:
			dead++
		case old != now:
			moved++
		}
	}
	if moved > config.MaxMoves || dead > 0 && moved > 0 {
		t.Fatalf("moved %d shards of live members with %d of dead ones", moved, dead)
	}
	return next
}

// Guards against an instance that acts by a map read before its lease lapsed, and against one that stops renewing task
// leases as soon as the table is out, or never, or begins again by an old map.
func TestOwnershipNeedsCurrentLeaseAndMap(t *testing.T) {
	o := newOwner(1)
	shard := medlarlease.ShardID{DataCentre: "dc1", Kind: medlarlease.ShardKindJob, Index: 3}
	o.ownership.RecordRenewal(startTime, 1)
	o.ownership.RecordShardMap(o.shards, startTime.Add(time.Second))
	if got := len(o.ownership.OwnedShards(startTime.Add(7 * time.Second))); got != 2*medlarlease.ShardCount {
		t.Fatalf("owns %d shards", got)
	}
	o.ownership.RecordRenewal(startTime.Add(8500*time.Millisecond), 2)
	if _, ok := o.ownership.MayAct(shard, startTime.Add(8600*time.Millisecond)); ok {
		t.Fatal("acts by a map read before the lease lapsed")
	}
	o.ownership.RecordShardMap(o.shards, startTime.Add(8600*time.Millisecond))
	if _, ok := o.ownership.MayAct(shard, startTime.Add(8700*time.Millisecond)); !ok {
		t.Fatal("does not act by a map read since")
	}
	if _, ok := o.ownership.MayRenew(shard, startTime.Add(14*time.Minute)); !ok {
		t.Fatal("stops renewing task leases before the horizon")
	}
	if _, ok := o.ownership.MayRenew(shard, startTime.Add(16*time.Minute)); ok {
		t.Fatal("renews task leases beyond the horizon")
	}
	o.ownership.RecordRenewal(startTime.Add(17*time.Minute), 3)
	if _, ok := o.ownership.MayRenew(shard, startTime.Add(17*time.Minute)); ok {
		t.Fatal("renews task leases again by a map read before the horizon passed")
	}
}

func BenchmarkPlanShards(b *testing.B) {
	config := medlarlease.DefaultConfig()
	var live []medlarlease.Member
	for i := range 9 {
		live = append(live, medlarlease.Member{Instance: medlarwheel.InstanceID(fmt.Sprintf("e%d", i)), Incarnation: 1})
	}
	current, _ := config.PlanShards(medlarlease.NewShardMap("dc1"), live)
	b.ReportAllocs()
	for b.Loop() {
		if _, changed := config.PlanShards(current, live[1:]); !changed {
			b.Fatal("the dead member's shards did not move")
		}
	}
}
