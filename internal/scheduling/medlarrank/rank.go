// Package medlarrank ranks waiting work: it decides the order in which tasks are started.
//
// It handles a burst of batch work that the workers can't finish in time. With first come, first served or earliest
// deadline first, nearly all of that work becomes late, because each piece is started when it can only just be in time
// and run times are uncertain. Work is therefore ranked by the expected gain for each remaining core-second: its value,
// times the probability that it is in time. Work that is small, nearly finished or very likely to be in time comes first.
//
// # Usage
//
//	rank := medlarrank.Of(now, config, priority, medlarrank.Work{
//		SoftDeadline: soft, HardDeadline: hard, CriticalPath: path, Value: 1, RemainingCoreSeconds: 40,
//	})
//	if rank.Compare(other) < 0 { ... }
package medlarrank

import (
	"cmp"
	"math"
	"time"
)

// Config configures ranks.
type Config struct {
	// RelativeDeviation is the standard deviation of the remaining run time, as a fraction of the expected one.
	RelativeDeviation float64
	// SizeExponent is the exponent of the remaining work in the score. At 1, the order maximises the gain for each
	// core-second; below 1, large work is not starved by small work.
	SizeExponent float64
}

// DefaultConfig returns the configuration for work of a few seconds.
func DefaultConfig() Config { return Config{RelativeDeviation: 0.5, SizeExponent: 0.7} }

// Timeliness is the best outcome that a piece of work can still reach.
type Timeliness int

// The values of Timeliness, best first.
const (
	// TimelinessInTime means that the work can still meet its soft deadline.
	TimelinessInTime Timeliness = iota
	// TimelinessLate means that the work misses its soft deadline but can meet its hard deadline.
	TimelinessLate
	// TimelinessExpired means that the work also misses its hard deadline.
	TimelinessExpired
)

// Work holds what the rank of a piece of work depends on.
type Work struct {
	// SoftDeadline is when the work should be complete. After HardDeadline, the result is of no use to the client.
	SoftDeadline, HardDeadline time.Time
	// CriticalPath is the expected time to completion if no task has to wait for a worker.
	CriticalPath time.Duration
	// Value is what the client gains from the work, in any unit.
	Value float64
	// RemainingCoreSeconds is the work that remains to be done.
	RemainingCoreSeconds float64
	// Idle is how long nothing of the work has run, or 0 while a part of it runs.
	Idle time.Duration
}

// Rank orders work. The zero Rank is in time and has no score.
type Rank struct {
	Priority int
	// Overdue is how long expired work has waited beyond a limit. The work that has waited the longest comes first.
	Overdue    time.Duration
	Timeliness Timeliness
	// Idle is set for expired work only. Its result is of no use at any time, so that it is served by turns.
	Idle  time.Duration
	Score float64
}

// Compare returns a negative number if r comes before other, and a positive one if it comes after.
func (r Rank) Compare(other Rank) int {
	switch {
	case r.Priority != other.Priority:
		return r.Priority - other.Priority
	case r.Overdue != other.Overdue:
		return cmp.Compare(other.Overdue, r.Overdue)
	case r.Timeliness != other.Timeliness:
		return int(r.Timeliness - other.Timeliness)
	case r.Idle != other.Idle:
		return cmp.Compare(other.Idle, r.Idle)
	case r.Score > other.Score:
		return -1
	case r.Score < other.Score:
		return 1
	default:
		return 0
	}
}

// minCoreSeconds is the lower bound of the remaining work in a score, which keeps scores finite.
const minCoreSeconds = 0.1

// Of returns the rank of a piece of work at a point in time.
func Of(now time.Time, c Config, priority int, w Work) Rank {
	end := now.Add(w.CriticalPath)
	rank := Rank{Priority: priority, Timeliness: TimelinessInTime}
	slack := w.SoftDeadline.Sub(end)
	if slack < 0 {
		rank.Timeliness, slack = TimelinessLate, w.HardDeadline.Sub(end)
	}
	if slack < 0 {
		rank.Timeliness, rank.Idle, slack = TimelinessExpired, w.Idle, 0
	}
	density := w.Value / math.Pow(max(w.RemainingCoreSeconds, minCoreSeconds), c.SizeExponent)
	rank.Score = density * c.probabilityInTime(slack, w.CriticalPath)
	return rank
}

// minCriticalPath is the lower bound of the critical path in a probability, which keeps the uncertainty of work without
// an estimate above zero.
const minCriticalPath = 10 * time.Millisecond

// probabilityInTime returns the probability that work with some slack is in time. The remaining run time is assumed to be
// normally distributed.
func (c *Config) probabilityInTime(slack, criticalPath time.Duration) float64 {
	deviation := c.RelativeDeviation * max(criticalPath, minCriticalPath).Seconds()
	return 0.5 * math.Erfc(-slack.Seconds()/deviation/math.Sqrt2)
}
