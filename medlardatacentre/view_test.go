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

// cluster simulates instances that exchange digests once a second.
type cluster struct {
	now       time.Time
	random    *rand.Rand
	views     []*medlardatacentre.View
	instances []medlarwheel.EntryInstance
	leaving   []bool
	partition []int // the partition of each instance; instances in different partitions cannot reach each other
	config    medlardatacentre.ViewConfig
}

func newCluster(size, dataCentres int, seed uint64) *cluster {
	c := &cluster{now: startTime, random: rand.New(rand.NewPCG(seed, 1)), leaving: make([]bool, size), partition: make([]int, size), config: medlardatacentre.DefaultViewConfig()}
	for i := range size {
		c.instances = append(c.instances, medlarwheel.EntryInstance{
			ID:          medlarwheel.InstanceID(fmt.Sprintf("entry-%03d", i)),
			DataCentre:  medlarwheel.DataCentreID(fmt.Sprintf("dc-%d", i%dataCentres)),
			PeerAddress: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1),
			Incarnation: 1,
			State:       medlarwheel.StateLive,
		})
		c.views = append(c.views, nil)
		c.start(i)
	}
	return c
}

func (c *cluster) start(i int) {
	c.views[i] = medlardatacentre.NewView(c.instances[i], c.config)
	c.views[i].AddSeed(c.instances[0].PeerAddress)
	c.leaving[i] = false
}

func (c *cluster) round() {
	c.now = c.now.Add(time.Second)
	for i, v := range c.views {
		v.IncrementHeartbeat(c.now)
		for _, target := range v.Targets(c.now, c.random) {
			for j, peer := range c.instances {
				if peer.PeerAddress == target.Address && c.partition[i] == c.partition[j] && i != j {
					_ = c.views[j].Merge(c.now, v.Digest(c.now, c.instances[j].DataCentre))
					_ = v.Merge(c.now, c.views[j].Digest(c.now, c.instances[i].DataCentre))
				}
			}
		}
	}
}

type memberProgress struct {
	incarnation medlarwheel.Incarnation
	leaving     bool
}

// Guards against views that do not converge after a partition, that return to an earlier incarnation, or that revert a
// leaving state. Restarts, leaves and partitions happen at random.
func TestViewsConvergeAfterPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 9).Draw(t, "size")
		c := newCluster(size, rapid.IntRange(1, 3).Draw(t, "data centres"), rapid.Uint64().Draw(t, "seed"))
		if rapid.Bool().Draw(t, "small digest") {
			c.config.MaxDigest = 4
		}
		progress := map[string]memberProgress{}
		for phase := range 4 {
			for i := range c.partition {
				c.partition[i] = rapid.IntRange(0, 1).Draw(t, "side")
				switch rapid.IntRange(0, 7).Draw(t, "event") {
				case 0:
					c.instances[i].Incarnation++
					c.start(i)
				case 1:
					c.views[i].Leave(c.now)
					c.leaving[i] = true
				}
			}
			if phase == 3 {
				clear(c.partition)
			}
			for range rapid.IntRange(1, 40).Draw(t, "rounds") {
				c.round()
				c.checkProgress(t, progress)
			}
		}
		for range 120 {
			c.round()
		}
		c.checkConvergence(t)
	})
}

// checkProgress fails if a view returned to an earlier state of a member. A restarted instance starts with a new view.
func (c *cluster) checkProgress(t *rapid.T, progress map[string]memberProgress) {
	for i, v := range c.views {
		for _, m := range v.Members(c.now) {
			key := fmt.Sprintf("%s/%d of %s", c.instances[i].ID, c.instances[i].Incarnation, m.Instance)
			before := progress[key]
			if m.Incarnation < before.incarnation || (m.Incarnation == before.incarnation && before.leaving && !m.Leaving) {
				t.Fatalf("%s: got %+v after %+v", key, m, before)
			}
			progress[key] = memberProgress{m.Incarnation, m.Leaving}
		}
	}
}

func (c *cluster) checkConvergence(t *rapid.T) {
	for i, v := range c.views {
		members := v.Members(c.now)
		if len(members) != len(c.instances) {
			t.Fatalf("the view of %s has %d of %d members", c.instances[i].ID, len(members), len(c.instances))
		}
		for j, m := range members {
			want := medlardatacentre.StatusAlive
			if c.leaving[j] {
				want = medlardatacentre.StatusLeaving
			}
			if m.Status != want || m.Incarnation != c.instances[j].Incarnation {
				t.Fatalf("the view of %s has %+v, want incarnation %d, status %s", c.instances[i].ID, m, c.instances[j].Incarnation, want)
			}
		}
	}
}

