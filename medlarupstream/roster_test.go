package medlarupstream

import (
	"slices"
	"testing"
	"time"

	"medlarwheel"
)

// Guards against an instance that uses its slots although the other members may have moved on to another roster: with an old
// confirmation, that of one peer of four, of peers that are isolated themselves or of another epoch, or as the sole member
// after a pause.
func TestConfirmationsKeepMembershipValid(t *testing.T) {
	four := []medlarwheel.InstanceID{"a", "b", "c", "d"}
	peer := func(id medlarwheel.InstanceID, epoch medlarwheel.Epoch, isolated bool) Confirmation {
		return Confirmation{Peer: id, Epoch: epoch, Isolated: isolated, Sent: at(10 * time.Second)}
	}
	cases := []struct {
		name          string
		members       []medlarwheel.InstanceID
		confirmations []Confirmation
		valid         bool
	}{
		{"no confirmation", four, nil, false},
		{"platform", four, []Confirmation{peer("", 1, false)}, true},
		{"platform at another epoch", four, []Confirmation{peer("", 2, false)}, false},
		{"one peer of four", four, []Confirmation{peer("b", 1, false)}, false},
		{"a majority", four, []Confirmation{peer("b", 1, false), peer("c", 1, false)}, true},
		{"a majority, isolated", four, []Confirmation{peer("b", 1, true), peer("c", 1, true)}, false},
		{"all, isolated", four, []Confirmation{peer("b", 1, true), peer("c", 1, true), peer("d", 1, true)}, true},
		{"a majority at another epoch", four, []Confirmation{peer("b", 1, false), peer("c", 2, false)}, false},
		{"instances that are not members", four, []Confirmation{peer("x", 1, false), peer("y", 1, false)}, false},
		{"the other of two", four[:2], []Confirmation{peer("b", 1, false)}, true},
		{"sole member after a pause", four[:1], nil, false},
	}
	for _, c := range cases {
		s := newMember("a", c.members...)
		if s.Isolated(at(7*time.Second)) || (len(c.members) > 1 && !s.Isolated(at(8*time.Second))) {
			t.Errorf("%s: the membership must stay valid for 8 s after a confirmation", c.name)
		}
		for _, confirmation := range c.confirmations {
			s.HandleConfirmation(at(30*time.Second), confirmation)
		}
		if got := !s.Isolated(at(17999 * ms)); got != c.valid {
			t.Errorf("%s: membership valid is %v, want %v", c.name, got, c.valid)
		}
	}
	sole := newMember("a", "a")
	for now := time.Duration(0); now < time.Minute; now += 7 * time.Second {
		if sole.Isolated(at(now)) {
			t.Fatalf("the sole member stopped after %v", now)
		}
	}
}

// Guards against a new owner that uses a slot while a previous one may still use it: before all members use the roster epoch,
// before the cooldown has ended, after a missed epoch, or in a new process.
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
		t.Errorf("%d slots usable before b uses the roster epoch, want %d", got, before)
	}
	s.HandleConfirmation(at(time.Hour), Confirmation{Peer: "b", Epoch: 3})
	s.HandleConfirmation(at(time.Hour), Confirmation{Peer: "b", Epoch: 2})
	cooldownEnd := time.Hour + 15*time.Second // ReuseDelay and MaxRequest
	if got := usable(s, cooldownEnd-ms); got != before {
		t.Errorf("%d slots usable during the cooldown, want %d", got, before)
	}
	after := usable(s, cooldownEnd)
	if after <= before {
		t.Errorf("%d slots usable after the cooldown, want more than the %d before the change", after, before)
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
		t.Error("a new process must not use its slots before the cooldown has ended, and must use all of them afterwards")
	}
	if _, ok := restarted.Acquire(at(15*time.Second), "u1", at(20*time.Second+ms)); ok {
		t.Error("a request was started whose deadline is later than the cooldown allows for")
	}
}

// Guards against a cooldown that keeps the slots of a joining member idle although every previous user has released them, and
// against ending the cooldown when only some members have reported that they are drained.
func TestDrainedSlotsSkipCooldown(t *testing.T) {
	s := NewShares(DefaultSharesConfig("c", "north", 1))
	s.SetUpstream(at(0), testUpstream("u1"), testSpec)
	s.SetRoster(at(0), Roster{DataCentre: "north", Epoch: 2, Members: []medlarwheel.InstanceID{"a", "b", "c"}})
	s.HandleConfirmation(at(0), Confirmation{Epoch: 2, Sent: at(0)})
	s.HandleConfirmation(at(0), Confirmation{Peer: "a", Epoch: 2, Sent: at(0), Drained: true})
	s.HandleConfirmation(at(0), Confirmation{Peer: "b", Epoch: 2, Sent: at(0)})
	if got := s.Capacity(at(0), "s"); got != 0 {
		t.Errorf("%d slots usable before b is drained, want 0", got)
	}
	s.HandleConfirmation(at(ms), Confirmation{Peer: "b", Epoch: 2, Sent: at(ms), Drained: true})
	owned := 0
	for i := range int(testSpec.Slots) {
		if Owner("u1", i, s.roster.Members) == "c" {
			owned++
		}
	}
	if got := int(s.Capacity(at(ms), "s")); got != owned || owned == 0 {
		t.Errorf("%d slots usable when all members are drained, want %d", got, owned)
	}
}

// Guards against slots that are reassigned although their owner stays in the roster, and against an uneven distribution.
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
				t.Fatalf("slot %d of %s was reassigned from %s although only e3 left", i, id, owner)
			}
		}
	}
	for _, m := range members {
		if counts[m] < 850 || counts[m] > 1150 {
			t.Errorf("%s owns %d of 8000 slots, want about 1000", m, counts[m])
		}
	}
}
