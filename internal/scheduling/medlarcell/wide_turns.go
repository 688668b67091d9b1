package medlarcell

import (
	"time"

	"medlarwheel"
	"medlarwheel/internal/scheduling/medlarrank"
)

// Wide rounds come after all work that can be in time. Under a load that does not end, they would all be served too late, a few tasks
// of each. They therefore take turns: one round of a kind of work comes first in its priority, and the next one once the workers have
// done as much as wideTurnShare allows for it.
const (
	wideTurnShare = 0.25
	// A round is wide if its work takes more than minWideShare of the time between its deadlines, which is twice the objective. It gets
	// no turn if what remains takes more than maxWideShare, since it would stop all others of its kind.
	minWideShare = 1.0 / 8
	maxWideShare = 1.0 / 2
	// wideTurnScore comes before all other scores.
	wideTurnScore = 1e9
)

// wideKind identifies the work among which wide rounds take turns.
type wideKind struct {
	service    medlarwheel.ServiceName
	bestEffort bool
}

// wideTurns holds the turns of a kind of work.
type wideTurns struct {
	// credit is the work in core-seconds that may still get a turn. It is negative after a turn, and grows to zero.
	credit    float64
	updatedAt time.Time
	holder    *step
}

func (s *step) wideKind() wideKind {
	return wideKind{service: s.occurrence.job.submission.Service, bestEffort: s.spec.BestEffort}
}

// updateWideTurns gives the next turns. The queue is in the order of the last ranks.
func (c *Cell) updateWideTurns(now time.Time) {
	for kind, turns := range c.wideTurns {
		turns.credit = min(0, turns.credit+wideTurnShare*c.rateOf(kind)*now.Sub(turns.updatedAt).Seconds())
		turns.updatedAt = now
		if turns.holder != nil && !c.mayHaveTurn(now, turns.holder) {
			turns.holder = nil
		}
	}
	for _, s := range c.queue {
		if s.rank.Timeliness == medlarrank.TimelinessInTime || !c.mayHaveTurn(now, s) || !c.isWide(s) {
			continue
		}
		turns := c.wideTurns[s.wideKind()]
		if turns == nil {
			turns = &wideTurns{updatedAt: now}
			c.wideTurns[s.wideKind()] = turns
		}
		if turns.holder == nil && turns.credit >= 0 {
			turns.holder = s
			turns.credit -= s.occurrence.remainingWork
		}
	}
}

// mayHaveTurn reports whether the round can be done before its result is of no use, without stopping others for long.
func (c *Cell) mayHaveTurn(now time.Time, s *step) bool {
	if s.spec.LongRunning || s.isDrained() || !s.isEligible(now) {
		return false
	}
	drain, hard := c.drainTime(s), s.occurrence.hardDeadline()
	end := now.Add(s.occurrence.job.criticalPaths[s.index] + drain)
	return !end.After(hard) && drain <= time.Duration(maxWideShare*float64(hard.Sub(s.occurrence.softDeadline())))
}

// isWide reports whether the workers of the service need a good part of the objective for the whole round.
func (c *Cell) isWide(s *step) bool {
	between := s.occurrence.hardDeadline().Sub(s.occurrence.softDeadline())
	return c.timeFor(s, s.occurrence.job.totalWork) >= time.Duration(minWideShare*float64(between)) && between > 0
}

// hasWideTurn reports whether it is the turn of the round.
func (c *Cell) hasWideTurn(s *step) bool {
	turns := c.wideTurns[s.wideKind()]
	return turns != nil && turns.holder == s
}
