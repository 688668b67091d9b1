package medlarclaim

import (
	"time"

	"medlarwheel"
)

// DecisionKind is the result of a ballot.
type DecisionKind string

// The results of a ballot.
const (
	// DecisionGranted means that the attempt may be sent until Decision.Until.
	DecisionGranted DecisionKind = "granted"
	// DecisionNotRun means that a majority fenced the key: no attempt has run, and none that arrived so far will run.
	// The refusal is true until Decision.Until.
	DecisionNotRun DecisionKind = "not-run"
	// DecisionHeld means that another attempt may have run. The response is that attempt's, if its holder has it, else
	// the refusal, which is "unknown".
	DecisionHeld DecisionKind = "held"
	// DecisionLate means that the ballot took longer than ClaimValidity, so that its votes must not be used.
	DecisionLate DecisionKind = "late"
	// DecisionStaleEpoch means that the ballot can be repeated with a newer roster and the same attempt id.
	DecisionStaleEpoch DecisionKind = "stale-epoch"
	// DecisionUnknown means that too few seats answered.
	DecisionUnknown DecisionKind = "unknown"
	// DecisionRecorded ends a ballot of kind complete or release. Decision.Release names the seats that did not answer.
	DecisionRecorded DecisionKind = "recorded"
)

// Decision is what a ballot decided and what its attempt has to do.
type Decision struct {
	Kind DecisionKind
	// Holder, HolderAttempt and Completed describe the other attempt of DecisionHeld.
	Holder        medlarwheel.InstanceID
	HolderAttempt AttemptHash
	Completed     bool
	// Refusal is the response if nothing better is known. It is zero for DecisionGranted and DecisionRecorded.
	Refusal medlarwheel.Refusal
	// Release lists the seats that have or may have a vote of the attempt. An attempt that is not going to be sent asks
	// them for a release, or all seats for a seal, which releases as well.
	Release []medlarwheel.InstanceID
	// Fenced tells that a seat fenced the key although no majority did. A seal can then still lead to "not run".
	Fenced bool
	// Until is the time up to which a grant or "not run" may be acted on.
	Until time.Time
}

// decide fills in the decision once no further answer can improve it.
func (b *Ballot) decide(now time.Time) {
	t := b.tally()
	inTime := now.Sub(b.started) < ClaimValidity
	switch {
	case b.question.Kind == KindComplete || b.question.Kind == KindRelease:
		if t.open == 0 {
			b.conclude(Decision{Kind: DecisionRecorded, Release: b.seatsIn(stateFailed)})
		}
	case t.granted >= b.majority() && inTime:
		b.conclude(Decision{Kind: DecisionGranted, Until: b.started.Add(MaxWait)})
	case t.fenced >= b.majority() && inTime:
		b.conclude(b.refuse(Decision{
			Kind:    DecisionNotRun,
			Refusal: medlarwheel.NotRun(b.fenceReason(), RetryAfter),
			Until:   b.started.Add(ClaimValidity),
		}))
	case !inTime:
		b.conclude(b.refuse(b.late(&t)))
	case b.hopeless(&t):
		b.conclude(b.refuse(b.undecided(&t)))
	}
}

// hopeless reports whether the votes that the ballot asks for cannot become a majority any more.
func (b *Ballot) hopeless(t *tally) bool {
	if b.question.Kind == KindSeal {
		return t.fenced+t.open < b.majority()
	}
	// Fences of a majority answer a claim as well: the key was refused and has not run.
	return max(t.granted, t.fenced)+t.open < b.majority()
}

func (b *Ballot) undecided(t *tally) Decision {
	switch {
	case t.stale:
		return Decision{Kind: DecisionStaleEpoch, Refusal: medlarwheel.Unknown(medlarwheel.ReasonNoMajority, RetryAfter)}
	case t.held != nil:
		return Decision{
			Kind:          DecisionHeld,
			Holder:        t.held.Holder,
			HolderAttempt: t.held.HolderAttempt,
			Completed:     t.held.Completed,
			Refusal:       medlarwheel.Unknown(medlarwheel.ReasonAlreadyAttempted, RetryAfter),
		}
	case t.recovering:
		return Decision{Kind: DecisionUnknown, Refusal: medlarwheel.Unknown(medlarwheel.ReasonRecovering, RetryAfter)}
	default:
		return Decision{Kind: DecisionUnknown, Refusal: medlarwheel.Unknown(medlarwheel.ReasonNoMajority, RetryAfter)}
	}
}

// late ends a ballot that took too long. A further vote could not be used.
func (b *Ballot) late(t *tally) Decision {
	d := b.undecided(t)
	if d.Kind == DecisionUnknown {
		d.Kind = DecisionLate
	}
	return d
}

// refuse adds the seats that may have a vote of the attempt.
func (b *Ballot) refuse(d Decision) Decision {
	d.Fenced = len(b.seatsIn(stateFenced)) > 0
	if b.question.Kind == KindClaim {
		d.Release = b.seatsIn(stateFailed, stateGranted, stateSuperseded)
	}
	return d
}

func (b *Ballot) conclude(d Decision) { b.decision = &d }

func (b *Ballot) fenceReason() medlarwheel.Reason {
	for i := range b.polls {
		if b.polls[i].state == stateFenced && b.polls[i].answer.Verdict == VerdictFull {
			return medlarwheel.ReasonKeyMemoryFull
		}
	}
	return medlarwheel.ReasonKeySealed
}
