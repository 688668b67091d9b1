package medlardatacentre_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwheel"
	"medlarwheel/medlardatacentre"
)

// subsets returns all sets of exactly size of the ids.
func subsets(ids []medlarwheel.InstanceID, size int) [][]medlarwheel.InstanceID {
	if size == 0 {
		return [][]medlarwheel.InstanceID{nil}
	}
	var sets [][]medlarwheel.InstanceID
	for i, id := range ids {
		for _, rest := range subsets(ids[i+1:], size-1) {
			sets = append(sets, append([]medlarwheel.InstanceID{id}, rest...))
		}
	}
	return sets
}

func majorities(seats []medlardatacentre.Voter) [][]medlarwheel.InstanceID {
	var ids []medlarwheel.InstanceID
	for _, s := range seats {
		ids = append(ids, s.Instance)
	}
	return subsets(ids, len(ids)/2+1)
}

func intersects(a, b []medlarwheel.InstanceID) bool {
	return slices.ContainsFunc(a, func(id medlarwheel.InstanceID) bool { return slices.Contains(b, id) })
}

// learnsVote reports whether a seat of a majority of the next group holds, or copies, a vote of the old majority.
func learnsVote(next *medlardatacentre.Roster, majority, old, kept []medlarwheel.InstanceID) bool {
	for _, id := range majority {
		if slices.Contains(kept, id) {
			if slices.Contains(old, id) {
				return true
			}
		} else if intersects(next.Sources, old) {
			return true
		}
	}
	return false
}

// checkPlan fails if the change loses a vote that could have granted a claim, unless the plan marks it.
func checkPlan(t *rapid.T, current, next medlardatacentre.Roster, view map[medlarwheel.InstanceID]medlardatacentre.Member, now time.Time) {
	if faults := next.Check(); len(faults) > 0 || next.Epoch != current.Epoch+1 {
		t.Fatalf("epoch %d after %d: %v", next.Epoch, current.Epoch, faults)
	}
	checkWeakEvidence(t, current, next, view, now)
	var kept, running []medlarwheel.InstanceID
	for i, s := range current.Voters {
		if after, still := next.Voter(s.Instance); still && after.Incarnation == s.Incarnation {
			kept = append(kept, s.Instance)
			if after.SinceEpoch != s.SinceEpoch {
				t.Fatalf("kept seat %s got another epoch", s.Instance)
			}
			if len(next.Voters) == len(current.Voters) && next.Voters[i].Instance != s.Instance {
				t.Fatalf("kept seat %s got another place", s.Instance)
			}
		} else if m := view[s.Instance]; m.Incarnation == s.Incarnation && m.Status == medlardatacentre.StatusDead && !m.Unlisted {
			running = append(running, s.Instance)
		}
	}
	lost := false
	for _, majority := range majorities(next.Voters) {
		for _, old := range majorities(current.Voters) {
			lost = lost || !learnsVote(&next, majority, old, kept)
		}
	}
	if len(current.Voters) == 0 || !lost {
		return
	}
	if len(running) >= len(current.Voters)/2+1 {
		t.Fatalf("replaced a majority that may be running: %+v by %+v", current.Voters, next.Voters)
	}
	for _, s := range next.Voters {
		if !s.QuarantineFrom.Equal(now) {
			t.Fatalf("votes are lost without a mark: %+v by %+v", current.Voters, next.Voters)
		}
	}
}

