package medlarlease_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwheel"
	"medlarwheel/medlarlease"
)

var start = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// Guards against a holder and an observer that both count the lease as theirs, for any delay of the renewal and of the
// reads.
func TestObserverNeverOvertakesHolder(t *testing.T) {
	config := medlarlease.Default()
	rapid.Check(t, func(t *rapid.T) {
		step := func(name string, limit time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(limit)).Draw(t, name))
		}
		holder := medlarlease.NewHolder(config.Term)
		var observer medlarlease.Observer
		now := start
		version := medlarwheel.RowVersion(1)
		holder.Renewed(now)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			sent := now
			if rapid.Bool().Draw(t, "renew") {
				now = now.Add(step("renewal delay", 3*time.Second))
				version++
				holder.Renewed(sent)
			} else {
				now = now.Add(step("read delay", time.Second))
				observer.Observe(version, sent, now, config.MaxReadGap)
			}
			if observer.RunOut(config.Term, config.Margin) && holder.MayAct(now) {
				t.Fatalf("both the holder and the observer count the lease as theirs at %v", now.Sub(start))
			}
			now = now.Add(step("pause", 5*time.Second))
		}
	})
}

// Guards against an observer that gives up all holders after an outage of the table, in which none could renew.
func TestObserverRestartsAfterOutage(t *testing.T) {
	config := medlarlease.Default()
	var observer medlarlease.Observer
	read := func(after time.Duration) bool {
		observer.Observe(1, start.Add(after), start.Add(after), config.MaxReadGap)
		return observer.RunOut(config.Term, config.Margin)
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
func TestHolderIgnoresOldTime(t *testing.T) {
	holder := medlarlease.NewHolder(8 * time.Second)
	holder.Renewed(start)
	if !holder.MayAct(start.Add(7 * time.Second)) {
		t.Fatal("lease does not hold within its term")
	}
	if holder.MayAct(start.Add(8*time.Second)) || holder.MayAct(start.Add(time.Second)) {
		t.Fatal("lease holds after its term, or again for an earlier time")
	}
}

// Guards against plans that move shards of live members when one dies, move too many at once, leave shards unowned or
// unbalanced, or keep a token across a reassignment.
func TestPlanShards(t *testing.T) {
	config := medlarlease.Default()
	rapid.Check(t, func(t *rapid.T) {
		current := medlarlease.NewShardMap("dc1")
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			live := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) medlarlease.Member {
				return medlarlease.Member{
					Instance:    medlarwheel.InstanceID(fmt.Sprintf("e%d", rapid.IntRange(0, 9).Draw(t, "instance"))),
					Incarnation: medlarwheel.Incarnation(rapid.IntRange(1, 2).Draw(t, "incarnation")),
				}
			}), 1, 9, func(m medlarlease.Member) medlarwheel.InstanceID { return m.Instance }).Draw(t, "live")
			current = checkedPlan(t, config, current, live)
		}
		for changed := true; changed; {
			before := current.Epoch
			current = checkedPlan(t, config, current, current.Members)
			changed = current.Epoch != before
		}
		counts := make(map[medlarwheel.InstanceID]int)
		for _, a := range current.Jobs {
			counts[a.Owner]++
		}
		for _, m := range current.Members {
			if fair := medlarlease.Shards / len(current.Members); counts[m.Instance] < fair || counts[m.Instance] > fair+1 {
				t.Fatalf("unbalanced at rest: %v", counts)
			}
		}
	})
}

func checkedPlan(
	t *rapid.T, config medlarlease.Config, current medlarlease.ShardMap, live []medlarlease.Member,
) medlarlease.ShardMap {
	next, changed := config.PlanShards(current, live)
	reversed := make([]medlarlease.Member, 0, len(live))
	for _, m := range live {
		reversed = append([]medlarlease.Member{m}, reversed...)
	}
	again, _ := config.PlanShards(current, reversed)
	if a, b := encode(next), encode(again); a != b {
		t.Fatalf("racing planners differ:\n%s\n%s", a, b)
	}
	if faults := next.Check(); changed && len(faults) > 0 {
		t.Fatal(faults)
	}
	moved, dead := 0, 0
	for _, kind := range []medlarlease.ShardKind{medlarlease.ShardOfJobs, medlarlease.ShardOfWorkers} {
		for i := range medlarlease.ShardIndex(medlarlease.Shards) {
			old, now := current.Assignment(kind, i), next.Assignment(kind, i)
			wasLive := false
			for _, m := range live {
				wasLive = wasLive || m.Instance == old.Owner && current.IsMember(m)
			}
			if !wasLive {
				dead++
			}
			if !wasLive && now.Token == old.Token {
				t.Fatalf("shard %s %v of a dead member kept its token", kind, i)
			}
			if old == now {
				continue
			}
			if now.Token <= old.Token {
				t.Fatalf("reassigned shard %s %v without a higher token", kind, i)
			}
			if wasLive {
				moved++
			}
		}
	}
	if moved > config.MaxMoves || dead > 0 && moved > 0 {
		t.Fatalf("moved %d shards of live members with %d of dead ones", moved, dead)
	}
	return next
}

func encode(m medlarlease.ShardMap) string {
	data, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return string(data)
}

type ownershipFixture struct {
	own    *medlarlease.Ownership
	shards medlarlease.ShardMap
}

func newOwnership(id medlarwheel.InstanceID) ownershipFixture {
	config := medlarlease.Default()
	own := medlarlease.NewOwnership(config, medlarwheel.EntryInstance{
		ID: id, DataCentre: "dc1", PeerAddress: "127.0.0.1:7000", Incarnation: 1, State: medlarwheel.StateLive,
	})
	shards, _ := config.PlanShards(medlarlease.NewShardMap("dc1"), []medlarlease.Member{{Instance: id, Incarnation: 1}})
	return ownershipFixture{own: own, shards: shards}
}

// Guards against an instance that acts by a map read before its lease lapsed, and against one that stops renewing task
// leases as soon as the table is out, or never.
func TestOwnership(t *testing.T) {
	f := newOwnership("e1")
	shard := medlarlease.ShardID{DataCentre: "dc1", Kind: medlarlease.ShardOfJobs, Index: 3}
	f.own.Renewed(start, 1)
	f.own.SawMap(f.shards, start.Add(time.Second))
	if got := len(f.own.OwnedShards(start.Add(7 * time.Second))); got != 2*medlarlease.Shards {
		t.Fatalf("owns %d shards", got)
	}
	f.own.Renewed(start.Add(8500*time.Millisecond), 2)
	if _, ok := f.own.MayAct(shard, start.Add(8600*time.Millisecond)); ok {
		t.Fatal("acts by a map read before the lease lapsed")
	}
	f.own.SawMap(f.shards, start.Add(8600*time.Millisecond))
	if _, ok := f.own.MayAct(shard, start.Add(8700*time.Millisecond)); !ok {
		t.Fatal("does not act by a map read since")
	}
	if _, ok := f.own.MayRenew(shard, start.Add(14*time.Minute)); !ok {
		t.Fatal("stops renewing task leases before the horizon")
	}
	if _, ok := f.own.MayRenew(shard, start.Add(16*time.Minute)); ok {
		t.Fatal("renews task leases beyond the horizon")
	}
}
