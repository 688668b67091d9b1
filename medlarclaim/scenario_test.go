package medlarclaim_test

import (
	"slices"
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/medlarclaim"
)

var startTime = time.Unix(1_800_000_000, 0)

// claimGroup is a claim group of three voters whose messages arrive at once.
type claimGroup struct {
	ids    []medlarwheel.InstanceID
	voters map[medlarwheel.InstanceID]*medlarclaim.Voter
	// restarts counts the restarts, from which the incarnations follow.
	restarts           medlarwheel.Incarnation
	ownIncarnationOnly bool // responses carry only the incarnation of the responding voter
}

func newClaimGroup() *claimGroup {
	g := &claimGroup{ids: []medlarwheel.InstanceID{"a", "b", "c"}, voters: map[medlarwheel.InstanceID]*medlarclaim.Voter{}}
	for _, id := range g.ids {
		g.voters[id] = newVoter(id, 1, true, startTime)
	}
	return g
}

func newVoter(id medlarwheel.InstanceID, incarnation medlarwheel.Incarnation, bootstrap bool, now time.Time) *medlarclaim.Voter {
	c := medlarclaim.DefaultVoterConfig(id, incarnation)
	c.Epoch, c.Bootstrap, c.FenceSets = epoch, bootstrap, 1
	return medlarclaim.NewVoter(c, now)
}

// restart replaces the voters by new incarnations and recovers all of them together.
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

// sendNextRequest sends the request to the next voter of the ballot. It returns false when there is none.
func (g *claimGroup) sendNextRequest(now time.Time, b *medlarclaim.Ballot) bool {
	id, request, ok := b.NextRequest()
	if !ok {
		return false
	}
	response := g.voters[id].Handle(now, epoch, request)
	if g.ownIncarnationOnly {
		response.KnownIncarnations = medlarclaim.IncarnationVector(nil).WithAtLeast(id, response.KnownIncarnations.Get(id))
	}
	b.HandleResponse(now, id, response)
	return true
}

func (g *claimGroup) runBallot(now time.Time, b *medlarclaim.Ballot) medlarclaim.Decision {
	for g.sendNextRequest(now, b) {
	}
	d, _ := b.Decision()
	return d
}

// Guards against two grants of one key: a voter grants the first attempt, restarts without that vote and grants the
// second attempt, while the first ballot still counts the old vote. The incarnation vector in responses prevents that.
// Two voters that restart together are safe without it, because they quarantine each other.
func TestIncarnationVectorPreventsSecondGrantAfterRestart(t *testing.T) {
	restarts := []struct {
		name   string
		rounds [][]medlarwheel.InstanceID
		needed bool
	}{
		{"one voter", [][]medlarwheel.InstanceID{{"a"}}, true},
		{"two voters in turn", [][]medlarwheel.InstanceID{{"a"}, {"b"}}, true},
		{"two voters together", [][]medlarwheel.InstanceID{{"a", "b"}}, false},
	}
	for _, r := range restarts {
		for _, ownOnly := range []bool{false, true} {
			g := newClaimGroup()
			g.ownIncarnationOnly = ownOnly
			first := medlarclaim.NewBallot(medlarclaim.KindClaim, g.ids, voteRequest("first"), startTime)
			g.sendNextRequest(startTime, first)
			for _, ids := range r.rounds {
				g.restart(startTime.Add(time.Millisecond), ids...)
			}
			now := startTime.Add(2 * time.Millisecond)
			firstGranted := g.runBallot(now, first).Kind == medlarclaim.DecisionGranted
			// The second attempt arrives late enough to pass the fence that the restarted voters put on all keys.
			now = now.Add(time.Second)
			second := medlarclaim.NewBallot(medlarclaim.KindClaim, g.ids, voteRequest("second"), now)
			secondGranted := g.runBallot(now, second).Kind == medlarclaim.DecisionGranted
			if twice := firstGranted && secondGranted; twice != (ownOnly && r.needed) {
				t.Errorf("restart of %s, responses with the own incarnation only %v: first attempt granted %v, second attempt granted %v", r.name, ownOnly, firstGranted, secondGranted)
			}
		}
	}
}

// Guards against grants for keys whose votes were lost when a majority restarted together, against a quarantine that
// never ends, and against one that also refuses keys created after the loss.
func TestQuarantineAfterTwoVotersRestartTogether(t *testing.T) {
	g := newClaimGroup()
	lost := startTime.Add(time.Second)
	g.restart(lost, "a", "b")
	later := lost.Add(10 * time.Second)
	g.voters["a"].Quarantine(later, startTime) // earlier than the known loss, so it does not prolong the quarantine
	cases := []struct {
		name      string
		createdAt time.Time
		now       time.Time
		want      medlarclaim.Verdict
	}{
		{"without creation time", time.Time{}, later, medlarclaim.VerdictQuarantined},
		{"created within the clock skew", lost.Add(medlarclaim.MaxClockSkew), later, medlarclaim.VerdictQuarantined},
		{"created in the future", later.Add(time.Minute), later, medlarclaim.VerdictQuarantined},
		{"created after the loss", lost.Add(medlarclaim.MaxClockSkew + 1), later, medlarclaim.VerdictGranted},
		{"after the quarantine", time.Time{}, lost.Add(medlarclaim.Retention), medlarclaim.VerdictGranted},
	}
	for i, c := range cases {
		request := voteRequest("attempt")
		request.Kind, request.KeyCreatedAt, request.Key[0] = medlarclaim.KindClaim, c.createdAt, byte(i)
		for _, id := range []medlarwheel.InstanceID{"a", "b"} {
			if got := g.voters[id].Handle(c.now, epoch, request).Verdict; got != c.want {
				t.Errorf("key %s, voter %s: got %s, want %s", c.name, id, got, c.want)
			}
		}
	}
}