// Guards against a digest limit that is too small for the largest cluster, so that heartbeats arrive late: no running member
// may become dead, and at most one in a thousand may be suspect.
func TestDigestLimitKeepsLargestClusterAlive(t *testing.T) {
	c := newCluster(144, 16, 1)
	counts := map[medlardatacentre.Status]int{}
	for round := range 40 {
		c.round()
		for _, v := range c.views {
			for _, m := range v.Members(c.now) {
				if round >= 20 {
					counts[m.Status]++
				}
			}
		}
	}
	if counts[medlardatacentre.StatusDead] > 0 || counts[medlardatacentre.StatusSuspect]*1000 > counts[medlardatacentre.StatusAlive] {
		t.Fatalf("got counts by status %v, want none dead and at most one in a thousand suspect", counts)
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

// Guards against an outdated list or digest that makes a dead, leaving or removed member alive again.
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
	expect("dead, missing from a list that may be outdated", medlardatacentre.StatusDead, false)
	now = now.Add(time.Minute)
	apply("", 0)
	expect("dead, missing from the list", medlardatacentre.StatusDead, true)
	alone := listWith(version+1, "", 0)
	alone.Entries[0].ID = "another"
	_ = v.ApplyList(now, alone)
	expect("dead, missing from a list without this instance", medlardatacentre.StatusDead, false)
	version++
	_ = v.Merge(now, peerDigest(2, 8, false))
	expect("higher heartbeat counter", medlardatacentre.StatusAlive, false)
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
	expect("removed", "", false)
	_ = v.Merge(now, peerDigest(3, 10, false))
	apply(medlarwheel.StateLive, 3)
	expect("outdated digest and list after removal", "", false)
	apply(medlarwheel.StateLive, 4)
	expect("next incarnation", medlardatacentre.StatusAlive, false)
	if err := v.ApplyList(now, listWith(1, medlarwheel.StateLeaving, 4)); err != nil {
		t.Fatal(err)
	}
	expect("older list", medlardatacentre.StatusAlive, false)
}

// Guards against a partition that never ends: two instances that consider each other dead and have no usable seed must
// contact each other again.
func TestDeadMembersAreContactedAfterPartition(t *testing.T) {
	c := newCluster(2, 1, 1)
	c.round()
	c.partition[1] = 1
	for range 20 {
		c.round()
	}
	if m := c.views[0].Members(c.now)[1]; m.Status != medlardatacentre.StatusDead {
		t.Fatalf("during the partition: got %+v, want a dead member", m)
	}
	c.partition[1] = 0
	c.instances[0].PeerAddress = "10.9.9.9:7000" // makes the seed address of the other instance unusable
	for range 100 {
		c.round()
	}
	if m := c.views[0].Members(c.now)[1]; m.Status != medlardatacentre.StatusAlive {
		t.Fatalf("after the partition: got %+v, want an alive member", m)
	}
}

// Guards against two incarnations of one instance that both continue, and against a process that considers all others dead
// after it was paused.
func TestViewReportsSupersessionAndToleratesPause(t *testing.T) {
	v := medlardatacentre.NewView(medlarwheel.EntryInstance{ID: "self", DataCentre: "dc", PeerAddress: "10.0.0.1:7000", Incarnation: 1}, medlardatacentre.DefaultViewConfig())
	v.IncrementHeartbeat(startTime)
	_ = v.Merge(startTime, peerDigest(1, 1, false))
	resumed := startTime.Add(time.Minute)
	v.IncrementHeartbeat(resumed)
	for _, m := range v.Members(resumed) {
		if m.Status != medlardatacentre.StatusAlive {
			t.Errorf("after a pause: got %+v, want an alive member", m)
		}
	}
	list := listWith(1, "", 0)
	list.Entries[0].Incarnation = 2
	if err := v.ApplyList(startTime, list); !errors.Is(err, medlardatacentre.ErrSuperseded) {
		t.Errorf("list with a higher incarnation: got error %v, want ErrSuperseded", err)
	}
	self := medlardatacentre.Member{Instance: "self", Incarnation: 2}
	if err := v.Merge(startTime, []medlardatacentre.Member{self}); !errors.Is(err, medlardatacentre.ErrSuperseded) {
		t.Errorf("digest with a higher incarnation: got error %v, want ErrSuperseded", err)
	}
}
