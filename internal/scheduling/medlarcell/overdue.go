package medlarcell

import (
	"time"

	"medlarwheel/internal/scheduling/medlarrank"
)

// Expired best-effort work comes last, and under a constant load that is never. Once it has waited for maxWaitOfExpired with
// nothing of its step running, it therefore comes first, the oldest before the others, as long as the runs that were started for this
// reason hold less than overdueShare of the drain rate. That bounds both the wait and its cost.
const (
	maxWaitOfExpired = 10 * time.Second
	overdueShare     = 0.1
)

// overdueTime returns how long the step has waited beyond maxWaitOfExpired, or zero if it does not come first.
func (c *Cell) overdueTime(now time.Time, s *step, timeliness medlarrank.Timeliness) time.Duration {
	if timeliness != medlarrank.TimelinessExpired || !s.isMeasuredBestEffort() || len(s.ready) < s.remainingTasks {
		return 0
	}
	service := s.occurrence.job.submission.Service
	l := c.loads[service]
	if l == nil || float64(c.overdueCPU[service]) >= overdueShare*c.drainRate(l)*milli {
		return 0
	}
	return max(0, now.Sub(s.readySince)-maxWaitOfExpired)
}

// countOverdue adds the CPU of a run to that of the runs of overdue steps, n times.
func (c *Cell) countOverdue(r *run, n int64) {
	if r.overdue {
		c.overdueCPU[r.step.occurrence.job.submission.Service] += n * r.step.spec.Size.MilliCPU
	}
}
