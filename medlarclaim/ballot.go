package medlarclaim

import (
	"slices"
	"time"

	"medlarwheel"
)

type voterState uint8

const (
	// stateNotSent is a voter that has not been sent the request.
	stateNotSent voterState = iota
	// stateSent is the voter whose response is awaited.
	stateSent
	// stateGranted is a voter that granted the request of this attempt.
	stateGranted
	// stateFenced is a voter that fenced the key.
	stateFenced
	// stateDenied is a voter with any other verdict.
	stateDenied
	// stateNoResponse is a voter whose response did not arrive. It may have voted for the attempt, so it counts neither
	// for nor against it.
	stateNoResponse
	// stateSuperseded is a voter to ask again, because its response came from an incarnation that has since been
	// replaced.
	stateSuperseded
)

type ballotEntry struct {
	voter    medlarwheel.InstanceID
	state    voterState
	response VoteResponse
}

// Ballot collects the votes of a claim group for one attempt. It asks one voter at a time.
type Ballot struct {
	request      VoteRequest
	started      time.Time
	voters       []ballotEntry
	incarnations IncarnationVector
	decision     *Decision
}

// NewBallot returns a ballot over the voters in roster order. request.Waited is the time that the attempt had waited at
// started. It is the same for all voters; the time that the ballot itself takes is bounded by BallotTimeout.
func NewBallot(kind BallotKind, voters []medlarwheel.InstanceID, request VoteRequest, started time.Time) *Ballot {
	request.Kind = kind
	b := &Ballot{request: request, started: started, voters: make([]ballotEntry, 0, len(voters))}
	for _, voter := range voters {
		b.voters = append(b.voters, ballotEntry{voter: voter})
	}
	if len(voters) == 0 {
		b.conclude(b.noMajorityDecision(&voteCounts{}))
	}
	return b
}

// NextRequest returns the voter to ask next and the request for it. It returns false while a response is awaited, if no
// voter is left to ask, and after the decision.
func (b *Ballot) NextRequest() (medlarwheel.InstanceID, VoteRequest, bool) {
	if b.decision != nil || b.firstIn(stateSent) != nil {
		return "", VoteRequest{}, false
	}
	next := b.firstIn(stateNotSent)
	if next == nil {
		next = b.firstIn(stateSuperseded)
	}
	if next == nil {
		return "", VoteRequest{}, false
	}
	next.state = stateSent
	return next.voter, b.request, true
}

// HandleResponse adds the response of a voter. A response that arrives after HandleFailure was called for its voter
// still counts. Repeated responses are ignored.
func (b *Ballot) HandleResponse(now time.Time, voter medlarwheel.InstanceID, response VoteResponse) {
	entry := b.entry(voter)
	if b.decision != nil || entry == nil {
		return
	}
	for _, e := range response.KnownIncarnations {
		b.incarnations = b.incarnations.WithAtLeast(e.Instance, e.Incarnation)
	}
	if entry.state == stateSent || entry.state == stateNoResponse {
		entry.response = response
		entry.state = stateForVerdict(response.Verdict)
	}
	b.dropSuperseded()
	b.decide(now)
}

// HandleFailure records that no response of the voter arrived, for example because the call failed or timed out.
func (b *Ballot) HandleFailure(now time.Time, voter medlarwheel.InstanceID) {
	entry := b.entry(voter)
	if b.decision != nil || entry == nil || entry.state != stateSent {
		return
	}
	entry.state = stateNoResponse
	b.decide(now)
}

// Decision returns the decision. It returns false while the ballot is undecided.
func (b *Ballot) Decision() (Decision, bool) {
	if b.decision == nil {
		return Decision{}, false
	}
	return *b.decision, true
}

// Deadline returns the time from which no response leads to a grant or to "not run".
func (b *Ballot) Deadline() time.Time { return b.started.Add(BallotTimeout) }

// dropSuperseded discards votes and fences of incarnations that are known to have been replaced. The later incarnation
// may have recovered before another vote of this ballot was cast, and then does not know of that vote.
func (b *Ballot) dropSuperseded() {
	for i := range b.voters {
		entry := &b.voters[i]
		counted := entry.state == stateGranted || entry.state == stateFenced
		if counted && entry.response.KnownIncarnations.Get(entry.voter) < b.incarnations.Get(entry.voter) {
			entry.state = stateSuperseded
		}
	}
}

// voteCounts counts the voters by state and keeps what their denials say.
type voteCounts struct {
	granted, fenced, pending int
	staleEpoch, recovering   bool
	heldResponse             *VoteResponse
}

func (b *Ballot) countVotes() voteCounts {
	var counts voteCounts
	own := HashAttempt(b.request.Attempt)
	for i := range b.voters {
		entry := &b.voters[i]
		switch entry.state {
		case stateGranted:
			counts.granted++
		case stateFenced:
			counts.fenced++
		case stateNotSent, stateSent, stateSuperseded:
			counts.pending++
		case stateDenied:
			counts.staleEpoch = counts.staleEpoch || entry.response.Verdict == VerdictStaleEpoch
			counts.recovering = counts.recovering || entry.response.Verdict == VerdictRecovering || entry.response.Verdict == VerdictQuarantined
			// A voter that copied this attempt's own vote from another voter names the attempt itself as the holder of
			// the key.
			held := entry.response.Verdict == VerdictHeld && entry.response.HolderAttempt != own
			if held && (counts.heldResponse == nil || entry.response.Completed) {
				counts.heldResponse = &entry.response
			}
		}
	}
	return counts
}

func stateForVerdict(verdict Verdict) voterState {
	switch verdict {
	case VerdictGranted:
		return stateGranted
	case VerdictSealed, VerdictMemoryFull:
		return stateFenced
	default:
		return stateDenied
	}
}

func (b *Ballot) majority() int { return len(b.voters)/2 + 1 }

func (b *Ballot) entry(voter medlarwheel.InstanceID) *ballotEntry {
	for i := range b.voters {
		if b.voters[i].voter == voter {
			return &b.voters[i]
		}
	}
	return nil
}

func (b *Ballot) firstIn(state voterState) *ballotEntry {
	for i := range b.voters {
		if b.voters[i].state == state {
			return &b.voters[i]
		}
	}
	return nil
}

func (b *Ballot) votersIn(states ...voterState) []medlarwheel.InstanceID {
	var voters []medlarwheel.InstanceID
	for i := range b.voters {
		if slices.Contains(states, b.voters[i].state) {
			voters = append(voters, b.voters[i].voter)
		}
	}
	return voters
}
