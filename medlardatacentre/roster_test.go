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

// subsets returns all subsets of the ids with the given size.
func subsets(ids []medlarwheel.InstanceID, size int) [][]medlarwheel.InstanceID {
	if size == 0 {
		return [][]medlarwheel.InstanceID{nil}
	}
	var sets [][]medlarwheel.InstanceID
	for i, id := range ids {
		for _, remaining := range subsets(ids[i+1:], size-1) {
			sets = append(sets, append([]medlarwheel.InstanceID{id}, remaining...))
		}
	}
	return sets
}

// majorities returns all smallest majorities of the voters.
func majorities(voters []medlardatacentre.Voter) [][]medlarwheel.InstanceID {
	var ids []medlarwheel.InstanceID
	for _, v := range voters {
		ids = append(ids, v.Instance)
	}
	return subsets(ids, len(ids)/2+1)
}

func intersects(a, b []medlarwheel.InstanceID) bool {
	return slices.ContainsFunc(a, func(id medlarwheel.InstanceID) bool { return slices.Contains(b, id) })
}

// learnsVote reports whether a voter of a majority of the next group holds or copies a vote of the old majority.
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

// checkPlan fails if the change loses a vote that could have granted a claim, unless the plan sets a quarantine.
func checkPlan(t *rapid.T, current, next medlardatacentre.Roster, view map[medlarwheel.InstanceID]medlardatacentre.Member, now time.Time) {
	if faults := next.Check(); len(faults) > 0 || next.Epoch != current.Epoch+1 {
		t.Fatalf("got epoch %d after %d, invalid values: %v", next.Epoch, current.Epoch, faults)
	}
	checkWeakEvidence(t, current, next, view, now)
	var kept, mayBeRunning []medlarwheel.InstanceID
	for i, v := range current.Voters {
		if after, still := next.Voter(v.Instance); still && after.Incarnation == v.Incarnation {
			kept = append(kept, v.Instance)
			if after.SinceEpoch != v.SinceEpoch {
				t.Fatalf("kept voter %s got another SinceEpoch", v.Instance)
			}
			if len(next.Voters) == len(current.Voters) && next.Voters[i].Instance != v.Instance {
				t.Fatalf("kept voter %s got another position", v.Instance)
			}
		} else if m := view[v.Instance]; m.Incarnation == v.Incarnation && m.Status == medlardatacentre.StatusDead && !m.Unlisted {
			mayBeRunning = append(mayBeRunning, v.Instance)
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
	if len(mayBeRunning) >= len(current.Voters)/2+1 {
		t.Fatalf("a majority that may be running was replaced: %+v by %+v", current.Voters, next.Voters)
	}
	for _, v := range next.Voters {
		if !v.QuarantineFrom.Equal(now) {
			t.Fatalf("votes are lost without a quarantine: %+v replaced by %+v", current.Voters, next.Voters)
		}
	}
}

// checkWeakEvidence fails if the plan removes a member, adds a voter or uses a source on insufficient evidence.
func checkWeakEvidence(t *rapid.T, current, next medlardatacentre.Roster, view map[medlarwheel.InstanceID]medlardatacentre.Member, now time.Time) {
	alive, dead := 0, 0
	for _, m := range view {
		if m.Status == medlardatacentre.StatusAlive {
			alive++
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
			same && seen.Status == medlardatacentre.StatusDead && !seen.Unlisted && dead > alive
		if _, member := next.Member(m.Instance); weak && !member {
			t.Fatalf("member %s was removed although the view has %+v", m.Instance, seen)
		}
	}
	for _, v := range next.Voters {
		if v.SinceEpoch == next.Epoch && view[v.Instance].Status != medlardatacentre.StatusAlive {
			t.Fatalf("member %+v became a voter, but is not alive", view[v.Instance])
		}
	}
	recovered := now.Sub(current.VotersChangedAt) >= 30*time.Second || len(current.Sources) == 0
	for _, id := range next.Sources {
		if next.VotersChangedAt.Equal(now) && !recovered && next.Voters[0].QuarantineFrom.IsZero() && !slices.Contains(current.Sources, id) {
			t.Fatalf("voter %s is a source, but may not have recovered", id)
		}
	}
}

// Guards against plans that lose votes without a quarantine, replace a majority that may still be running, remove a suspect
// member, or depend on the order of the members. The states of five instances change at random.
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
				t.Fatalf("the plan depends on the order of the members: %+v and %+v", next, again)
			}
			if !changed {
				continue
			}
			checkPlan(t, current, next, view, now)
			if more, again := medlardatacentre.PlanRoster(next, members, now.Add(time.Minute)); again && !slices.Equal(more.Members, next.Members) {
				t.Fatalf("members change again although the view did not: %+v and %+v", next, more)
			}
			current = next
		}
	})
}

// changeMembers changes the state of one to three of five instances.
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

// exampleRoster returns the roster after four instances have started, one has left and one has restarted, so that two
// voters are lost.
func exampleRoster() medlardatacentre.Roster {
	members := aliveMembers("entry-1", "entry-2", "entry-3", "entry-4")
	roster, _ := medlardatacentre.PlanRoster(medlardatacentre.Roster{DataCentre: "north"}, members[:1], startTime)
	roster, _ = medlardatacentre.PlanRoster(roster, members, startTime.Add(time.Second))
	members[1].Status, members[2].Incarnation = medlardatacentre.StatusLeaving, 2
	roster, _ = medlardatacentre.PlanRoster(roster, members, startTime.Add(time.Minute))
	return roster
}

