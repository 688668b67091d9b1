package medlarcell

import (
	"slices"
	"time"

	"medlarwheel/internal/execution/medlarorder"
)

// chooseForGroup returns runs of all tasks of the gang on one rack if one has room for them, and runs on any workers otherwise. It returns
// none while the gang waits for a rack that is expected to have room for all of them early enough.
func (c *Cell) chooseForGroup(now time.Time, s *step, usable []*worker, number medlarorder.RunNumber) []*run {
	if n := &s.nearWait; s.waitsNear() && now.Before(n.nextCheck) {
		return nil
	}
	if s.nearWait.readySince != s.readySince {
		s.nearWait = nearWait{readySince: s.readySince}
	}
	for _, rk := range c.racksFor(s) {
		c.rackWorkers = c.rackWorkers[:0]
		for _, w := range rk.workers {
			if c.isUsable(now, w) {
				c.rackWorkers = append(c.rackWorkers, w)
			}
		}
		if chosen := c.chooseForGang(now, s, c.rackWorkers, number); len(chosen) == len(s.tasks) {
			return chosen
		}
	}
	if !s.spec.BestEffort && c.waitsForGroup(now, s) {
		return nil
	}
	return c.chooseForGang(now, s, usable, number)
}

// racksFor returns the racks of the step's service. If its data is on one of them, it returns only that one while it has workers.
func (c *Cell) racksFor(s *step) []*rack {
	service := s.occurrence.job.submission.Service
	if rk := c.racks.byKey[rackKey{service: service, id: s.spec.Rack}]; rk != nil {
		return []*rack{rk}
	}
	return c.racks.byService[service]
}

// waitsForGroup reports whether the gang waits until one rack has room for all of its tasks.
func (c *Cell) waitsForGroup(now time.Time, s *step) bool {
	n := &s.nearWait
	limit := c.waitLimit(now, s, n.since)
	waits := limit > 0 && !n.isOver && slices.ContainsFunc(c.racksFor(s), func(rk *rack) bool {
		c.fillPlan(now, rk, &c.racks.groupPlan)
		return c.racks.groupPlan.Room(now.Add(limit), s.reservedSize(), len(s.tasks)) == len(s.tasks)
	})
	switch {
	case waits && n.since.IsZero():
		n.since = now
	case !waits && !n.since.IsZero() && !n.isOver:
		c.emitPlaceWaitOver(now, s)
	}
	n.isOver, n.nextCheck = !waits, now.Add(groupCheckInterval)
	return waits
}

// groupCheckInterval is the time after which a gang that waits for a rack is tried again. Each try considers all workers.
const groupCheckInterval = 50 * time.Millisecond
