package medlarclaim_test

import (
	"slices"
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/medlarclaim"
)

var noon = time.Unix(1_800_000_000, 0)

// group is a claim group of three seats whose messages arrive at once.
type group struct {
	ids   []medlarwheel.InstanceID
	seats map[medlarwheel.InstanceID]*medlarclaim.Seat
	// restarts numbers the incarnations.
	restarts medlarwheel.Incarnation
	plain    bool // answers name only the answering seat's own incarnation
}

func newGroup() *group {
	g := &group{ids: []medlarwheel.InstanceID{"a", "b", "c"}, seats: map[medlarwheel.InstanceID]*medlarclaim.Seat{}}
	for _, id := range g.ids {
		g.seats[id] = newSeat(id, 1, true, noon)
	}
	return g
}

func newSeat(id medlarwheel.InstanceID, incarnation medlarwheel.Incarnation, founding bool, now time.Time) *medlarclaim.Seat {
	c := medlarclaim.DefaultSeatConfig(id, incarnation)
	c.Epoch, c.Founding, c.FenceSets = epoch, founding, 1
	return medlarclaim.NewSeat(c, now)
}

// restart replaces the seats by new incarnations and recovers them, all together.
func (g *group) restart(now time.Time, ids ...medlarwheel.InstanceID) {
	recoveries := make([]*medlarclaim.Recovery, 0, len(ids))
	for _, id := range ids {
		g.restarts++
		g.seats[id] = newSeat(id, 1+g.restarts, false, now)
		var sources []medlarclaim.Source
		for _, other := range g.ids {
			if other != id {
				sources = append(sources, medlarclaim.Source{Instance: other, Incarnation: 1})
			}
		}
		recoveries = append(recoveries, g.seats[id].Recover(sources, true))
	}
	for round := 0; len(recoveries) > 0 && round < 10; round++ {
		for _, r := range recoveries {
			for _, f := range r.Pending() {
				r.Merge(now, f.To, g.seats[f.To].Snapshot(now, f.Request, 100))
			}
		}
		recoveries = slices.DeleteFunc(recoveries, func(r *medlarclaim.Recovery) bool { return r.Done(now) })
	}
}

func question(attempt medlarwheel.AttemptID) medlarclaim.Question {
	return medlarclaim.Question{Key: medlarclaim.HashKey(key), Attempt: attempt, Holder: "entry"}
}

// poll asks the next seat of the ballot. It returns false when there is none.
func (g *group) poll(now time.Time, b *medlarclaim.Ballot) bool {
	id, q, ok := b.Next()
	if !ok {
		return false
	}
	answer := g.seats[id].Answer(now, epoch, q)
	if g.plain {
		answer.Known = medlarclaim.IncarnationVector(nil).Raised(id, answer.Known.Of(id))
	}
	b.Record(now, id, answer)
	return true
}

func (g *group) decide(now time.Time, b *medlarclaim.Ballot) medlarclaim.Decision {
	for g.poll(now, b) {
	}
	d, _ := b.Decision()
	return d
}

// Guards against two grants of one key around restarts of seats, and records which restarts need the incarnation vector
// in answers. Two seats that restart together are safe without it, because they quarantine each other.
func TestIncarnationVectorIsNeeded(t *testing.T) {
	restarts := []struct {
		name   string
		rounds [][]medlarwheel.InstanceID
		needed bool
	}{
		{"one seat", [][]medlarwheel.InstanceID{{"a"}}, true},
		{"two seats in turn", [][]medlarwheel.InstanceID{{"a"}, {"b"}}, true},
		{"two seats together", [][]medlarwheel.InstanceID{{"a", "b"}}, false},
	}
	for _, r := range restarts {
		for _, plain := range []bool{false, true} {
			g := newGroup()
			g.plain = plain
			first := medlarclaim.NewBallot(medlarclaim.KindClaim, g.ids, question("first"), noon)
			g.poll(noon, first)
			for _, ids := range r.rounds {
				g.restart(noon.Add(time.Millisecond), ids...)
			}
			now := noon.Add(2 * time.Millisecond)
			firstGranted := g.decide(now, first).Kind == medlarclaim.DecisionGranted
			// The second attempt arrives after the fence of the restarted seats.
			now = now.Add(time.Second)
			second := medlarclaim.NewBallot(medlarclaim.KindClaim, g.ids, question("second"), now)
			secondGranted := g.decide(now, second).Kind == medlarclaim.DecisionGranted
			if twice := firstGranted && secondGranted; twice != (plain && r.needed) {
				t.Errorf("%s restart, plain %v: first granted %v, second granted %v", r.name, plain, firstGranted, secondGranted)
			}
		}
	}
}

// Guards against grants for keys whose votes were lost, against a quarantine that never ends, and against one that also
// refuses keys minted after the loss.
func TestQuarantineAfterTwoSeatsRestartTogether(t *testing.T) {
	g := newGroup()
	lost := noon.Add(time.Second)
	g.restart(lost, "a", "b")
	later := lost.Add(10 * time.Second)
	g.seats["a"].Quarantine(later, noon) // known already, so it does not prolong the window
	cases := []struct {
		name   string
		minted time.Time
		now    time.Time
		want   medlarclaim.Verdict
	}{
		{"without creation time", time.Time{}, later, medlarclaim.VerdictQuarantined},
		{"minted within the clock error", lost.Add(medlarclaim.ClockError), later, medlarclaim.VerdictQuarantined},
		{"minted in the future", later.Add(time.Minute), later, medlarclaim.VerdictQuarantined},
		{"minted after the loss", lost.Add(medlarclaim.ClockError + 1), later, medlarclaim.VerdictGranted},
		{"after the window", time.Time{}, lost.Add(medlarclaim.Retention), medlarclaim.VerdictGranted},
	}
	for i, c := range cases {
		q := question("attempt")
		q.Kind, q.Minted, q.Key[0] = medlarclaim.KindClaim, c.minted, byte(i)
		for _, id := range []medlarwheel.InstanceID{"a", "b"} {
			if got := g.seats[id].Answer(c.now, epoch, q).Verdict; got != c.want {
				t.Errorf("%s at %s: got %s, want %s", c.name, id, got, c.want)
			}
		}
	}
}

