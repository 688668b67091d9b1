package medlarclaim

import (
	"time"

	"medlarwheel"
)

const (
	// BallotTimeout bounds a ballot from its start to its last answer. A grant or seal that took longer is not used,
	// which bounds the delay of every message behind a used answer.
	BallotTimeout = 250 * time.Millisecond
	// Retention is the time that a seat keeps a vote after the last event of its key.
	Retention = 5 * time.Minute
	// MaxQueueWait bounds the time between the arrival of an attempt and its claim. It equals the longest queue timeout that
	// a template may set.
	MaxQueueWait = 30 * time.Second
	// RetryWindow is the time after the first attempt of a key in which callers may send further ones. A later attempt
	// could wait in a queue until the vote for the first one has expired.
	RetryWindow = Retention - MaxQueueWait - BallotTimeout
	// MaxClockSkew is the largest accepted difference between a caller's clock and a seat's.
	MaxClockSkew = 2 * time.Second
	// MaxVotes is 5,200 claims/s x 300 s x 3 seats / 8 instances = 585,000, rounded up.
	MaxVotes = 600_000
	// RetryAfter is the time to come back that refusals carry. An attempt that arrives 2 x ClaimValidity after the
	// answer of a refusal passes its fence.
	RetryAfter = time.Second
)

// VoterConfig sets the identity and the limits of a seat.
type VoterConfig struct {
	// Self is the instance that holds the seat.
	Self medlarwheel.InstanceID
	// Incarnation is the incarnation of Self.
	Incarnation medlarwheel.Incarnation
	// Epoch is the roster epoch in which the seat starts.
	Epoch medlarwheel.Epoch
	// Bootstrap lets the seat vote without recovery. It is set only for the seats of a data centre's first roster.
	Bootstrap bool
	// Retention is the time that a vote is kept after the last event of its key.
	Retention time.Duration
	// BallotTimeout is the validity that ballots use.
	BallotTimeout time.Duration
	// MaxQueueWait is the longest wait of an attempt that may still claim.
	MaxQueueWait time.Duration
	// MaxVotes bounds the votes kept.
	MaxVotes int
	// FenceSets is the number of sets of the fence table, a power of two. A set has 56 bytes and holds 4 keys.
	FenceSets int
}

// defaultFenceSets holds 262,144 fences in 3.7 MB. In a flood of 10 times capacity a seat fences about 19,500 keys a
// second; a claim that waited 2 s then meets 0.75 recent fences per set, and more than 4 of them in 0.1% of the sets.
const defaultFenceSets = 1 << 16

// DefaultVoterConfig returns the limits of the design page for a seat that has to recover before it votes.
func DefaultVoterConfig(self medlarwheel.InstanceID, incarnation medlarwheel.Incarnation) VoterConfig {
	return VoterConfig{
		Self:          self,
		Incarnation:   incarnation,
		Retention:     Retention,
		BallotTimeout: BallotTimeout,
		MaxQueueWait:  MaxQueueWait,
		MaxVotes:      MaxVotes,
		FenceSets:     defaultFenceSets,
	}
}

// fenceDuration is the time after a fence within which an attempt may have arrived before the refusal was answered. The
// refusal is answered up to one validity after the fence, and a claim may be delayed by another one.
func (c *VoterConfig) fenceDuration() time.Duration { return 2 * c.BallotTimeout }