// Guards against a false "not run": the first voter votes for the attempt, the response of the second is lost and the
// third has a vote for another attempt. The second voter may have voted for the other attempt, which then has a
// majority. Only after a seal has reached the second voter is "not run" true.
func TestUnansweredClaimIsNotRunOnlyAfterSeal(t *testing.T) {
	g := newClaimGroup()
	other := voteRequest("other")
	other.Kind = medlarclaim.KindClaim
	g.voters["c"].Handle(startTime, epoch, other)
	b := medlarclaim.NewBallot(medlarclaim.KindClaim, g.ids, voteRequest("own"), startTime)
	g.sendNextRequest(startTime, b)
	_, lost, _ := b.NextRequest()
	g.voters["b"].Handle(startTime, epoch, lost)
	b.HandleFailure(startTime, "b")
	d := g.runBallot(startTime, b)
	if d.Kind != medlarclaim.DecisionHeld || d.HolderAttempt != medlarclaim.HashAttempt("other") ||
		d.Refusal.Outcome != medlarwheel.OutcomeUnknown || !slices.Equal(d.ReleaseTargets, []medlarwheel.InstanceID{"a", "b"}) {
		t.Fatalf("claim: got %+v, want held by attempt other, outcome unknown, release targets a and b", d)
	}
	seal := medlarclaim.NewBallot(medlarclaim.KindSeal, g.ids, voteRequest("own"), startTime)
	if d := g.runBallot(startTime, seal); d.Kind != medlarclaim.DecisionNotRun || d.Refusal.Outcome != medlarwheel.OutcomeNotRun {
		t.Fatalf("seal: got %+v, want not-run", d)
	}
	retry := medlarclaim.NewBallot(medlarclaim.KindClaim, g.ids, voteRequest("retry"), startTime.Add(medlarclaim.RetryAfter))
	if d := g.runBallot(startTime.Add(medlarclaim.RetryAfter), retry); d.Kind != medlarclaim.DecisionGranted {
		t.Fatalf("retry after the advised delay: got %+v, want granted", d)
	}
}

// Guards against the use of votes of a ballot that took too long, and against votes of the attempt that nobody releases
// afterwards.
func TestTimedOutBallotNamesReleaseTargets(t *testing.T) {
	g := newClaimGroup()
	b := medlarclaim.NewBallot(medlarclaim.KindClaim, g.ids, voteRequest("slow"), startTime)
	g.sendNextRequest(startTime, b)
	d := g.runBallot(b.Deadline(), b)
	if d.Kind != medlarclaim.DecisionTimedOut || !slices.Equal(d.ReleaseTargets, []medlarwheel.InstanceID{"a", "b"}) {
		t.Fatalf("ballot at its deadline: got %+v, want a timed-out decision with release targets a and b", d)
	}
}

// Guards against a quarantine that ends when one of the voters restarts again, and against a restarted voter whose
// responses lack the incarnations that it learned during its recovery.
func TestRestartedVoterKeepsQuarantineAndIncarnations(t *testing.T) {
	g := newClaimGroup()
	g.restart(startTime, "a", "b")
	g.restart(startTime.Add(time.Second), "b")
	request := voteRequest("attempt")
	request.Kind = medlarclaim.KindClaim
	response := g.voters["b"].Handle(startTime.Add(10*time.Second), epoch, request)
	if response.Verdict != medlarclaim.VerdictQuarantined || response.KnownIncarnations.Get("a") != 2 || response.KnownIncarnations.Get("b") != 4 {
		t.Fatalf("got %+v, want quarantined with incarnation 2 of a and 4 of b", response)
	}
}

// Guards against a voter that leaves the group, joins it again and grants a claim because of its vote from before,
// although the group fenced the key in the meantime.
func TestRejoiningVoterDoesNotGrantByOldVotes(t *testing.T) {
	g := newClaimGroup()
	request := voteRequest("early")
	request.Kind = medlarclaim.KindClaim
	g.voters["a"].Handle(startTime, epoch, request)
	g.voters["a"].Retire(epoch + 1)
	if got := g.voters["a"].Handle(startTime, epoch+1, request).Verdict; got != medlarclaim.VerdictRecovering {
		t.Fatalf("request of the epoch that removed the voter: got %s, want recovering", got)
	}
	if got := g.voters["a"].Handle(startTime, epoch, request).Verdict; got != medlarclaim.VerdictStaleEpoch {
		t.Fatalf("request of the epoch before the removal: got %s, want stale-epoch", got)
	}
	g.voters["a"].AdvanceEpoch(epoch + 2)
	g.voters["a"].StartRecovery(nil, true).TryFinish(startTime)
	if got := g.voters["a"].Handle(startTime, epoch+2, request).Verdict; got != medlarclaim.VerdictHeld {
		t.Fatalf("claim of the attempt with the old vote: got %s, want held", got)
	}
}

// Guards against fences that are lost when more keys map to a set of the fence table than it holds.
func TestEvictedFencesStillDeny(t *testing.T) {
	voter := newVoter("a", 1, true, startTime)
	for i := range 20 {
		request := numberedClaim(i)
		request.Kind = medlarclaim.KindSeal
		voter.Handle(startTime, epoch, request)
	}
	for i := range 20 {
		if got := voter.Handle(startTime.Add(2*medlarclaim.BallotTimeout), epoch, numberedClaim(i)).Verdict; got != medlarclaim.VerdictSealed {
			t.Fatalf("key %d: got %s, want sealed", i, got)
		}
	}
	if got := voter.Handle(startTime.Add(time.Minute), epoch, numberedClaim(0)).Verdict; got != medlarclaim.VerdictGranted {
		t.Fatalf("claim a minute after the fences: got %s, want granted", got)
	}
}
