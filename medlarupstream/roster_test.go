package medlarupstream

import (
	"slices"
	"testing"
	"time"

	"medlarwheel"
)

// Guards against an instance that uses its share on evidence that others may not share: an old contact, one peer of four,
// peers that are in doubt themselves, word of another epoch, or being the only member after a pause.
func TestConfirmationsKeepMembershipValid(t *testing.T) {
	four := []medlarwheel.InstanceID{"a", "b", "c", "d"}
	peer := func(id medlarwheel.InstanceID, epoch medlarwheel.Epoch, inDoubt bool) Confirmation {
		return Confirmation{Peer: id, Epoch: epoch, Isolated: inDoubt, Sent: at(10 * time.Second)}
	}
	cases := []struct {
		name     string
		members  []medlarwheel.InstanceID
		contacts []Confirmation
		stands   bool
	}{
		{"nothing", four, nil, false},
		{"platform", four, []Confirmation{peer("", 1, false)}, true},
		{"platform at another epoch", four, []Confirmation{peer("", 2, false)}, false},
		{"one peer of four", four, []Confirmation{peer("b", 1, false)}, false},
		{"a majority", four, []Confirmation{peer("b", 1, false), peer("c", 1, false)}, true},
		{"a majority in doubt", four, []Confirmation{peer("b", 1, true), peer("c", 1, true)}, false},
		{"all in doubt", four, []Confirmation{peer("b", 1, true), peer("c", 1, true), peer("d", 1, true)}, true},
		{"a majority at another epoch", four, []Confirmation{peer("b", 1, false), peer("c", 2, false)}, false},
		{"others than members", four, []Confirmation{peer("x", 1, false), peer("y", 1, false)}, false},
		{"the other of two", four[:2], []Confirmation{peer("b", 1, false)}, true},
		{"only member after a pause", four[:1], nil, false},
	}
	for _, c := range cases {
		s := newMember("a", c.members...)
		if s.Isolated(at(7*time.Second)) || (len(c.members) > 1 && !s.Isolated(at(8*time.Second))) {
			t.Errorf("%s: the share must be in use for 8 s after contact", c.name)
		}
		for _, contact := range c.contacts {
			s.HandleConfirmation(at(30*time.Second), contact)
		}
		if got := !s.Isolated(at(17999 * ms)); got != c.stands {
			t.Errorf("%s: in use is %v, want %v", c.name, got, c.stands)
		}
	}
	sole := newMember("a", "a")
	for now := time.Duration(0); now < time.Minute; now += 7 * time.Second {
		if sole.Isolated(at(now)) {
			t.Fatalf("the only member stopped after %v", now)
		}
	}
}

// Guards against slots that are used by a new owner while an old one may still use them: before all members know the
// roster, before the rest is over, after a missed epoch, or by a new process.
func TestReassignedSlotsWaitForCooldown(t *testing.T) {
	roster := func(epoch medlarwheel.Epoch, members ...medlarwheel.InstanceID) Roster {
		return Roster{DataCentre: "north", Epoch: epoch, Members: members}
	}
	usable := func(s *Shares, now time.Duration) int {
		s.HandleConfirmation(at(now), Confirmation{Epoch: s.roster.Epoch, Sent: at(now)})
		return int(s.Capacity(at(now), "s"))
	}
	s := newMember("a", "a", "b", "c")
	before := usable(s, 0)
	s.SetRoster(at(time.Second), roster(2, "a", "b"))
	s.SetRoster(at(time.Second), roster(1, "a"))
	if got := usable(s, time.Hour); got != before {
		t.Errorf("%d slots usable before b knows the roster, want %d", got, before)
	}
	s.HandleConfirmation(at(time.Hour), Confirmation{Peer: "b", Epoch: 3})
	s.HandleConfirmation(at(time.Hour), Confirmation{Peer: "b", Epoch: 2})
	rest := time.Hour + 15*time.Second // ReuseDelay and MaxRequest
	if got := usable(s, rest-ms); got != before {
		t.Errorf("%d slots usable during the rest, want %d", got, before)
	}
	after := usable(s, rest)
	if after <= before {
		t.Errorf("%d slots usable after the rest, %d before the change", after, before)
	}
	s.SetRoster(at(2*time.Hour), roster(4, "a", "b"))
	if got := usable(s, 2*time.Hour); got != 0 {
		t.Errorf("%d slots usable after a missed epoch, want 0", got)
	}
	restarted := NewShares(DefaultSharesConfig("a", "north", 2))
	restarted.SetUpstream(at(0), testUpstream("u1"), testSpec)
	unclean := roster(1, "a")
	unclean.Unclean = true
	restarted.SetRoster(at(0), unclean)
	if usable(restarted, 15*time.Second-ms) != 0 || usable(restarted, 15*time.Second) != 8 {
		t.Error("a new process must let its slots rest")
	}
	if _, ok := restarted.Acquire(at(15*time.Second), "u1", at(20*time.Second+ms)); ok {
		t.Error("a request longer than the rest allows for was started")
	}
}

// Guards against a rest that keeps the slots of a joining member idle although every earlier user has given them up, and
// against ending the rest on the word of some members only.
func TestDrainedSlotsSkipCooldown(t *testing.T) {
	s := NewShares(DefaultSharesConfig("c", "north", 1))
	s.SetUpstream(at(0), testUpstream("u1"), testSpec)
	s.SetRoster(at(0), Roster{DataCentre: "north", Epoch: 2, Members: []medlarwheel.InstanceID{"a", "b", "c"}})
	s.HandleConfirmation(at(0), Confirmation{Epoch: 2, Sent: at(0)})
	s.HandleConfirmation(at(0), Confirmation{Peer: "a", Epoch: 2, Sent: at(0), Drained: true})
	s.HandleConfirmation(at(0), Confirmation{Peer: "b", Epoch: 2, Sent: at(0)})
	if got := s.Capacity(at(0), "s"); got != 0 {
		t.Errorf("%d slots usable before b has given up its slots, want 0", got)
	}
	s.HandleConfirmation(at(ms), Confirmation{Peer: "b", Epoch: 2, Sent: at(ms), Drained: true})
	owned := 0
	for i := range int(testSpec.Slots) {
		if Owner("u1", i, s.roster.Members) == "c" {
			owned++
		}
	}
	if got := int(s.Capacity(at(ms), "s")); got != owned || owned == 0 {
		t.Errorf("%d slots usable once all are drained, want %d", got, owned)
	}
}

// Guards against slots that have no owner or move without need when the roster changes.
func TestOwnerStableWhenMemberLeaves(t *testing.T) {
	members := []medlarwheel.InstanceID{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"}
	fewer := slices.DeleteFunc(slices.Clone(members), func(m medlarwheel.InstanceID) bool { return m == "e3" })
	counts := map[medlarwheel.InstanceID]int{}
	for u := range 1000 {
		id := medlarwheel.UpstreamID(rune('a'+u%26)) + medlarwheel.UpstreamID(rune('0'+u/26))
		for i := range 8 {
			owner := Owner(id, i, members)
			counts[owner]++
			if owner != "e3" && Owner(id, i, fewer) != owner {
				t.Fatalf("slot %d of %s moved from %s although e3 left", i, id, owner)
			}
		}
	}
	for _, m := range members {
		if counts[m] < 850 || counts[m] > 1150 {
			t.Errorf("%s owns %d of 8000 slots, want about 1000", m, counts[m])
		}
	}
}
