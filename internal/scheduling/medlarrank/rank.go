// Package medlarrank decides in which order waiting work is started.
//
// It answers a burst of batch work that the workers can't finish in time. Starting the oldest or the most urgent work first
// makes nearly all of it late, since each piece is started when it can just be in time, and run times are uncertain. Work is
// therefore ranked by what its caller can be expected to gain for each core-second that is left to do: its value, times the
// probability that it is in time. Little, nearly finished and safe work comes first.
//
// # Usage
//
//	rank := medlarrank.Of(now, config, medlarrank.Work{Due: due, Useless: useless, Chain: chain, Value: 1, Remaining: 40})
//	if other.Before(rank) { ... }
package medlarrank

import (
	"math"
	"time"
)

// Config configures ranks.
type Config struct {
	// RelativeDeviation is the standard deviation of the time that work still takes against the expected one.
	RelativeDeviation float64
	// SizeExponent says how strongly the remaining work lowers the rank. One maximises the gain for each core-second;
	// less than one keeps large work from waiting for ever.
	SizeExponent float64
}

// DefaultConfig returns the configuration for work of a few seconds.
func DefaultConfig() Config { return Config{RelativeDeviation: 0.5, SizeExponent: 0.7} }

// Timeliness says what a piece of work can still reach.
type Timeliness int

// The hopes, best first.
const (
	// TimelinessInTime means that the work can meet its objective.
	TimelinessInTime Timeliness = iota
	// TimelinessLate means that it can't, but is still of use to its caller.
	TimelinessLate
	// TimelinessExpired means that it comes too late to be of use.
	TimelinessExpired
)

// Work is what the rank of a piece of work depends on.
type Work struct {
	// SoftDeadline is when the work should be complete, and Useless when it is of no more use.
	SoftDeadline, HardDeadline time.Time
	// CriticalPath is the time that the work still takes if nothing has to wait.
	CriticalPath time.Duration
	// Value is what the caller gains, in any unit.
	Value float64
	// RemainingCoreSeconds is the work that is left, in core-seconds.
	RemainingCoreSeconds float64
}

// Rank orders work. The zero Rank is in time and has no score.
type Rank struct {
	Priority   int
	Timeliness Timeliness
	Score      float64
}

// Compare returns a negative number if r comes before other.
func (r Rank) Compare(other Rank) int {
	switch {
	case r.Priority != other.Priority:
		return r.Priority - other.Priority
	case r.Timeliness != other.Timeliness:
		return int(r.Timeliness - other.Timeliness)
	case r.Score > other.Score:
		return -1
	case r.Score < other.Score:
		return 1
	default:
		return 0
	}
}

// minCoreSeconds keeps ranks finite, in core-seconds.
const minCoreSeconds = 0.1

// Of returns the rank of a piece of work.
func Of(now time.Time, c Config, priority int, w Work) Rank {
	end := now.Add(w.CriticalPath)
	rank := Rank{Priority: priority, Timeliness: TimelinessInTime}
	slack := w.SoftDeadline.Sub(end)
	if slack < 0 {
		rank.Timeliness, slack = TimelinessLate, w.HardDeadline.Sub(end)
	}
	if slack < 0 {
		rank.Timeliness, slack = TimelinessExpired, 0
	}
	density := w.Value / math.Pow(max(w.RemainingCoreSeconds, minCoreSeconds), c.SizeExponent)
	rank.Score = density * c.probabilityInTime(slack, w.CriticalPath)
	return rank
}

// minCriticalPath keeps the uncertainty of work without an estimate above zero.
const minCriticalPath = 10 * time.Millisecond

// probabilityInTime returns the probability that work which is expected to end with some slack is in time. The time that it takes
// is taken to be normally distributed.
func (c *Config) probabilityInTime(slack, chain time.Duration) float64 {
	deviation := c.RelativeDeviation * max(chain, minCriticalPath).Seconds()
	return 0.5 * math.Erfc(-slack.Seconds()/deviation/math.Sqrt2)
}