// Guards against "not run" for a key that another attempt may have been sent for: with a vote from the first seat, no
// answer from the second and a vote for another attempt at the third, the other attempt may have the second seat too.
// After the seal reaches the second seat, "not run" is true.
func TestVoteLostAndHeld(t *testing.T) {
	g := newGroup()
	other := question("other")
	other.Kind = medlarclaim.KindClaim
	g.seats["c"].Answer(noon, epoch, other)
	b := medlarclaim.NewBallot(medlarclaim.KindClaim, g.ids, question("own"), noon)
	g.poll(noon, b)
	_, lost, _ := b.Next()
	g.seats["b"].Answer(noon, epoch, lost)
	b.Fail(noon, "b")
	d := g.decide(noon, b)
	if d.Kind != medlarclaim.DecisionHeld || d.HolderAttempt != medlarclaim.HashAttempt("other") ||
		d.Refusal.Outcome != medlarwheel.OutcomeUnknown || !slices.Equal(d.Release, []medlarwheel.InstanceID{"a", "b"}) {
		t.Fatalf("claim: got %+v", d)
	}
	seal := medlarclaim.NewBallot(medlarclaim.KindSeal, g.ids, question("own"), noon)
	if d := g.decide(noon, seal); d.Kind != medlarclaim.DecisionNotRun || d.Refusal.Outcome != medlarwheel.OutcomeNotRun {
		t.Fatalf("seal: got %+v", d)
	}
	retry := medlarclaim.NewBallot(medlarclaim.KindClaim, g.ids, question("retry"), noon.Add(medlarclaim.RetryAfter))
	if d := g.decide(noon.Add(medlarclaim.RetryAfter), retry); d.Kind != medlarclaim.DecisionGranted {
		t.Fatalf("retry after the advised time: got %+v", d)
	}
}

// Guards against the use of a ballot that took too long, and against a vote that it leaves behind.
func TestLateBallot(t *testing.T) {
	g := newGroup()
	b := medlarclaim.NewBallot(medlarclaim.KindClaim, g.ids, question("slow"), noon)
	g.poll(noon, b)
	d := g.decide(b.Deadline(), b)
	if d.Kind != medlarclaim.DecisionLate || !slices.Equal(d.Release, []medlarwheel.InstanceID{"a", "b"}) {
		t.Fatalf("got %+v", d)
	}
}

// Guards against a quarantine that ends with a further restart, and against a restarted seat that does not tell which
// incarnations it heard of during its recovery.
func TestRestartedSeatInheritsKnowledge(t *testing.T) {
	g := newGroup()
	g.restart(noon, "a", "b")
	g.restart(noon.Add(time.Second), "b")
	q := question("attempt")
	q.Kind = medlarclaim.KindClaim
	answer := g.seats["b"].Answer(noon.Add(10*time.Second), epoch, q)
	if answer.Verdict != medlarclaim.VerdictQuarantined || answer.Known.Of("a") != 2 || answer.Known.Of("b") != 4 {
		t.Fatalf("got %+v", answer)
	}
}

// Guards against a seat that left the group, joins it again and grants by a vote from before, although the group fenced
// the key in the meantime.
func TestRejoiningSeatDoesNotGrantByOldVotes(t *testing.T) {
	g := newGroup()
	q := question("early")
	q.Kind = medlarclaim.KindClaim
	g.seats["a"].Answer(noon, epoch, q)
	g.seats["a"].Retire(epoch + 1)
	if got := g.seats["a"].Answer(noon, epoch+1, q).Verdict; got != medlarclaim.VerdictRecovering {
		t.Fatalf("seat outside the roster: got %s", got)
	}
	if got := g.seats["a"].Answer(noon, epoch, q).Verdict; got != medlarclaim.VerdictStaleEpoch {
		t.Fatalf("old epoch: got %s", got)
	}
	g.seats["a"].Adopt(epoch + 2)
	g.seats["a"].Recover(nil, true).Done(noon)
	if got := g.seats["a"].Answer(noon, epoch+2, q).Verdict; got != medlarclaim.VerdictHeld {
		t.Fatalf("old vote: got %s", got)
	}
}

// Guards against fences that are lost when more keys share a set of the fence table than it holds.
func TestFencesOfManyKeysDeny(t *testing.T) {
	seat := newSeat("a", 1, true, noon)
	for i := range 20 {
		q := numbered(i)
		q.Kind = medlarclaim.KindSeal
		seat.Answer(noon, epoch, q)
	}
	for i := range 20 {
		if got := seat.Answer(noon.Add(2*medlarclaim.ClaimValidity), epoch, numbered(i)).Verdict; got != medlarclaim.VerdictSealed {
			t.Fatalf("key %d: got %s", i, got)
		}
	}
	if got := seat.Answer(noon.Add(time.Minute), epoch, numbered(0)).Verdict; got != medlarclaim.VerdictGranted {
		t.Fatalf("after the fence: got %s", got)
	}
}
