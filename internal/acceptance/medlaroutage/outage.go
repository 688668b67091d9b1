// Package medlaroutage decides what happens to a request that needs the platform's table while the table does not answer this
// instance: it is forwarded to an instance that the table answers, waits, or is refused.
//
// A request waits only while there is a real chance that the table returns in time for its client. The chance follows from the
// age of the outage and from the lengths of past ones. A refusal says when to come back, spread by the id of the submission.
// When the table returns, the Room releases the waiting requests in the order of their deadlines.
//
// # Usage
//
//	decision := config.Decide(&durations, situation, medlaroutage.Request{Key: row.Key, Left: left, Bytes: len(row.Value)})
//	switch decision.Action {
//	case medlaroutage.ActionWait: // for at most decision.Wait, in a Room
//	case medlaroutage.ActionRefuse: // with decision.RetryAfter
//	}
package medlaroutage

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Action is what happens to a request.
type Action string

// The actions.
const (
	// ActionForward means that a peer that the table answers is asked to store the row.
	ActionForward Action = "forward"
	// ActionWait means that the request waits until the table returns, a peer reaches it, or Decision.Wait has passed.
	ActionWait Action = "wait"
	// ActionRefuse means that the request is refused now.
	ActionRefuse Action = "refuse"
)

// Config configures the decisions and the waiting room. The zero value refuses every request.
type Config struct {
	// MinChance is the least probability of the table's return within the client's time at which a request begins to wait. It waits
	// until the probability has fallen to MinLastChance, which is lower: a client that is refused by then has no time for
	// another try.
	MinChance, MinLastChance float64
	// AnswerTime is the part of a client's time that storing a row and sending the answer take.
	AnswerTime time.Duration
	// MaxWaiting and MaxWaitingBytes limit the number and the size of the requests that wait at this instance.
	MaxWaiting, MaxWaitingBytes int
	// MaxRetryAfter limits the retry delay before it is spread.
	MaxRetryAfter time.Duration
	// TransactionRate is the number of transactions per second that all instances together spend on requests that have
	// waited. It is a part of what the table allows.
	TransactionRate float64
	// MaxBurst is the largest number of transactions that one instance begins at once for them.
	MaxBurst int
}

// DefaultConfig returns the configuration for clients that wait for a few seconds and instances with little memory.
func DefaultConfig() Config {
	return Config{
		MinChance: 0.1, MinLastChance: 0.01, AnswerTime: 100 * time.Millisecond, MaxWaiting: 500, MaxWaitingBytes: 8 << 20,
		MaxRetryAfter: 10 * time.Second, TransactionRate: 600, MaxBurst: 8,
	}
}

// Situation is what an instance knows about an outage.
type Situation struct {
	// Age is the time since which the table has not answered this instance.
	Age time.Duration
	// PeersAsked, PeersAnswered and PeersReaching are the numbers of peers that were recently asked whether the table answers them,
	// that answered, and that said so.
	PeersAsked, PeersAnswered, PeersReaching int
	// Waiting and WaitingBytes are the number and the size of the requests that wait here.
	Waiting, WaitingBytes int
	// Stopping is true if this instance is about to end.
	Stopping bool
}

// Request is a request that needs the table.
type Request struct {
	// Key is the key of the row. Requests for the same row have the same retry delay.
	Key string
	// Left is the time that the client still waits.
	Left  time.Duration
	Bytes int
	// Forwarded is true if all attempts to forward the request have been used.
	Forwarded bool
}

// Decision is the decision on a request.
type Decision struct {
	Action Action
	// Wait is the longest time for which the request waits.
	Wait time.Duration
	// RetryAfter is the retry delay if the request is refused now.
	RetryAfter time.Duration
	// Chance is the probability that the table returns within the client's time.
	Chance float64
	// Reason is the reason for logs.
	Reason string
}

// Decide decides on a request that the table does not answer.
func (c *Config) Decide(d *Durations, s Situation, r Request) Decision {
	usable := r.Left - c.AnswerTime
	decision := Decision{Action: ActionRefuse, Chance: d.ChanceWithin(s.Age, usable), RetryAfter: c.retryAfter(d, s, r)}
	switch {
	case s.Stopping:
		decision.Reason = "instance is stopping"
	case s.PeersReaching > 0 && !r.Forwarded && usable > 0:
		decision.Action, decision.Reason = ActionForward, "a peer reaches the table"
	case s.IsCutOff():
		decision.Reason = "most peers do not answer either"
	case decision.Chance < c.MinChance || usable <= 0:
		decision.Reason = fmt.Sprintf("chance of %.2f that the table returns in time", max(decision.Chance, 0))
	case s.Waiting >= c.MaxWaiting || s.WaitingBytes+r.Bytes > c.MaxWaitingBytes:
		decision.Reason = fmt.Sprintf("%d requests of %d bytes wait already", s.Waiting, s.WaitingBytes)
	default:
		decision.Action, decision.Wait = ActionWait, c.longestWait(d, s.Age, usable)
		decision.Reason = fmt.Sprintf("chance of %.2f that the table returns in time", decision.Chance)
	}
	return decision
}

// minAskedPeers is the number of peers from which on their silence counts.
const minAskedPeers = 4

// IsCutOff reports whether neither the table nor most peers answer. Others can then probably store the submission: a client that is
// refused at once has the time to reach them.
func (s *Situation) IsCutOff() bool {
	return s.PeersReaching == 0 && s.PeersAsked >= minAskedPeers && s.PeersAnswered < s.PeersAsked-s.PeersAnswered
}

// waitStep is the granularity of Decision.Wait.
const waitStep = 50 * time.Millisecond

// longestWait returns how long a request with the given usable time waits: until the chance that is left falls below
// MinLastChance.
func (c *Config) longestWait(d *Durations, age, usable time.Duration) time.Duration {
	wait := waitStep
	for wait < usable && d.ChanceWithin(age+wait, usable-wait) >= c.MinLastChance {
		wait += waitStep
	}
	return min(wait, usable)
}

// retryAfter returns the retry delay of a refusal, in whole seconds: the median of what is left of the outage, or one second if
// other instances can help, plus a part that depends on the key. A retry that fits in the client's time stays within it.
func (c *Config) retryAfter(d *Durations, s Situation, r Request) time.Duration {
	seconds := int64(1)
	if !s.Stopping && !s.IsCutOff() && s.PeersReaching == 0 {
		median := min(d.MedianLeft(s.Age, c.MaxRetryAfter), c.MaxRetryAfter)
		seconds = max(seconds, int64((median+time.Second-1)/time.Second))
	}
	spread := seconds/2 + 1
	if room := int64(r.Left/time.Second) - seconds; room >= 0 {
		spread = min(spread, room)
	}
	return time.Duration(seconds+int64(xxhash.Sum64String(r.Key)%uint64(spread+1))) * time.Second
}

// Pace returns how many transactions an instance begins at once for requests that have waited, and the pause until the
// next ones, so that all instances together stay within TransactionRate.
func (c *Config) Pace(instances int) (burst int, pause time.Duration) {
	share := c.TransactionRate / float64(max(instances, 1))
	burst = min(max(int(share), 1), max(c.MaxBurst, 1))
	return burst, time.Duration(float64(burst) / max(share, minShare) * float64(time.Second))
}

// minShare is the lowest rate of an instance, in transactions per second.
const minShare = 1.0