// checkWeakEvidence fails if the plan acts on weak evidence.
func checkWeakEvidence(t *rapid.T, current, next medlardatacentre.Roster, view map[medlarwheel.InstanceID]medlardatacentre.Member, now time.Time) {
	here, dead := 0, 0
	for _, m := range view {
		if m.Status == medlardatacentre.StatusAlive {
			here++
		}
	}
	for _, m := range current.Members {
		if seen := view[m.Instance]; seen.Incarnation == m.Incarnation && seen.Status == medlardatacentre.StatusDead && !seen.Unlisted {
			dead++
		}
	}
	for _, m := range current.Members {
		seen, known := view[m.Instance]
		same := seen.Incarnation == m.Incarnation
		weak := !known || same && seen.Status == medlardatacentre.StatusSuspect ||
			same && seen.Status == medlardatacentre.StatusDead && !seen.Unlisted && dead > here
		if _, member := next.Member(m.Instance); weak && !member {
			t.Fatalf("member %s was removed while seen as %+v", m.Instance, seen)
		}
	}
	for _, s := range next.Voters {
		if s.SinceEpoch == next.Epoch && view[s.Instance].Status != medlardatacentre.StatusAlive {
			t.Fatalf("new seat for %+v", view[s.Instance])
		}
	}
	settled := now.Sub(current.VotersChangedAt) >= 30*time.Second || len(current.Sources) == 0
	for _, id := range next.Sources {
		if next.VotersChangedAt.Equal(now) && !settled && next.Voters[0].QuarantineFrom.IsZero() && !slices.Contains(current.Sources, id) {
			t.Fatalf("seat %s is a source, but may not have recovered", id)
		}
	}
}

// Guards against plans that lose votes without a mark, replace a majority that may be running, remove a suspect member,
// or depend on the order of members.
func TestPlanRosterKeepsVotes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := startTime
		current := medlardatacentre.Roster{DataCentre: "dc"}
		view := map[medlarwheel.InstanceID]medlardatacentre.Member{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(rapid.SampledFrom([]time.Duration{time.Second, 31 * time.Second, 11 * time.Minute}).Draw(t, "step"))
			changeMembers(t, view)
			var members []medlardatacentre.Member
			for _, id := range slices.Sorted(maps.Keys(view)) {
				members = append(members, view[id])
			}
			next, changed := medlardatacentre.PlanRoster(current, members, now)
			slices.Reverse(members)
			if again, _ := medlardatacentre.PlanRoster(current, members, now); fmt.Sprint(again) != fmt.Sprint(next) {
				t.Fatalf("the plan depends on the order: %+v and %+v", next, again)
			}
			if !changed {
				continue
			}
			checkPlan(t, current, next, view, now)
			if more, again := medlardatacentre.PlanRoster(next, members, now.Add(time.Minute)); again && !slices.Equal(more.Members, next.Members) {
				t.Fatalf("members change again without news: %+v and %+v", next, more)
			}
			current = next
		}
	})
}

// changeMembers gives one to three of five instances another state.
func changeMembers(t *rapid.T, view map[medlarwheel.InstanceID]medlardatacentre.Member) {
	states := []medlardatacentre.Status{medlardatacentre.StatusAlive, medlardatacentre.StatusAlive, medlardatacentre.StatusSuspect, medlardatacentre.StatusDead, medlardatacentre.StatusLeaving}
	for range rapid.IntRange(1, 3).Draw(t, "changes") {
		i := rapid.IntRange(1, 5).Draw(t, "instance")
		id := medlarwheel.InstanceID(fmt.Sprintf("entry-%d", i))
		m, known := view[id]
		if known && rapid.IntRange(0, 19).Draw(t, "forgotten") == 0 {
			delete(view, id)
			continue
		}
		if !known {
			m = medlardatacentre.Member{Instance: id, DataCentre: "dc", PeerAddress: fmt.Sprintf("10.0.0.%d:7000", i)}
		}
		if !known || rapid.IntRange(0, 3).Draw(t, "restart") == 0 || m.Status == medlardatacentre.StatusLeaving {
			m.Incarnation++
		}
		m.Status = rapid.SampledFrom(states).Draw(t, "status")
		m.Unlisted = m.Status == medlardatacentre.StatusDead && rapid.Bool().Draw(t, "unlisted")
		view[id] = m
	}
}

func aliveMembers(ids ...medlarwheel.InstanceID) []medlardatacentre.Member {
	var members []medlardatacentre.Member
	for i, id := range ids {
		members = append(members, medlardatacentre.Member{
			Instance: id, DataCentre: "north", PeerAddress: fmt.Sprintf("10.0.0.%d:7000", i+1), Incarnation: 1, Status: medlardatacentre.StatusAlive,
		})
	}
	return members
}

