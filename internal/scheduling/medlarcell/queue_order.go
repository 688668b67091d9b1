package medlarcell

import (
	"slices"
	"time"

	"medlarwheel/internal/scheduling/medlarrank"
)

// rankInterval is the time between two updates of the ranks of waiting steps. Ranks change with the slack, over seconds.
const rankInterval = 100 * time.Millisecond

// updateQueue sorts the queue by rank. New steps are merged into it; the ranks of the others are updated once per
// interval.
func (c *Cell) updateQueue(now time.Time) {
	c.compactQueue()
	c.unranked = removeDrainedSteps(c.unranked)
	for _, s := range c.unranked {
		s.rank = c.rankOf(now, s)
	}
	if now.Sub(c.rankedAt) >= rankInterval {
		c.rankedAt = now
		c.updateWideTurns(now)
		for _, s := range c.queue {
			s.rank = c.rankOf(now, s)
		}
		c.queue = append(c.queue, c.unranked...)
		slices.SortStableFunc(c.queue, compareSteps)
	} else if len(c.unranked) > 0 {
		slices.SortStableFunc(c.unranked, compareSteps)
		c.queue = mergeSteps(c.queue, c.unranked)
	}
	c.unranked = c.unranked[:0]
}

func compareSteps(a, b *step) int {
	if d := a.rank.Compare(b.rank); d != 0 {
		return d
	}
	return a.occurrence.softDeadline().Compare(b.occurrence.softDeadline())
}

// mergeSteps merges two sorted lists.
func mergeSteps(a, b []*step) []*step {
	merged := make([]*step, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if compareSteps(b[0], a[0]) < 0 {
			merged, b = append(merged, b[0]), b[1:]
		} else {
			merged, a = append(merged, a[0]), a[1:]
		}
	}
	return append(append(merged, a...), b...)
}

func (c *Cell) rankOf(now time.Time, s *step) medlarrank.Rank {
	rank := c.rankByValue(now, s)
	if c.hasWideTurn(s) {
		rank.Timeliness, rank.Score = medlarrank.TimelinessInTime, wideTurnScore
	}
	rank.Overdue = c.overdueTime(now, s, rank.Timeliness)
	return rank
}

func (c *Cell) rankByValue(now time.Time, s *step) medlarrank.Rank {
	j := s.occurrence.job
	if s.spec.LongRunning {
		return medlarrank.Rank{Priority: j.submission.Policy.Priority, Score: longRunningScore}
	}
	idle := time.Duration(0)
	if s.spec.BestEffort {
		idle = j.idle(now)
	}
	return medlarrank.Of(now, c.config.Rank, j.submission.Policy.Priority, medlarrank.Work{
		SoftDeadline: s.occurrence.softDeadline(), HardDeadline: s.occurrence.hardDeadline(), CriticalPath: j.criticalPaths[s.index] + c.drainTime(s), Value: c.valueOf(j),
		RemainingCoreSeconds: s.occurrence.remainingWork,
		Idle:                 idle,
	})
}

// longRunningScore ranks long-running tasks behind short tasks of the same priority that can meet their deadline, and
// before all others. Many short tasks can be served with the capacity that a long-running task takes for minutes.
const longRunningScore = 0

// Parts of the value of a submission: a constant one, and one in proportion to its work relative to the mean of its
// route.
const (
	fixedValue = 0.3
	workValue  = 0.7
)

func (c *Cell) valueOf(j *job) float64 {
	mean := c.meanWork[j.submission.Route]
	if mean <= 0 {
		return 1
	}
	return fixedValue + workValue*j.totalWork/mean
}

// meanWorkWeight is the weight of one submission in the mean work of its route.
const meanWorkWeight = 0.05

// observeWork updates the mean work of a route from a submission.
func (c *Cell) observeWork(j *job) {
	mean, known := c.meanWork[j.submission.Route]
	if !known {
		mean = j.totalWork
	}
	c.meanWork[j.submission.Route] = mean + meanWorkWeight*(j.totalWork-mean)
}
