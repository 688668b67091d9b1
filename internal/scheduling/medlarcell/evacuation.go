package medlarcell

import "time"

// evacuationLead is how long before a draining worker leaves its unfinished tasks are stopped. It covers a stop, which may
// take a second, and the report of its end.
const evacuationLead = 1500 * time.Millisecond

// evacuate stops the runs that a draining worker would take with it when it leaves, so that they continue elsewhere at once.
// Without it they would wait until the lease of the worker must have ended.
func (c *Cell) evacuate(now time.Time) {
	var usable []*worker
	areLongRunningWaiting := false
	for _, w := range c.workers {
		if !w.info.Draining || !w.registered || !w.reported || len(w.runs) == 0 {
			continue
		}
		if usable == nil {
			usable, areLongRunningWaiting = c.listUsableWorkers(now), c.isLongRunningWaiting()
		}
		// One long-running task of each worker at a time, so that few compete for the same free capacity.
		stopped := areLongRunningWaiting
		for _, r := range w.runs {
			switch {
			case r.stopping || r.phase != runConfirmed || r.step.spec.Gang:
			case !r.step.spec.LongRunning:
				if now.After(w.leavesAt.Add(-evacuationLead)) && now.Add(c.expectedRemaining(r)).After(w.leavesAt) {
					c.stopForEvacuation(now, r)
				}
			case !stopped && c.bestWorker(r.step, r.task(), usable) != nil:
				stopped = true
				c.stopForEvacuation(now, r)
			}
		}
	}
}

// isLongRunningWaiting reports whether a long-running task waits for a worker.
func (c *Cell) isLongRunningWaiting() bool {
	for _, steps := range [][]*step{c.queue, c.unranked} {
		for _, s := range steps {
			if s.spec.LongRunning && !s.isDrained() {
				return true
			}
		}
	}
	return false
}

func (c *Cell) stopForEvacuation(now time.Time, r *run) {
	c.emit(Event{Kind: EventTaskEvacuated, Task: r.name(), Run: r.number, Worker: r.worker.info.ID, Count: r.progressPercent, Age: now.Sub(r.confirmedAt)})
	c.stop(now, r)
}

// expectedRemaining returns the time that the run is expected to need at its pace.
func (c *Cell) expectedRemaining(r *run) time.Duration {
	const minPace = 10
	remaining := float64(c.expectedRunTimeOf(r)) * float64(fullPace-r.progressPercent) / fullPace
	return time.Duration(remaining * fullPace / float64(max(r.pace, minPace)))
}
