package medlarclaim

import (
	"time"

	"medlarwheel"
)

// BallotKind is what a ballot asks of the voters for its attempt.
type BallotKind string

// The kinds of ballot.
const (
	// KindClaim asks for the voter's vote.
	KindClaim BallotKind = "claim"
	// KindSeal asks the voter to fence the key. The attempt must never be sent afterwards.
	KindSeal BallotKind = "seal"
	// KindComplete reports that the attempt was granted and that its run has ended.
	KindComplete BallotKind = "complete"
	// KindRelease withdraws the attempt's vote. The attempt must never be sent afterwards.
	KindRelease BallotKind = "release"
)

// VoteRequest is the request of a ballot to one voter.
type VoteRequest struct {
	Kind    BallotKind
	Key     KeyHash
	Attempt medlarwheel.AttemptID
	// Holder is the instance that runs the attempt.
	Holder medlarwheel.InstanceID
	// Waited is the time from the arrival of the attempt to the start of the ballot.
	Waited time.Duration
	// KeyCreatedAt is the creation time in the request key. It is zero for a key without one.
	KeyCreatedAt time.Time
}

// Verdict is the decision of one voter on one request.
type Verdict string

// The verdicts of a voter.
const (
	// VerdictGranted means that the voter's vote belongs to the requesting attempt, or that its completion was
	// recorded.
	VerdictGranted Verdict = "granted"
	// VerdictHeld means that the voter has a vote for another attempt.
	VerdictHeld Verdict = "held"
	// VerdictSealed means that the voter has no vote for the key and fenced the key when it handled the request.
	VerdictSealed Verdict = "sealed"
	// VerdictStaleEpoch means that the voter knows a higher roster epoch than that of the request.
	VerdictStaleEpoch Verdict = "stale-epoch"
	// VerdictRecovering means that the voter may not vote yet in the epoch of the request.
	VerdictRecovering Verdict = "recovering"
	// VerdictMemoryFull means that the voter has no memory for a new key. On a claim it fenced the key, as for
	// VerdictSealed.
	VerdictMemoryFull Verdict = "full"
	// VerdictQuarantined means that votes for the key may have been lost by a majority of the group.
	VerdictQuarantined Verdict = "quarantined"
)

// VoteResponse is the response of one voter to one request.
type VoteResponse struct {
	Verdict Verdict
	// Holder, HolderAttempt and Completed describe the other attempt of VerdictHeld.
	Holder        medlarwheel.InstanceID
	HolderAttempt AttemptHash
	Completed     bool
	// KnownIncarnations holds the incarnations of voters that the responding voter knew, its own included. Responses
	// share it, so it must not be changed.
	KnownIncarnations IncarnationVector
}
