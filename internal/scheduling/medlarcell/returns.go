package medlarcell

import (
	"time"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlaradmission"
	"medlarwheel/internal/acceptance/medlarreturns"
	"medlarwheel/internal/acceptance/medlarsubmission"
)

// limitID identifies a limit of a service for which submissions are turned away.
type limitID struct {
	service medlarwheel.ServiceName
	cause   medlaradmission.Cause
}

// TurnAway returns when a submission that an instance is about to refuse should come back, or that it has come back and is to be
// accepted. The next owner does not know the promises of this one; until their clients have come back, its door decides without them.
func (c *Cell) TurnAway(now time.Time, service medlarwheel.ServiceName, cause medlaradmission.Cause, r medlarreturns.Request) medlarreturns.Answer {
	isPlanned := cause == medlaradmission.CauseBacklog || cause == medlaradmission.CauseLongRunning
	// A client repeats a request whose answer was lost; nothing is kept for a submission that is known.
	_, known := c.jobs[r.ID]
	l := c.loads[service]
	// What needs more than all workers can give never finds room; what is kept for it would be lost to others.
	if !isPlanned || known || l == nil || cause == medlaradmission.CauseLongRunning && float64(r.Needed) > (1-c.config.Load.MinReserve)*l.capacity {
		return medlarreturns.Answer{RetryAfter: r.Wait}
	}
	limit := limitID{service: service, cause: cause}
	calendar := c.returns[limit]
	if calendar == nil {
		calendar = &medlarreturns.Calendar{}
		c.returns[limit] = calendar
	}
	return calendar.TurnAway(now, r)
}

// reservedForReturns returns what is kept below a limit for submissions that are expected back. The rate is what becomes free in a
// second.
func (c *Cell) reservedForReturns(now time.Time, service medlarwheel.ServiceName, cause medlaradmission.Cause, rate float64) float64 {
	calendar := c.returns[limitID{service: service, cause: cause}]
	if calendar == nil {
		return 0
	}
	return float64(calendar.Reserved(now, medlarreturns.Amount(rate)))
}

// forgetReturn drops the promises to a submission that has been accepted.
func (c *Cell) forgetReturn(id medlarsubmission.ID) {
	for _, calendar := range c.returns {
		calendar.Forget(id)
	}
}
