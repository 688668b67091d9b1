package medlarcell

import (
	"time"

	"medlarwheel/internal/scheduling/medlarrank"
)

// Expired best-effort work comes last, and under a constant load that is never. A submission that has waited for maxWaitOfExpired and
// of which nothing has begun therefore comes first, the oldest before the others, as long as the runs that were started for this
// reason hold less than overdueShare of the drain rate. It gets one task by its turn, and the next ones as others do: with all of
// its tasks, a few large submissions would hold the share while the others wait.
const (
	maxWaitOfExpired = 10 * time.Second
	overdueShare     = 0.1
)

// overdueTime returns how long the step has waited beyond maxWaitOfExpired, or zero if it does not come first.
func (c *Cell) overdueTime(now time.Time, s *step, timeliness medlarrank.Timeliness) time.Duration {
	if timeliness != medlarrank.TimelinessExpired || !s.isMeasuredBestEffort() || s.occurrence.job.started && !s.occurrence.job.hasOnlyMinimumShares {
		return 0
	}
	service := s.occurrence.job.submission.Service
	l := c.loads[service]
	if l == nil || float64(c.overdueCPU[service]) >= overdueShare*c.drainRate(l)*milli {
		return 0
	}
	return max(0, now.Sub(s.readySince)-maxWaitOfExpired)
}
