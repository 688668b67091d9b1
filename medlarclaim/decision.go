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
	// DecisionTimedOut means that the ballot took longer than ClaimValidity, so that its votes must not be used.
	DecisionTimedOut DecisionKind = "late"
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
	// ReleaseTargets lists the seats that have or may have a vote of the attempt. An attempt that is not going to be sent asks
	// them for a release, or all seats for a seal, which releases as well.
	ReleaseTargets []medlarwheel.InstanceID
	// Fenced tells that a seat fenced the key although no majority did. A seal can then still lead to "not run".
	Fenced bool
	// ValidUntil is the time up to which a grant or "not run" may be acted on.
	ValidUntil time.Time
}

// decide fills in the decision once no further answer can improve it.
func (b *Ballot) decide(now time.Time) {
	t := b.countVotes()
	inTime := now.Sub(b.started) < BallotTimeout
	switch {
	case b.request.Kind == KindComplete || b.request.Kind == KindRelease:
		if t.pending == 0 {
			b.conclude(Decision{Kind: DecisionRecorded, ReleaseTargets: b.votersIn(stateNoResponse)})
		}
	case t.granted >= b.majority() && inTime:
		b.conclude(Decision{Kind: DecisionGranted, ValidUntil: b.started.Add(MaxQueueWait)})
	case t.fenced >= b.majority() && inTime:
		b.conclude(b.withReleaseTargets(Decision{
			Kind:       DecisionNotRun,
			Refusal:    medlarwheel.NotRun(b.fenceReason(), RetryAfter),
			ValidUntil: b.started.Add(BallotTimeout),
		}))
	case !inTime:
		b.conclude(b.withReleaseTargets(b.timedOutDecision(&t)))
	case b.majorityImpossible(&t):
		b.conclude(b.withReleaseTargets(b.noMajorityDecision(&t)))
	}
}

// majorityImpossible reports whether the votes that the ballot asks for cannot become a majority any more.
func (b *Ballot) majorityImpossible(t *voteCounts) bool {
	if b.request.Kind == KindSeal {
		return t.fenced+t.pending < b.majority()
	}
	// Fences of a majority answer a claim as well: the key was refused and has not run.
	return max(t.granted, t.fenced)+t.pending < b.majority()
}

func (b *Ballot) noMajorityDecision(t *voteCounts) Decision {
	switch {
	case t.staleEpoch:
		return Decision{Kind: DecisionStaleEpoch, Refusal: medlarwheel.Unknown(medlarwheel.ReasonNoMajority, RetryAfter)}
	case t.heldResponse != nil:
		return Decision{
			Kind:          DecisionHeld,
			Holder:        t.heldResponse.Holder,
			HolderAttempt: t.heldResponse.HolderAttempt,
			Completed:     t.heldResponse.Completed,
			Refusal:       medlarwheel.Unknown(medlarwheel.ReasonAlreadyAttempted, RetryAfter),
		}
	case t.recovering:
		return Decision{Kind: DecisionUnknown, Refusal: medlarwheel.Unknown(medlarwheel.ReasonRecovering, RetryAfter)}
	default:
		return Decision{Kind: DecisionUnknown, Refusal: medlarwheel.Unknown(medlarwheel.ReasonNoMajority, RetryAfter)}
	}
}

// timedOutDecision ends a ballot that took too long. A further vote could not be used.
func (b *Ballot) timedOutDecision(t *voteCounts) Decision {
	d := b.noMajorityDecision(t)
	if d.Kind == DecisionUnknown {
		d.Kind = DecisionTimedOut
	}
	return d
}

// withReleaseTargets adds the seats that may have a vote of the attempt.
func (b *Ballot) withReleaseTargets(d Decision) Decision {
	d.Fenced = len(b.votersIn(stateFenced)) > 0
	if b.request.Kind == KindClaim {
		d.ReleaseTargets = b.votersIn(stateNoResponse, stateGranted, stateSuperseded)
	}
	return d
}

func (b *Ballot) conclude(d Decision) { b.decision = &d }

func (b *Ballot) fenceReason() medlarwheel.Reason {
	for i := range b.voters {
		if b.voters[i].state == stateFenced && b.voters[i].response.Verdict == VerdictMemoryFull {
			return medlarwheel.ReasonKeyMemoryFull
		}
	}
	return medlarwheel.ReasonKeySealed
}
