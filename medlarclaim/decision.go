package medlarclaim

import (
	"time"

	"medlarwheel"
)

// DecisionKind is the result of a ballot.
type DecisionKind string

// The results of a ballot.
const (
	// DecisionGranted means that the attempt may be sent until Decision.ValidUntil.
	DecisionGranted DecisionKind = "granted"
	// DecisionNotRun means that a majority fenced the key: no attempt has run, and none that has arrived so far will
	// run. The refusal may be returned until Decision.ValidUntil.
	DecisionNotRun DecisionKind = "not-run"
	// DecisionHeld means that another attempt may have run. The client gets the response of that attempt if its holder
	// has it, otherwise the refusal, whose outcome is "unknown".
	DecisionHeld DecisionKind = "held"
	// DecisionTimedOut means that the ballot took BallotTimeout or longer, so that its votes must not be used.
	DecisionTimedOut DecisionKind = "late"
	// DecisionStaleEpoch means that the ballot can be repeated with a newer roster and the same attempt id.
	DecisionStaleEpoch DecisionKind = "stale-epoch"
	// DecisionUnknown means that too few voters gave a vote or a fence.
	DecisionUnknown DecisionKind = "unknown"
	// DecisionRecorded ends a ballot of kind complete or release. Decision.ReleaseTargets names the voters that did not
	// respond.
	DecisionRecorded DecisionKind = "recorded"
)

// Decision is the result of a ballot, with what its attempt has to do next.
type Decision struct {
	Kind DecisionKind
	// Holder, HolderAttempt and Completed describe the other attempt of DecisionHeld.
	Holder        medlarwheel.InstanceID
	HolderAttempt AttemptHash
	Completed     bool
	// Refusal is returned to the client if no response of another attempt is available. It is zero for DecisionGranted
	// and DecisionRecorded.
	Refusal medlarwheel.Refusal
	// ReleaseTargets lists the voters that hold or may hold a vote for the attempt. If the attempt is not going to be
	// sent, its instance sends them a release, or all voters a seal, which releases the votes as well.
	ReleaseTargets []medlarwheel.InstanceID
	// Fenced reports whether at least one voter fenced the key. A seal can then still lead to "not run" if no majority
	// did.
	Fenced bool
	// ValidUntil is the time until which a grant or "not run" may be acted on.
	ValidUntil time.Time
}

// decide sets the decision once no further response can change it.
func (b *Ballot) decide(now time.Time) {
	counts := b.countVotes()
	inTime := now.Sub(b.started) < BallotTimeout
	switch {
	case b.request.Kind == KindComplete || b.request.Kind == KindRelease:
		if counts.pending == 0 {
			b.conclude(Decision{Kind: DecisionRecorded, ReleaseTargets: b.votersIn(stateNoResponse)})
		}
	case counts.granted >= b.majority() && inTime:
		b.conclude(Decision{Kind: DecisionGranted, ValidUntil: b.started.Add(MaxQueueWait)})
	case counts.fenced >= b.majority() && inTime:
		b.conclude(b.withReleaseTargets(Decision{
			Kind:       DecisionNotRun,
			Refusal:    medlarwheel.NotRun(b.fenceReason(), RetryAfter),
			ValidUntil: b.started.Add(BallotTimeout),
		}))
	case !inTime:
		b.conclude(b.withReleaseTargets(b.timedOutDecision(&counts)))
	case b.majorityImpossible(&counts):
		b.conclude(b.withReleaseTargets(b.noMajorityDecision(&counts)))
	}
}

// majorityImpossible reports whether the pending voters can no longer complete a majority for what the ballot asks.
func (b *Ballot) majorityImpossible(counts *voteCounts) bool {
	if b.request.Kind == KindSeal {
		return counts.fenced+counts.pending < b.majority()
	}
	// A majority of fences decides a claim too: the key was refused and has not run.
	return max(counts.granted, counts.fenced)+counts.pending < b.majority()
}

// noMajorityDecision chooses the decision, and the reason of the refusal, for a ballot without a majority.
func (b *Ballot) noMajorityDecision(counts *voteCounts) Decision {
	switch {
	case counts.staleEpoch:
		return Decision{Kind: DecisionStaleEpoch, Refusal: medlarwheel.Unknown(medlarwheel.ReasonNoMajority, RetryAfter)}
	case counts.heldResponse != nil:
		return Decision{
			Kind:          DecisionHeld,
			Holder:        counts.heldResponse.Holder,
			HolderAttempt: counts.heldResponse.HolderAttempt,
			Completed:     counts.heldResponse.Completed,
			Refusal:       medlarwheel.Unknown(medlarwheel.ReasonAlreadyAttempted, RetryAfter),
		}
	case counts.recovering:
		return Decision{Kind: DecisionUnknown, Refusal: medlarwheel.Unknown(medlarwheel.ReasonRecovering, RetryAfter)}
	default:
		return Decision{Kind: DecisionUnknown, Refusal: medlarwheel.Unknown(medlarwheel.ReasonNoMajority, RetryAfter)}
	}
}

// timedOutDecision is the decision of a ballot that reached BallotTimeout. It does not wait for pending voters, because
// their votes could not be used.
func (b *Ballot) timedOutDecision(counts *voteCounts) Decision {
	d := b.noMajorityDecision(counts)
	if d.Kind == DecisionUnknown {
		d.Kind = DecisionTimedOut
	}
	return d
}

// withReleaseTargets sets Fenced and, for a claim, the voters that may hold a vote for the attempt.
func (b *Ballot) withReleaseTargets(d Decision) Decision {
	d.Fenced = len(b.votersIn(stateFenced)) > 0
	if b.request.Kind == KindClaim {
		d.ReleaseTargets = b.votersIn(stateNoResponse, stateGranted, stateSuperseded)
	}
	return d
}

func (b *Ballot) conclude(d Decision) { b.decision = &d }

// fenceReason returns the reason of a refusal that is based on fences.
func (b *Ballot) fenceReason() medlarwheel.Reason {
	for i := range b.voters {
		if b.voters[i].state == stateFenced && b.voters[i].response.Verdict == VerdictMemoryFull {
			return medlarwheel.ReasonKeyMemoryFull
		}
	}
	return medlarwheel.ReasonKeySealed
}
