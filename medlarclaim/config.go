package medlarclaim

import (
	"time"

	"medlarwheel"
)

const (
	// BallotTimeout bounds a ballot from its start to its last response. A majority of grants or fences that took
	// longer is not used, which bounds the delay of every message that contributed to it.
	BallotTimeout = 250 * time.Millisecond
	// Retention is the time that a voter keeps a vote after the last event of its key.
	Retention = 5 * time.Minute
	// MaxQueueWait bounds the time between the arrival of an attempt and its claim. It equals the longest queue timeout
	// that a template may set.
	MaxQueueWait = 30 * time.Second
	// RetryWindow is the time after the first attempt of a key in which clients may send further ones. A later attempt
	// could wait in a queue until the vote for the first one has expired.
	RetryWindow = Retention - MaxQueueWait - BallotTimeout
	// MaxClockSkew is the largest accepted difference between the clocks of a client and a voter.
	MaxClockSkew = 2 * time.Second
	// MaxVotes is 5,200 claims/s x 300 s x 3 voters / 8 instances = 585,000, rounded up.
	MaxVotes = 600_000
	// RetryAfter is the delay before a retry that refusals advise. An attempt that arrives at least 2 x BallotTimeout
	// after a refusal was sent is not denied by the fence of that refusal.
	RetryAfter = time.Second
)

// VoterConfig sets the identity and the limits of a voter.
type VoterConfig struct {
	// Self is the instance on which the voter runs.
	Self medlarwheel.InstanceID
	// Incarnation is the incarnation of Self.
	Incarnation medlarwheel.Incarnation
	// Epoch is the roster epoch in which the voter starts.
	Epoch medlarwheel.Epoch
	// Bootstrap lets the voter vote without recovery. It is set only for the voters of a data centre's first roster.
	Bootstrap bool
	// Retention is the time that a vote is kept after the last event of its key.
	Retention time.Duration
	// BallotTimeout is the timeout that ballots use.
	BallotTimeout time.Duration
	// MaxQueueWait is the wait from which claims are denied.
	MaxQueueWait time.Duration
	// MaxVotes bounds the number of votes kept.
	MaxVotes int
	// FenceSets is the number of sets of the fence table, a power of two. A set has 56 bytes and holds the fences of 4
	// keys.
	FenceSets int
}

// defaultFenceSets holds 262,144 fences in 3.7 MB. Under 10 times the load of the capacity a voter fences
// about 19,500 keys a second. A claim that waited 2 s then finds 0.75 recent fences per set on average, and more than 4
// in 0.1% of the sets.
const defaultFenceSets = 1 << 16

// DefaultVoterConfig returns the limits of the design page for a voter that has to recover before it votes.
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

// fenceDuration is the time after a fence during which arriving attempts are denied, because they may have arrived before
// the refusal was sent. The refusal is sent up to one BallotTimeout after the fence, and a claim may reach the voter up to
// one BallotTimeout after its ballot started.
func (c *VoterConfig) fenceDuration() time.Duration { return 2 * c.BallotTimeout }
