package medlardatacentre_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwheel"
	"medlarwheel/medlardatacentre"
)

var startTime = time.Unix(1_800_000_000, 0).UTC()

// cluster is a set of instances that exchange digests once a second.
type cluster struct {
	now       time.Time
	random    *rand.Rand
	views     []*medlardatacentre.View
	instances []medlarwheel.EntryInstance
	leaving   []bool
	partition []int // the side of the partition; instances of different sides cannot reach each other
	config    medlardatacentre.ViewConfig
}

func newCluster(size, dataCentres int, seed uint64) *cluster {
	f := &cluster{now: startTime, random: rand.New(rand.NewPCG(seed, 1)), leaving: make([]bool, size), partition: make([]int, size), config: medlardatacentre.DefaultViewConfig()}
	for i := range size {
		f.instances = append(f.instances, medlarwheel.EntryInstance{
			ID:          medlarwheel.InstanceID(fmt.Sprintf("entry-%03d", i)),
			DataCentre:  medlarwheel.DataCentreID(fmt.Sprintf("dc-%d", i%dataCentres)),
			PeerAddress: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1),
			Incarnation: 1,
			State:       medlarwheel.StateLive,
		})
		f.views = append(f.views, nil)
		f.start(i)
	}
	return f
}

func (f *cluster) start(i int) {
	f.views[i] = medlardatacentre.NewView(f.instances[i], f.config)
	f.views[i].AddSeed(f.instances[0].PeerAddress)
	f.leaving[i] = false
}

func (f *cluster) round() {
	f.now = f.now.Add(time.Second)
	for i, v := range f.views {
		v.IncrementHeartbeat(f.now)
		for _, target := range v.Targets(f.now, f.random) {
			for j, peer := range f.instances {
				if peer.PeerAddress == target.Address && f.partition[i] == f.partition[j] && i != j {
					_ = f.views[j].Merge(f.now, v.Digest(f.now, f.instances[j].DataCentre))
					_ = v.Merge(f.now, f.views[j].Digest(f.now, f.instances[i].DataCentre))
				}
			}
		}
	}
}

type memberProgress struct {
	incarnation medlarwheel.Incarnation
	leaving     bool
}

// Guards against views that do not agree again after a partition, that go back to an earlier incarnation, or that take
// back a leaving state.
func TestViewsConvergeAfterPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 9).Draw(t, "size")
		f := newCluster(size, rapid.IntRange(1, 3).Draw(t, "data centres"), rapid.Uint64().Draw(t, "seed"))
		if rapid.Bool().Draw(t, "small digest") {
			f.config.MaxDigest = 4
		}
		stages := map[string]memberProgress{}
		for phase := range 4 {
			for i := range f.partition {
				f.partition[i] = rapid.IntRange(0, 1).Draw(t, "side")
				switch rapid.IntRange(0, 7).Draw(t, "event") {
				case 0:
					f.instances[i].Incarnation++
					f.start(i)
				case 1:
					f.views[i].Leave(f.now)
					f.leaving[i] = true
				}
			}
			if phase == 3 {
				clear(f.partition)
			}
			for range rapid.IntRange(1, 40).Draw(t, "rounds") {
				f.round()
				f.checkProgress(t, stages)
			}
		}
		for range 120 {
			f.round()
		}
		f.checkConvergence(t)
	})
}

// checkProgress fails if a view went back. A restarted instance starts with a new view.
func (f *cluster) checkProgress(t *rapid.T, stages map[string]memberProgress) {
	for i, v := range f.views {
		for _, m := range v.Members(f.now) {
			key := fmt.Sprintf("%s/%d of %s", f.instances[i].ID, f.instances[i].Incarnation, m.Instance)
			before := stages[key]
			if m.Incarnation < before.incarnation || (m.Incarnation == before.incarnation && before.leaving && !m.Leaving) {
				t.Fatalf("%s: got %+v after %+v", key, m, before)
			}
			stages[key] = memberProgress{m.Incarnation, m.Leaving}
		}
	}
}