// Guards against an accidental change of the stored encoding, and against a stored roster that cannot be decoded.
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
		t.Fatalf("decoded and encoded again: got %s, error %v", again, err)
	}
	bad := bytes.Replace(want, []byte(`"since-epoch": 3`), []byte(`"since-epoch": 9`), 1)
	bad = bytes.Replace(bad, []byte(`"entry-2"`), []byte(`"entry-1"`), 1)
	var faults medlarwheel.Faults
	if _, err := medlardatacentre.DecodeRoster(bad); !errors.As(err, &faults) || len(faults) < 2 {
		t.Fatalf("invalid roster: got error %v, want two faults or more", err)
	}
}

// Guards against a process that votes before it has copied the votes that it needs.
func TestRecoveryPlanCopiesMissingVotes(t *testing.T) {
	one, _ := medlardatacentre.PlanRoster(medlardatacentre.Roster{DataCentre: "north"}, aliveMembers("entry-1"), startTime)
	three, _ := medlardatacentre.PlanRoster(one, aliveMembers("entry-1", "entry-2", "entry-3"), startTime.Add(time.Second))
	members := aliveMembers("entry-1", "entry-2", "entry-3", "entry-4")
	members[2].Status = medlardatacentre.StatusDead
	replaced, _ := medlardatacentre.PlanRoster(three, members, startTime.Add(time.Minute))
	cases := []struct {
		name                  string
		roster                medlardatacentre.Roster
		instance              medlarwheel.InstanceID
		incarnation           medlarwheel.Incarnation
		bootstrap, sufficient bool
		sources               int
	}{
		{"first voter", one, "entry-1", 1, true, false, 0},
		{"single voter restarted", one, "entry-1", 2, false, false, 0},
		{"joining voter", three, "entry-2", 1, false, true, 1},
		{"one of three voters restarted", three, "entry-1", 2, false, true, 2},
		{"replacement of a lost voter", replaced, "entry-4", 1, false, true, 2},
		{"voter that is a source but has not recovered", replaced, "entry-2", 1, false, false, 1},
	}
	for _, c := range cases {
		plan := c.roster.Recovery(c.instance, c.incarnation)
		if !plan.IsVoter || plan.Bootstrap != c.bootstrap || plan.Sufficient != c.sufficient || len(plan.Sources) != c.sources {
			t.Errorf("%s: got plan %+v, want bootstrap %v, sufficient %v and %d sources", c.name, plan, c.bootstrap, c.sufficient, c.sources)
		}
	}
}

// Guards against a roster that is replaced by one with a lower epoch.
func TestRosterMapKeepsHighestEpoch(t *testing.T) {
	m := medlardatacentre.NewRosterMap()
	roster := exampleRoster()
	if !m.Merge(roster) || m.Merge(roster) || m.Epoch("north") != roster.Epoch || len(m.Voters("north")) != 3 {
		t.Fatalf("merging the same roster twice: got epoch %d and voters %v, want epoch %d, 3 voters and only the first merge to succeed", m.Epoch("north"), m.Voters("north"), roster.Epoch)
	}
	later := roster
	later.Epoch++
	if !m.Merge(later) || m.Merge(roster) {
		t.Fatal("a higher epoch is not stored, or a lower one replaces it")
	}
}

// Guards against the reuse of upstream slots while the process that had them may still use them: a removed or replaced
// process stays listed, even if its instance joins again, until it gives up its slots itself.
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
		t.Fatalf("got removed processes %+v, want incarnation 1 of entry-2", restarted.Removed)
	}
	if faults := restarted.Check(); len(faults) > 0 {
		t.Fatal(faults)
	}
	if _, ok := restarted.Relinquish("entry-2", 2); ok {
		t.Fatal("a current member relinquished its slots")
	}
	next, ok := restarted.Relinquish("entry-2", 1)
	if !ok || len(next.Removed) != 0 || next.Epoch != restarted.Epoch+1 {
		t.Fatalf("after the earlier process relinquished: got %+v, want no removed process and the next epoch", next)
	}
}

// Guards against a data centre that can never vote again after its only instance has left or crashed, and against one that
// votes without a quarantine although the votes of its only voter are lost.
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
		t.Fatalf("after the only instance left: got %+v, want a changed roster without members", empty)
	}
	left, ok := empty.Relinquish("entry-1", 1)
	if !ok {
		t.Fatal("the last instance cannot relinquish its slots and vote")
	}
	data, err := json.Marshal(left)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := medlardatacentre.DecodeRoster(data); err != nil {
		t.Fatalf("decoding a roster without members: %v", err)
	}
	requireQuarantined(t, left, []medlardatacentre.Member{next})

	dead := only
	dead.Status, dead.Unlisted = medlardatacentre.StatusDead, true
	requireQuarantined(t, first, []medlardatacentre.Member{next, dead})
	if known := first.KnownMembers(); len(known) != 1 || known[0].Instance != "entry-1" || known[0].PeerAddress == "" {
		t.Fatalf("got known members %+v, want entry-1 with its address", known)
	}
}

func requireQuarantined(t *testing.T, current medlardatacentre.Roster, members []medlardatacentre.Member) {
	t.Helper()
	roster, changed := medlardatacentre.PlanRoster(current, members, startTime.Add(time.Minute))
	if !changed || len(roster.Voters) != 1 || roster.Voters[0].Instance != "entry-9" || roster.Voters[0].QuarantineFrom.IsZero() {
		t.Fatalf("got voters %+v, want only entry-9 with a quarantine", roster.Voters)
	}
}
