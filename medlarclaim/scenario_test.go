package medlarclaim_test

import (
	"slices"
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/medlarclaim"
)

var startTime = time.Unix(1_800_000_000, 0)

// claimGroup is a claim group of three seats whose messages arrive at once.
type claimGroup struct {
	ids    []medlarwheel.InstanceID
	voters map[medlarwheel.InstanceID]*medlarclaim.Voter
	// restarts numbers the incarnations.
	restarts           medlarwheel.Incarnation
	ownIncarnationOnly bool // answers name only the answering seat's own incarnation
}

func newClaimGroup() *claimGroup {
	g := &claimGroup{ids: []medlarwheel.InstanceID{"a", "b", "c"}, voters: map[medlarwheel.InstanceID]*medlarclaim.Voter{}}
	for _, id := range g.ids {
		g.voters[id] = newVoter(id, 1, true, startTime)
	}
	return g
}

func newVoter(id medlarwheel.InstanceID, incarnation medlarwheel.Incarnation, founding bool, now time.Time) *medlarclaim.Voter {
	c := medlarclaim.DefaultVoterConfig(id, incarnation)
	c.Epoch, c.Bootstrap, c.FenceSets = epoch, founding, 1
	return medlarclaim.NewVoter(c, now)
}

// restart replaces the seats by new incarnations and recovers them, all together.
func (g *claimGroup) restart(now time.Time, ids ...medlarwheel.InstanceID) {
	recoveries := make([]*medlarclaim.Recovery, 0, len(ids))
	for _, id := range ids {
		g.restarts++
		g.voters[id] = newVoter(id, 1+g.restarts, false, now)
		var sources []medlarclaim.RecoverySource
		for _, other := range g.ids {
			if other != id {
				sources = append(sources, medlarclaim.RecoverySource{Instance: other, Incarnation: 1})
			}
		}
		recoveries = append(recoveries, g.voters[id].StartRecovery(sources, true))
	}
	for round := 0; len(recoveries) > 0 && round < 10; round++ {
		for _, r := range recoveries {
			for _, f := range r.PendingFetches() {
				r.HandlePage(now, f.To, g.voters[f.To].ReadVotes(now, f.Request, 100))
			}
		}
		recoveries = slices.DeleteFunc(recoveries, func(r *medlarclaim.Recovery) bool { return r.TryFinish(now) })
	}
}

func voteRequest(attempt medlarwheel.AttemptID) medlarclaim.VoteRequest {
	return medlarclaim.VoteRequest{Key: medlarclaim.HashKey(key), Attempt: attempt, Holder: "entry"}
}

// askNext asks the next seat of the ballot. It returns false when there is none.
func (g *claimGroup) askNext(now time.Time, b *medlarclaim.Ballot) bool {
	id, q, ok := b.NextRequest()
	if !ok {
		return false
	}
	answer := g.voters[id].Handle(now, epoch, q)
	if g.ownIncarnationOnly {
		answer.KnownIncarnations = medlarclaim.IncarnationVector(nil).WithAtLeast(id, answer.KnownIncarnations.Get(id))
	}
	b.HandleResponse(now, id, answer)
	return true
}

func (g *claimGroup) runBallot(now time.Time, b *medlarclaim.Ballot) medlarclaim.Decision {
	for g.askNext(now, b) {
	}
	d, _ := b.Decision()
	return d
}

