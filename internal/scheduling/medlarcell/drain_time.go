package medlarcell

import (
	"fmt"
	"time"
)

// drainTime returns the time that the remaining work of an occurrence takes if the workers of its service do nothing else of its kind.
// The critical path alone does not show that a wide round can't be in time on few workers: it would come before small submissions,
// and be late as well.
func (c *Cell) drainTime(s *step) time.Duration { return c.timeFor(s, s.occurrence.remainingWork) }

// timeFor returns the time that the workers need for the given work of the kind of a step, in core-seconds.
func (c *Cell) timeFor(s *step, work float64) time.Duration {
	rate := c.rateOf(s.wideKind())
	if rate <= 0 {
		return 0
	}
	return time.Duration(work / rate * float64(time.Second))
}

// rateOf returns the core-seconds that the workers do in a second, or 0 if it is not known.
func (c *Cell) rateOf(kind wideKind) float64 {
	l := c.loads[kind.service]
	switch {
	case l == nil:
		return 0
	case kind.bestEffort:
		return c.drainRate(l)
	default:
		return max(0, l.capacity-l.longRunning)
	}
}

// givesWay reports whether the waiting step comes after others that can be in time because of its drain time alone.
func (c *Cell) givesWay(now time.Time, s *step) bool {
	slack := s.occurrence.softDeadline().Sub(now) - s.occurrence.job.criticalPaths[s.index]
	return !s.spec.LongRunning && !s.isDrained() && slack >= 0 && slack < c.drainTime(s)
}

// emitWideRounds emits how many submissions give way, with the one that takes the longest.
func (c *Cell) emitWideRounds(now time.Time) {
	var longest *step
	count := 0
	for _, s := range c.queue {
		if !c.givesWay(now, s) {
			continue
		}
		count++
		if longest == nil || c.drainTime(s) > c.drainTime(longest) {
			longest = s
		}
	}
	if longest == nil {
		return
	}
	c.emit(Event{
		Kind: EventWideRoundsWaiting, Task: longest.name(longest.ready[0]), Count: count, Age: now.Sub(longest.readySince),
		Reason: fmt.Sprintf("its %.0f core-seconds take %d ms on the workers of service %s, it is to be done in %d ms",
			longest.occurrence.remainingWork, c.drainTime(longest).Milliseconds(), longest.occurrence.job.submission.Service,
			longest.occurrence.softDeadline().Sub(now).Milliseconds()),
	})
}
