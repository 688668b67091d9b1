package medlarcell

import (
	"fmt"
	"time"
)

// A gang starts only when all of its tasks fit at one moment. In a full service, smaller work takes each gap before there are enough of
// them. Workers are therefore kept free for the gang that has waited the longest, as many as it needs once the work that runs there has
// ended. Other work is started there only if it leaves enough for the gang, is expected to end before the gang can start, comes before it by
// priority, or is long-running.
const (
	// gangReservationDelay is how long a gang waits before workers are kept free for it, for the first time or again.
	gangReservationDelay = 3 * time.Second
	// gangReservationTime is how long they are kept free after the expected end of the work that runs there.
	gangReservationTime = 5 * time.Second
)

// gangReservationHorizons are the expected remaining run times up to which work is taken to end before the gang starts. The workers are
// chosen with the first one that leaves enough room.
var gangReservationHorizons = []time.Duration{2 * time.Second, 8 * time.Second, time.Hour}

// gangReservation is the capacity that is kept free for a gang.
type gangReservation struct {
	// step is the gang, or nil.
	step *step
	// tasks is the number of its tasks for which each worker is kept free.
	tasks map[*worker]int
	// startsAt is when the gang is expected to start, and until when the workers are kept free.
	startsAt, until time.Time
}

// isReservedForGang reports whether a task of the step is not started on the worker, because the capacity is kept free for a gang.
func (c *Cell) isReservedForGang(s *step, w *worker) bool {
	g := &c.gangReservation
	if g.step == nil || g.tasks[w] == 0 || !c.yieldsToGang(s) {
		return false
	}
	if s.spec.BestEffort && g.step.spec.BestEffort {
		// Both use what the serving tasks on the worker tolerate.
		return true
	}
	need, free := s.reservedSize(), w.freeCapacity()
	for range g.tasks[w] {
		free = free.Minus(g.step.reservedSize())
	}
	return !need.Fits(free)
}

// yieldsToGang reports whether the step has to leave the reserved capacity to the gang.
func (c *Cell) yieldsToGang(s *step) bool {
	g := &c.gangReservation
	if g.step == nil || g.step == s || s.spec.LongRunning ||
		s.occurrence.job.submission.Policy.Priority < g.step.occurrence.job.submission.Policy.Priority {
		return false
	}
	expected := s.expectedRunTime()
	return expected == 0 || c.passStartedAt.Add(expected).After(g.startsAt)
}

// releaseGangReservation ends the reservation if the gang has started, does not wait any more or could not be placed in time, or if one
// of the workers leaves or is evacuated.
func (c *Cell) releaseGangReservation(now time.Time) {
	g := &c.gangReservation
	if g.step == nil {
		return
	}
	isOver := g.step.isDrained() || !c.isEligible(now, g.step)
	if now.After(g.until) {
		isOver, g.step.reservedAt = true, now
	}
	for w := range g.tasks {
		isOver = isOver || c.workers[w.info.ID] != w || !w.registered || w.info.Draining || w.evacuated
	}
	if !isOver {
		return
	}
	for _, w := range c.workersByID() {
		if g.tasks[w] > 0 {
			c.failureCache.workerChanged(w)
		}
	}
	c.gangReservation = gangReservation{}
}

// gangWait returns how long a gang has waited since it became ready or was last considered for a reservation.
func (s *step) gangWait(now time.Time) time.Duration {
	return min(now.Sub(s.readySince), now.Sub(s.occurrence.startAt), now.Sub(s.reservedAt))
}

// noteWaitingGang records a gang that could not be placed.
func (p *placementPass) noteWaitingGang(s *step) {
	if p.cell.gangReservation.step != nil || len(s.ready) < len(s.tasks) || s.gangWait(p.now) < gangReservationDelay {
		return
	}
	if p.waitingGang == nil || s.readySince.Before(p.waitingGang.readySince) {
		p.waitingGang = s
	}
}

// reserveForWaitingGang keeps workers free for the gang that has waited the longest.
func (p *placementPass) reserveForWaitingGang() {
	if p.waitingGang != nil {
		p.cell.reserveForGang(p.now, p.waitingGang)
	}
}

// reserveForGang keeps workers free for a gang that could not be placed, unless it does not fit at all.
func (c *Cell) reserveForGang(now time.Time, s *step) {
	s.reservedAt = now
	for _, horizon := range gangReservationHorizons {
		chosen, longest := c.planGang(now, s, horizon)
		if len(chosen) < len(s.tasks) {
			continue
		}
		g := gangReservation{step: s, tasks: map[*worker]int{}, startsAt: now.Add(longest), until: now.Add(longest + gangReservationTime)}
		for _, r := range chosen {
			g.tasks[r.worker]++
		}
		c.gangReservation = g
		c.emit(Event{Kind: EventGangReserved, Task: s.name(0), Count: len(g.tasks), Age: now.Sub(s.readySince), Reason: fmt.Sprintf("work there ends in %d ms", longest.Milliseconds())})
		return
	}
}

// planGang returns where the tasks of a gang would be started if the short runs of which at most the horizon is left had ended, and the
// longest time that is left for one of them on these workers.
func (c *Cell) planGang(now time.Time, s *step, horizon time.Duration) (chosen []*run, longest time.Duration) {
	usable := c.listUsableWorkers(now)
	var ending []*run
	for _, w := range usable {
		for _, r := range w.runs {
			if !r.step.spec.LongRunning && c.expectedRemaining(r) <= horizon {
				ending = append(ending, r)
			}
		}
	}
	for _, r := range ending {
		r.worker.removeRun(r)
	}
	chosen = c.chooseForGang(now, s, usable, c.firstRun)
	for _, r := range ending {
		r.worker.addRun(r)
	}
	planned := map[*worker]bool{}
	for _, r := range chosen {
		planned[r.worker] = true
	}
	for _, r := range ending {
		if planned[r.worker] {
			longest = max(longest, c.expectedRemaining(r))
		}
	}
	return chosen, longest
}