// Guards against two grants of one key around restarts of seats, and records which restarts need the incarnation vector
// in answers. Two seats that restart together are safe without it, because they quarantine each other.
func TestIncarnationVectorPreventsSecondGrantAfterRestart(t *testing.T) {
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
			g := newClaimGroup()
			g.ownIncarnationOnly = plain
			first := medlarclaim.NewBallot(medlarclaim.KindClaim, g.ids, voteRequest("first"), startTime)
			g.askNext(startTime, first)
			for _, ids := range r.rounds {
				g.restart(startTime.Add(time.Millisecond), ids...)
			}
			now := startTime.Add(2 * time.Millisecond)
			firstGranted := g.runBallot(now, first).Kind == medlarclaim.DecisionGranted
			// The second attempt arrives after the fence of the restarted seats.
			now = now.Add(time.Second)
			second := medlarclaim.NewBallot(medlarclaim.KindClaim, g.ids, voteRequest("second"), now)
			secondGranted := g.runBallot(now, second).Kind == medlarclaim.DecisionGranted
			if twice := firstGranted && secondGranted; twice != (plain && r.needed) {
				t.Errorf("%s restart, plain %v: first granted %v, second granted %v", r.name, plain, firstGranted, secondGranted)
			}
		}
	}
}

// Guards against grants for keys whose votes were lost, against a quarantine that never ends, and against one that also
// refuses keys minted after the loss.
func TestQuarantineAfterTwoVotersRestartTogether(t *testing.T) {
	g := newClaimGroup()
	lost := startTime.Add(time.Second)
	g.restart(lost, "a", "b")
	later := lost.Add(10 * time.Second)
	g.voters["a"].Quarantine(later, startTime) // known already, so it does not prolong the window
	cases := []struct {
		name   string
		minted time.Time
		now    time.Time
		want   medlarclaim.Verdict
	}{
		{"without creation time", time.Time{}, later, medlarclaim.VerdictQuarantined},
		{"minted within the clock error", lost.Add(medlarclaim.MaxClockSkew), later, medlarclaim.VerdictQuarantined},
		{"minted in the future", later.Add(time.Minute), later, medlarclaim.VerdictQuarantined},
		{"minted after the loss", lost.Add(medlarclaim.MaxClockSkew + 1), later, medlarclaim.VerdictGranted},
		{"after the window", time.Time{}, lost.Add(medlarclaim.Retention), medlarclaim.VerdictGranted},
	}
	for i, c := range cases {
		q := voteRequest("attempt")
		q.Kind, q.KeyCreatedAt, q.Key[0] = medlarclaim.KindClaim, c.minted, byte(i)
		for _, id := range []medlarwheel.InstanceID{"a", "b"} {
			if got := g.voters[id].Handle(c.now, epoch, q).Verdict; got != c.want {
				t.Errorf("%s at %s: got %s, want %s", c.name, id, got, c.want)
			}
		}
	}
}

// Guards against "not run" for a key that another attempt may have been sent for: with a vote from the first seat, no
// answer from the second and a vote for another attempt at the third, the other attempt may have the second seat too.
// After the seal reaches the second seat, "not run" is true.
func TestUnansweredClaimIsNotRunOnlyAfterSeal(t *testing.T) {
	g := newClaimGroup()
	other := voteRequest("other")
	other.Kind = medlarclaim.KindClaim
	g.voters["c"].Handle(startTime, epoch, other)
	b := medlarclaim.NewBallot(medlarclaim.KindClaim, g.ids, voteRequest("own"), startTime)
	g.askNext(startTime, b)
	_, lost, _ := b.NextRequest()
	g.voters["b"].Handle(startTime, epoch, lost)
	b.HandleFailure(startTime, "b")
	d := g.runBallot(startTime, b)
	if d.Kind != medlarclaim.DecisionHeld || d.HolderAttempt != medlarclaim.HashAttempt("other") ||
		d.Refusal.Outcome != medlarwheel.OutcomeUnknown || !slices.Equal(d.ReleaseTargets, []medlarwheel.InstanceID{"a", "b"}) {
		t.Fatalf("claim: got %+v", d)
	}
	seal := medlarclaim.NewBallot(medlarclaim.KindSeal, g.ids, voteRequest("own"), startTime)
	if d := g.runBallot(startTime, seal); d.Kind != medlarclaim.DecisionNotRun || d.Refusal.Outcome != medlarwheel.OutcomeNotRun {
		t.Fatalf("seal: got %+v", d)
	}
	retry := medlarclaim.NewBallot(medlarclaim.KindClaim, g.ids, voteRequest("retry"), startTime.Add(medlarclaim.RetryAfter))
	if d := g.runBallot(startTime.Add(medlarclaim.RetryAfter), retry); d.Kind != medlarclaim.DecisionGranted {
		t.Fatalf("retry after the advised time: got %+v", d)
	}
}