func (f *cluster) checkConvergence(t *rapid.T) {
	for i, v := range f.views {
		members := v.Members(f.now)
		if len(members) != len(f.instances) {
			t.Fatalf("%s knows %d of %d members", f.instances[i].ID, len(members), len(f.instances))
		}
		for j, m := range members {
			want := medlardatacentre.StatusAlive
			if f.leaving[j] {
				want = medlardatacentre.StatusLeaving
			}
			if m.Status != want || m.Incarnation != f.instances[j].Incarnation {
				t.Fatalf("%s sees %+v, want incarnation %d %s", f.instances[i].ID, m, f.instances[j].Incarnation, want)
			}
		}
	}
}

// Guards against a bound of digests that is too small for the largest fleet: no living member may become dead, and
// hardly any suspect.
func TestDigestLimitKeepsLargestClusterAlive(t *testing.T) {
	f := newCluster(144, 16, 1)
	counts := map[medlardatacentre.Status]int{}
	for round := range 40 {
		f.round()
		for _, v := range f.views {
			for _, m := range v.Members(f.now) {
				if round >= 20 {
					counts[m.Status]++
				}
			}
		}
	}
	if counts[medlardatacentre.StatusDead] > 0 || counts[medlardatacentre.StatusSuspect]*1000 > counts[medlardatacentre.StatusAlive] {
		t.Fatalf("got %v", counts)
	}
}

func peerDigest(incarnation medlarwheel.Incarnation, heartbeat medlardatacentre.Heartbeat, leaving bool) []medlardatacentre.Member {
	return []medlardatacentre.Member{{
		Instance: "peer", DataCentre: "dc", PeerAddress: "10.0.0.2:7000", Incarnation: incarnation, Heartbeat: heartbeat, Leaving: leaving,
	}}
}

func listWith(version uint64, state medlarwheel.InstanceState, incarnation medlarwheel.Incarnation) medlarwheel.InstanceList {
	list := medlarwheel.InstanceList{Version: version, Entries: []medlarwheel.EntryInstance{
		{ID: "self", DataCentre: "dc", PeerAddress: "10.0.0.1:7000", Incarnation: 1, State: medlarwheel.StateLive},
	}}
	if state != "" {
		list.Entries = append(list.Entries, medlarwheel.EntryInstance{ID: "peer", DataCentre: "dc", PeerAddress: "10.0.0.2:7000", Incarnation: incarnation, State: state})
	}
	return list
}

