package medlarclaim

import (
	"slices"
	"time"

	"medlarwheel"
)

type voterState uint8

const (
	// stateNotAsked is a seat to ask.
	stateNotAsked voterState = iota
	// stateAsked is the seat whose answer is awaited.
	stateAsked
	// stateGranted is a seat whose vote belongs to the attempt.
	stateGranted
	// stateFenced is a seat that fenced the key.
	stateFenced
	// stateDenied is a seat that answered otherwise.
	stateDenied
	// stateNoResponse is a seat without an answer. It may have voted for the attempt, so it counts neither way.
	stateNoResponse
	// stateSuperseded is a seat to ask again, because its answer came from an earlier incarnation.
	stateSuperseded
)

type ballotEntry struct {
	voter    medlarwheel.InstanceID
	state    voterState
	response VoteResponse
}

// Ballot asks the seats of a group one after another and decides for one attempt.
type Ballot struct {
	request      VoteRequest
	started      time.Time
	voters       []ballotEntry
	incarnations IncarnationVector
	decision     *Decision
}

// NewBallot returns a ballot over the seats in roster order. q.Waited is the time that the attempt had waited at
// started, and stays so for all seats: the validity of the ballot covers the rest.
func NewBallot(kind BallotKind, seats []medlarwheel.InstanceID, q VoteRequest, started time.Time) *Ballot {
	q.Kind = kind
	b := &Ballot{request: q, started: started, voters: make([]ballotEntry, 0, len(seats))}
	for _, seat := range seats {
		b.voters = append(b.voters, ballotEntry{voter: seat})
	}
	if len(seats) == 0 {
		b.conclude(b.noMajorityDecision(&voteCounts{}))
	}
	return b
}

// NextRequest returns the seat to ask next. It returns false while an answer is awaited and after the decision.
func (b *Ballot) NextRequest() (medlarwheel.InstanceID, VoteRequest, bool) {
	if b.decision != nil || b.firstIn(stateAsked) != nil {
		return "", VoteRequest{}, false
	}
	next := b.firstIn(stateNotAsked)
	if next == nil {
		next = b.firstIn(stateSuperseded)
	}
	if next == nil {
		return "", VoteRequest{}, false
	}
	next.state = stateAsked
	return next.voter, b.request, true
}

// HandleResponse adds the answer of a seat. The answer of a seat that was taken for failed is still used. Repeated answers are
// ignored.
func (b *Ballot) HandleResponse(now time.Time, seat medlarwheel.InstanceID, answer VoteResponse) {
	p := b.entry(seat)
	if b.decision != nil || p == nil {
		return
	}
	for _, e := range answer.KnownIncarnations {
		b.incarnations = b.incarnations.WithAtLeast(e.Instance, e.Incarnation)
	}
	if p.state == stateAsked || p.state == stateNoResponse {
		p.response = answer
		p.state = stateForVerdict(answer.Verdict)
	}
	b.dropSuperseded()
	b.decide(now)
}

// HandleFailure tells that a seat did not answer.
func (b *Ballot) HandleFailure(now time.Time, seat medlarwheel.InstanceID) {
	p := b.entry(seat)
	if b.decision != nil || p == nil || p.state != stateAsked {
		return
	}
	p.state = stateNoResponse
	b.decide(now)
}

// Decision returns the decision once there is one.
func (b *Ballot) Decision() (Decision, bool) {
	if b.decision == nil {
		return Decision{}, false
	}
	return *b.decision, true
}

// Deadline returns the time after which no answer leads to a grant or to "not run".
func (b *Ballot) Deadline() time.Time { return b.started.Add(BallotTimeout) }

// dropSuperseded discards votes and fences of incarnations that are known to be over. The later incarnation may have
// recovered before another vote of this ballot was cast, and may know nothing of it.
func (b *Ballot) dropSuperseded() {
	for i := range b.voters {
		p := &b.voters[i]
		counted := p.state == stateGranted || p.state == stateFenced
		if counted && p.response.KnownIncarnations.Get(p.voter) < b.incarnations.Get(p.voter) {
			p.state = stateSuperseded
		}
	}
}

// voteCounts counts the states of the polls.
type voteCounts struct {
	granted, fenced, pending int
	staleEpoch, recovering   bool
	heldResponse             *VoteResponse
}

func (b *Ballot) countVotes() voteCounts {
	var t voteCounts
	own := HashAttempt(b.request.Attempt)
	for i := range b.voters {
		p := &b.voters[i]
		switch p.state {
		case stateGranted:
			t.granted++
		case stateFenced:
			t.fenced++
		case stateNotAsked, stateAsked, stateSuperseded:
			t.pending++
		case stateDenied:
			t.staleEpoch = t.staleEpoch || p.response.Verdict == VerdictStaleEpoch
			t.recovering = t.recovering || p.response.Verdict == VerdictRecovering || p.response.Verdict == VerdictQuarantined
			// A seat that copied this attempt's own vote answers that the attempt itself holds the key.
			held := p.response.Verdict == VerdictHeld && p.response.HolderAttempt != own
			if held && (t.heldResponse == nil || p.response.Completed) {
				t.heldResponse = &p.response
			}
		}
	}
	return t
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

func (b *Ballot) entry(seat medlarwheel.InstanceID) *ballotEntry {
	for i := range b.voters {
		if b.voters[i].voter == seat {
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
	var seats []medlarwheel.InstanceID
	for i := range b.voters {
		if slices.Contains(states, b.voters[i].state) {
			seats = append(seats, b.voters[i].voter)
		}
	}
	return seats
}