// Guards against the use of a ballot that took too long, and against a vote that it leaves behind.
func TestTimedOutBallotNamesReleaseTargets(t *testing.T) {
	g := newClaimGroup()
	b := medlarclaim.NewBallot(medlarclaim.KindClaim, g.ids, voteRequest("slow"), startTime)
	g.askNext(startTime, b)
	d := g.runBallot(b.Deadline(), b)
	if d.Kind != medlarclaim.DecisionTimedOut || !slices.Equal(d.ReleaseTargets, []medlarwheel.InstanceID{"a", "b"}) {
		t.Fatalf("got %+v", d)
	}
}

// Guards against a quarantine that ends with a further restart, and against a restarted seat that does not tell which
// incarnations it heard of during its recovery.
func TestRestartedVoterKeepsQuarantineAndIncarnations(t *testing.T) {
	g := newClaimGroup()
	g.restart(startTime, "a", "b")
	g.restart(startTime.Add(time.Second), "b")
	q := voteRequest("attempt")
	q.Kind = medlarclaim.KindClaim
	answer := g.voters["b"].Handle(startTime.Add(10*time.Second), epoch, q)
	if answer.Verdict != medlarclaim.VerdictQuarantined || answer.KnownIncarnations.Get("a") != 2 || answer.KnownIncarnations.Get("b") != 4 {
		t.Fatalf("got %+v", answer)
	}
}

// Guards against a seat that left the group, joins it again and grants by a vote from before, although the group fenced
// the key in the meantime.
func TestRejoiningVoterDoesNotGrantByOldVotes(t *testing.T) {
	g := newClaimGroup()
	q := voteRequest("early")
	q.Kind = medlarclaim.KindClaim
	g.voters["a"].Handle(startTime, epoch, q)
	g.voters["a"].Retire(epoch + 1)
	if got := g.voters["a"].Handle(startTime, epoch+1, q).Verdict; got != medlarclaim.VerdictRecovering {
		t.Fatalf("seat outside the roster: got %s", got)
	}
	if got := g.voters["a"].Handle(startTime, epoch, q).Verdict; got != medlarclaim.VerdictStaleEpoch {
		t.Fatalf("old epoch: got %s", got)
	}
	g.voters["a"].AdvanceEpoch(epoch + 2)
	g.voters["a"].StartRecovery(nil, true).TryFinish(startTime)
	if got := g.voters["a"].Handle(startTime, epoch+2, q).Verdict; got != medlarclaim.VerdictHeld {
		t.Fatalf("old vote: got %s", got)
	}
}

// Guards against fences that are lost when more keys share a set of the fence table than it holds.
func TestEvictedFencesStillDeny(t *testing.T) {
	seat := newVoter("a", 1, true, startTime)
	for i := range 20 {
		q := numberedClaim(i)
		q.Kind = medlarclaim.KindSeal
		seat.Handle(startTime, epoch, q)
	}
	for i := range 20 {
		if got := seat.Handle(startTime.Add(2*medlarclaim.BallotTimeout), epoch, numberedClaim(i)).Verdict; got != medlarclaim.VerdictSealed {
			t.Fatalf("key %d: got %s", i, got)
		}
	}
	if got := seat.Handle(startTime.Add(time.Minute), epoch, numberedClaim(0)).Verdict; got != medlarclaim.VerdictGranted {
		t.Fatalf("after the fence: got %s", got)
	}
}