// Guards against a list or digest that is behind and revives a member: dead, leaving, or forgotten.
func TestOutdatedListOrDigestDoesNotReviveMember(t *testing.T) {
	v := medlardatacentre.NewView(medlarwheel.EntryInstance{ID: "self", DataCentre: "dc", PeerAddress: "10.0.0.1:7000", Incarnation: 1}, medlardatacentre.DefaultViewConfig())
	now := startTime
	version := uint64(0)
	expect := func(step string, want medlardatacentre.Status, unlisted bool) {
		t.Helper()
		var got medlardatacentre.Member
		for _, m := range v.Members(now) {
			if m.Instance == "peer" {
				got = m
			}
		}
		if got.Status != want || got.Unlisted != unlisted {
			t.Fatalf("%s: got %+v, want %q, unlisted %v", step, got, want, unlisted)
		}
	}
	apply := func(state medlarwheel.InstanceState, incarnation medlarwheel.Incarnation) {
		version++
		_ = v.ApplyList(now, listWith(version, state, incarnation))
	}
	_ = v.Merge(now, peerDigest(2, 7, false))
	now = now.Add(15 * time.Second)
	apply(medlarwheel.StateLive, 2)
	expect("dead, listed as live", medlardatacentre.StatusDead, false)
	apply(medlarwheel.StateLive, 1)
	expect("dead, listed with an earlier incarnation", medlardatacentre.StatusDead, false)
	apply("", 0)
	expect("dead, missing in a list that may be late", medlardatacentre.StatusDead, false)
	now = now.Add(time.Minute)
	apply("", 0)
	expect("dead, missing in the list", medlardatacentre.StatusDead, true)
	alone := listWith(version+1, "", 0)
	alone.Entries[0].ID = "another"
	_ = v.ApplyList(now, alone)
	expect("dead, missing in a list that lacks this instance too", medlardatacentre.StatusDead, false)
	version++
	_ = v.Merge(now, peerDigest(2, 8, false))
	expect("higher counter", medlardatacentre.StatusAlive, false)
	apply(medlarwheel.StateLeaving, 2)
	expect("listed as leaving", medlardatacentre.StatusLeaving, false)
	_ = v.Merge(now, peerDigest(3, 1, false))
	_ = v.Merge(now, peerDigest(3, 0, true))
	apply(medlarwheel.StateLive, 3)
	_ = v.Merge(now, peerDigest(3, 9, false))
	expect("leaving", medlardatacentre.StatusLeaving, false)
	v.Retain([]medlarwheel.InstanceID{"peer"})
	for range 3601 {
		now = now.Add(time.Second)
		v.IncrementHeartbeat(now)
	}
	expect("retained", medlardatacentre.StatusLeaving, false)
	v.Retain(nil)
	v.IncrementHeartbeat(now)
	expect("forgotten", "", false)
	_ = v.Merge(now, peerDigest(3, 10, false))
	apply(medlarwheel.StateLive, 3)
	expect("old digest and list after it was forgotten", "", false)
	apply(medlarwheel.StateLive, 4)
	expect("next incarnation", medlardatacentre.StatusAlive, false)
	if err := v.ApplyList(now, listWith(1, medlarwheel.StateLeaving, 4)); err != nil {
		t.Fatal(err)
	}
	expect("older list", medlardatacentre.StatusAlive, false)
}

// Guards against a partition without an end: two instances that hold each other for dead, and have no seed, must meet
// again.
func TestDeadMembersAreContactedAfterPartition(t *testing.T) {
	f := newCluster(2, 1, 1)
	f.round()
	f.partition[1] = 1
	for range 20 {
		f.round()
	}
	if m := f.views[0].Members(f.now)[1]; m.Status != medlardatacentre.StatusDead {
		t.Fatalf("during the partition: got %+v", m)
	}
	f.partition[1] = 0
	f.instances[0].PeerAddress = "10.9.9.9:7000" // the seed of the other one is of no use now
	for range 100 {
		f.round()
	}
	if m := f.views[0].Members(f.now)[1]; m.Status != medlardatacentre.StatusAlive {
		t.Fatalf("after the partition: got %+v", m)
	}
}

// Guards against two incarnations of one instance that both go on, and against a process that was stopped and then
// takes everybody for dead.
func TestViewReportsSupersessionAndToleratesPause(t *testing.T) {
	v := medlardatacentre.NewView(medlarwheel.EntryInstance{ID: "self", DataCentre: "dc", PeerAddress: "10.0.0.1:7000", Incarnation: 1}, medlardatacentre.DefaultViewConfig())
	v.IncrementHeartbeat(startTime)
	_ = v.Merge(startTime, peerDigest(1, 1, false))
	resumed := startTime.Add(time.Minute)
	v.IncrementHeartbeat(resumed)
	for _, m := range v.Members(resumed) {
		if m.Status != medlardatacentre.StatusAlive {
			t.Errorf("after a pause: got %+v", m)
		}
	}
	list := listWith(1, "", 0)
	list.Entries[0].Incarnation = 2
	if err := v.ApplyList(startTime, list); !errors.Is(err, medlardatacentre.ErrSuperseded) {
		t.Errorf("list: got %v", err)
	}
	self := medlardatacentre.Member{Instance: "self", Incarnation: 2}
	if err := v.Merge(startTime, []medlardatacentre.Member{self}); !errors.Is(err, medlardatacentre.ErrSuperseded) {
		t.Errorf("digest: got %v", err)
	}
}
