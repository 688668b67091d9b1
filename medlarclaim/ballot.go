package medlarclaim

import (
	"slices"
	"time"

	"medlarwheel"
)

type pollState uint8

const (
	// stateOpen is a seat to ask.
	stateOpen pollState = iota
	// stateAsked is the seat whose answer is awaited.
	stateAsked
	// stateGranted is a seat whose vote belongs to the attempt.
	stateGranted
	// stateFenced is a seat that fenced the key.
	stateFenced
	// stateDenied is a seat that answered otherwise.
	stateDenied
	// stateFailed is a seat without an answer. It may have voted for the attempt, so it counts neither way.
	stateFailed
	// stateSuperseded is a seat to ask again, because its answer came from an earlier incarnation.
	stateSuperseded
)

type poll struct {
	seat   medlarwheel.InstanceID
	state  pollState
	answer Answer
}

// Ballot asks the seats of a group one after another and decides for one attempt.
type Ballot struct {
	question Question
	started  time.Time
	polls    []poll
	known    IncarnationVector
	decision *Decision
}

// NewBallot returns a ballot over the seats in roster order. q.Waited is the time that the attempt had waited at
// started, and stays so for all seats: the validity of the ballot covers the rest.
func NewBallot(kind Kind, seats []medlarwheel.InstanceID, q Question, started time.Time) *Ballot {
	q.Kind = kind
	b := &Ballot{question: q, started: started, polls: make([]poll, 0, len(seats))}
	for _, seat := range seats {
		b.polls = append(b.polls, poll{seat: seat})
	}
	if len(seats) == 0 {
		b.conclude(b.undecided(&tally{}))
	}
	return b
}

// Next returns the seat to ask next. It returns false while an answer is awaited and after the decision.
func (b *Ballot) Next() (medlarwheel.InstanceID, Question, bool) {
	if b.decision != nil || b.find(stateAsked) != nil {
		return "", Question{}, false
	}
	next := b.find(stateOpen)
	if next == nil {
		next = b.find(stateSuperseded)
	}
	if next == nil {
		return "", Question{}, false
	}
	next.state = stateAsked
	return next.seat, b.question, true
}

// Record adds the answer of a seat. The answer of a seat that was taken for failed is still used. Repeated answers are
// ignored.
func (b *Ballot) Record(now time.Time, seat medlarwheel.InstanceID, answer Answer) {
	p := b.poll(seat)
	if b.decision != nil || p == nil {
		return
	}
	for _, e := range answer.Known {
		b.known = b.known.Raised(e.Instance, e.Incarnation)
	}
	if p.state == stateAsked || p.state == stateFailed {
		p.answer = answer
		p.state = stateAfter(answer.Verdict)
	}
	b.dropSuperseded()
	b.decide(now)
}

// Fail tells that a seat did not answer.
func (b *Ballot) Fail(now time.Time, seat medlarwheel.InstanceID) {
	p := b.poll(seat)
	if b.decision != nil || p == nil || p.state != stateAsked {
		return
	}
	p.state = stateFailed
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
func (b *Ballot) Deadline() time.Time { return b.started.Add(ClaimValidity) }

// dropSuperseded discards votes and fences of incarnations that are known to be over. The later incarnation may have
// recovered before another vote of this ballot was cast, and may know nothing of it.
func (b *Ballot) dropSuperseded() {
	for i := range b.polls {
		p := &b.polls[i]
		counted := p.state == stateGranted || p.state == stateFenced
		if counted && p.answer.Known.Of(p.seat) < b.known.Of(p.seat) {
			p.state = stateSuperseded
		}
	}
}

// tally counts the states of the polls.
type tally struct {
	granted, fenced, open int
	stale, recovering     bool
	held                  *Answer
}

func (b *Ballot) tally() tally {
	var t tally
	own := HashAttempt(b.question.Attempt)
	for i := range b.polls {
		p := &b.polls[i]
		switch p.state {
		case stateGranted:
			t.granted++
		case stateFenced:
			t.fenced++
		case stateOpen, stateAsked, stateSuperseded:
			t.open++
		case stateDenied:
			t.stale = t.stale || p.answer.Verdict == VerdictStaleEpoch
			t.recovering = t.recovering || p.answer.Verdict == VerdictRecovering || p.answer.Verdict == VerdictQuarantined
			// A seat that copied this attempt's own vote answers that the attempt itself holds the key.
			held := p.answer.Verdict == VerdictHeld && p.answer.HolderAttempt != own
			if held && (t.held == nil || p.answer.Completed) {
				t.held = &p.answer
			}
		}
	}
	return t
}

func stateAfter(verdict Verdict) pollState {
	switch verdict {
	case VerdictGranted:
		return stateGranted
	case VerdictSealed, VerdictFull:
		return stateFenced
	default:
		return stateDenied
	}
}

func (b *Ballot) majority() int { return len(b.polls)/2 + 1 }

func (b *Ballot) poll(seat medlarwheel.InstanceID) *poll {
	for i := range b.polls {
		if b.polls[i].seat == seat {
			return &b.polls[i]
		}
	}
	return nil
}

func (b *Ballot) find(state pollState) *poll {
	for i := range b.polls {
		if b.polls[i].state == state {
			return &b.polls[i]
		}
	}
	return nil
}

func (b *Ballot) seatsIn(states ...pollState) []medlarwheel.InstanceID {
	var seats []medlarwheel.InstanceID
	for i := range b.polls {
		if slices.Contains(states, b.polls[i].state) {
			seats = append(seats, b.polls[i].seat)
		}
	}
	return seats
}