// exampleRoster is the roster after the start of four instances, the end of one and the loss of two seats.
func exampleRoster() medlardatacentre.Roster {
	members := aliveMembers("entry-1", "entry-2", "entry-3", "entry-4")
	roster, _ := medlardatacentre.PlanRoster(medlardatacentre.Roster{DataCentre: "north"}, members[:1], startTime)
	roster, _ = medlardatacentre.PlanRoster(roster, members, startTime.Add(time.Second))
	members[1].Status, members[2].Incarnation = medlardatacentre.StatusLeaving, 2
	roster, _ = medlardatacentre.PlanRoster(roster, members, startTime.Add(time.Minute))
	return roster
}

// Guards against an accidental change of the stored form, and against one that does not read back.
func TestRosterEncodingMatchesGoldenFile(t *testing.T) {
	const path = "testdata/roster.json"
	roster := exampleRoster()
	got, err := json.MarshalIndent(roster, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	got = append(got, '\n')
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil || !bytes.Equal(got, want) {
		t.Fatalf("got %s, want %s (%v)", got, want, err)
	}
	back, err := medlardatacentre.DecodeRoster(want)
	if again, _ := json.MarshalIndent(back, "", "  "); err != nil || !bytes.Equal(append(again, '\n'), want) {
		t.Fatalf("read back: %s, %v", again, err)
	}
	bad := bytes.Replace(want, []byte(`"since-epoch": 3`), []byte(`"since-epoch": 9`), 1)
	bad = bytes.Replace(bad, []byte(`"entry-2"`), []byte(`"entry-1"`), 1)
	var faults medlarwheel.Faults
	if _, err := medlardatacentre.DecodeRoster(bad); !errors.As(err, &faults) || len(faults) < 2 {
		t.Fatalf("bad roster: got %v", err)
	}
}

// Guards against a process that votes without the votes it has to copy.
func TestRecoveryPlanCopiesMissingVotes(t *testing.T) {
	one, _ := medlardatacentre.PlanRoster(medlardatacentre.Roster{DataCentre: "north"}, aliveMembers("entry-1"), startTime)
	three, _ := medlardatacentre.PlanRoster(one, aliveMembers("entry-1", "entry-2", "entry-3"), startTime.Add(time.Second))
	members := aliveMembers("entry-1", "entry-2", "entry-3", "entry-4")
	members[2].Status = medlardatacentre.StatusDead
	replaced, _ := medlardatacentre.PlanRoster(three, members, startTime.Add(time.Minute))
	cases := []struct {
		name             string
		roster           medlardatacentre.Roster
		instance         medlarwheel.InstanceID
		incarnation      medlarwheel.Incarnation
		founding, enough bool
		sources          int
	}{
		{"first seat", one, "entry-1", 1, true, false, 0},
		{"single seat restarted", one, "entry-1", 2, false, false, 0},
		{"joining seat", three, "entry-2", 1, false, true, 1},
		{"one of three restarted", three, "entry-1", 2, false, true, 2},
		{"replacement", replaced, "entry-4", 1, false, true, 2},
		{"source that has not recovered", replaced, "entry-2", 1, false, false, 1},
	}
	for _, c := range cases {
		plan := c.roster.Recovery(c.instance, c.incarnation)
		if !plan.IsVoter || plan.Bootstrap != c.founding || plan.Sufficient != c.enough || len(plan.Sources) != c.sources {
			t.Errorf("%s: got %+v", c.name, plan)
		}
	}
}

// Guards against a roster that goes back.
func TestRosterMapKeepsHighestEpoch(t *testing.T) {
	m := medlardatacentre.NewRosterMap()
	roster := exampleRoster()
	if !m.Merge(roster) || m.Merge(roster) || m.Epoch("north") != roster.Epoch || len(m.Voters("north")) != 3 {
		t.Fatalf("got epoch %d, seats %v", m.Epoch("north"), m.Voters("north"))
	}
	later := roster
	later.Epoch++
	if !m.Merge(later) || m.Merge(roster) {
		t.Fatal("epochs do not grow only")
	}
}

// Guards against a slot share that is reused although the process that had it gave no notice: a removed or replaced process
// stays listed, also when its instance joins again, until it gives up its slots itself.
func TestRemovedProcessStaysListedUntilItRelinquishes(t *testing.T) {
	member := func(id medlarwheel.InstanceID, incarnation medlarwheel.Incarnation) medlardatacentre.Member {
		return medlardatacentre.Member{
			Instance: id, DataCentre: "north", PeerAddress: "127.0.0.1:7100", Incarnation: incarnation, Status: medlardatacentre.StatusAlive,
		}
	}
	first, _ := medlardatacentre.PlanRoster(medlardatacentre.Roster{DataCentre: "north"},
		[]medlardatacentre.Member{member("entry-1", 1), member("entry-2", 1)}, startTime)
	restarted, changed := medlardatacentre.PlanRoster(first, []medlardatacentre.Member{member("entry-1", 1), member("entry-2", 2)}, startTime)
	if !changed || len(restarted.Removed) != 1 || restarted.Removed[0].Incarnation != 1 {
		t.Fatalf("removed %+v, want the first process of entry-2", restarted.Removed)
	}
	if faults := restarted.Check(); len(faults) > 0 {
		t.Fatal(faults)
	}
	if _, ok := restarted.Relinquish("entry-2", 2); ok {
		t.Fatal("a process that was not removed gave up")
	}
	next, ok := restarted.Relinquish("entry-2", 1)
	if !ok || len(next.Removed) != 0 || next.Epoch != restarted.Epoch+1 {
		t.Fatalf("got %+v", next)
	}
}

// Guards against a data centre whose only instance has left or crashed and that never votes again, and against one that
// votes at once although the votes of its only seat are lost.
func TestDataCentreRecoversFromTheLossOfItsOnlyInstance(t *testing.T) {
	only := medlardatacentre.Member{
		Instance: "entry-1", DataCentre: "north", PeerAddress: "127.0.0.1:7100", Incarnation: 1, Status: medlardatacentre.StatusAlive,
	}
	next := medlardatacentre.Member{
		Instance: "entry-9", DataCentre: "north", PeerAddress: "127.0.0.1:7109", Incarnation: 1, Status: medlardatacentre.StatusAlive,
	}
	first, _ := medlardatacentre.PlanRoster(medlardatacentre.Roster{DataCentre: "north"}, []medlardatacentre.Member{only}, startTime)
	leaving := only
	leaving.Status, leaving.Leaving = medlardatacentre.StatusLeaving, true
	empty, changed := medlardatacentre.PlanRoster(first, []medlardatacentre.Member{leaving}, startTime)
	if !changed || len(empty.Members) != 0 {
		t.Fatalf("got %+v", empty)
	}
	left, ok := empty.Relinquish("entry-1", 1)
	if !ok {
		t.Fatal("the last instance has nothing to give up")
	}
	data, err := json.Marshal(left)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := medlardatacentre.DecodeRoster(data); err != nil {
		t.Fatalf("a roster without members can't be read: %v", err)
	}
	requireQuarantined(t, left, []medlardatacentre.Member{next})

	dead := only
	dead.Status, dead.Unlisted = medlardatacentre.StatusDead, true
	requireQuarantined(t, first, []medlardatacentre.Member{next, dead})
	if known := first.KnownMembers(); len(known) != 1 || known[0].Instance != "entry-1" || known[0].PeerAddress == "" {
		t.Fatalf("a new instance learns %+v from the roster", known)
	}
}

func requireQuarantined(t *testing.T, current medlardatacentre.Roster, members []medlardatacentre.Member) {
	t.Helper()
	roster, changed := medlardatacentre.PlanRoster(current, members, startTime.Add(time.Minute))
	if !changed || len(roster.Voters) != 1 || roster.Voters[0].Instance != "entry-9" || roster.Voters[0].QuarantineFrom.IsZero() {
		t.Fatalf("got %+v, want one quarantined seat of entry-9", roster.Voters)
	}
}
