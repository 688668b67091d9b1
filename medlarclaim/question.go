package medlarclaim

import (
	"time"

	"medlarwheel"
)

// BallotKind is what an attempt asks of a seat.
type BallotKind string

// The kinds of question.
const (
	// KindClaim asks for the seat's vote.
	KindClaim BallotKind = "claim"
	// KindSeal asks the seat to fence the key. The attempt must never be sent afterwards.
	KindSeal BallotKind = "seal"
	// KindComplete tells that the attempt was granted and that its run has ended.
	KindComplete BallotKind = "complete"
	// KindRelease gives a vote back. The attempt must never be sent afterwards.
	KindRelease BallotKind = "release"
)

// VoteRequest is what an attempt of a request key asks of a seat.
type VoteRequest struct {
	Kind    BallotKind
	Key     KeyHash
	Attempt medlarwheel.AttemptID
	// Holder is the instance that runs the attempt.
	Holder medlarwheel.InstanceID
	// Waited is the time from the attempt's arrival to the start of the ballot.
	Waited time.Duration
	// KeyCreatedAt is the creation time in the request key. It is zero for a key without one.
	KeyCreatedAt time.Time
}

// Verdict is the decision of one seat on one question.
type Verdict string

// The verdicts of a seat.
const (
	// VerdictGranted means that the seat's vote belongs to the asking attempt, or that its completion was recorded.
	VerdictGranted Verdict = "granted"
	// VerdictHeld means that the seat knows a vote for another attempt.
	VerdictHeld Verdict = "held"
	// VerdictSealed means that the seat knows no vote for the key and fenced the key at the time of the answer.
	VerdictSealed Verdict = "sealed"
	// VerdictStaleEpoch means that the seat knows a higher roster epoch than the question's.
	VerdictStaleEpoch Verdict = "stale-epoch"
	// VerdictRecovering means that the seat may not vote in the question's epoch yet.
	VerdictRecovering Verdict = "recovering"
	// VerdictMemoryFull means that the seat has no memory for a new key. It fenced the key like VerdictSealed.
	VerdictMemoryFull Verdict = "full"
	// VerdictQuarantined means that votes for the key may have been lost with a majority of the group.
	VerdictQuarantined Verdict = "quarantined"
)

// VoteResponse is the answer of one seat to one question.
type VoteResponse struct {
	Verdict Verdict
	// Holder, HolderAttempt and Completed describe the other attempt of VerdictHeld.
	Holder        medlarwheel.InstanceID
	HolderAttempt AttemptHash
	Completed     bool
	// KnownIncarnations holds the incarnations of seats that the answering seat knew when it answered, its own included. It is
	// shared between answers and must not be changed.
	KnownIncarnations IncarnationVector
}
