package medlarcell

import (
	"fmt"
	"time"
)

// waitEventDelay is how long an urgent step waits before an event with the reasons is emitted. waitEventInterval is the
// time between two such events.
const (
	waitEventDelay    = 2 * time.Second
	waitEventInterval = 2 * time.Second
)

// emitWaitReasons emits why urgent steps wait, with the number of workers by the reason that excludes each.
func (c *Cell) emitWaitReasons(now time.Time) {
	if now.Sub(c.waitEventsAt) < waitEventInterval {
		return
	}
	c.waitEventsAt = now
	c.emit(c.loadEvent())
	for _, s := range c.queue {
		if s.occurrence.job.submission.Policy.Priority > 0 || now.Sub(s.readySince) < waitEventDelay || !c.isEligible(now, s) || len(s.ready) == 0 {
			continue
		}
		c.emit(Event{
			Kind: EventTaskWaiting, Task: s.name(s.ready[0]), Reason: c.waitReasons(now, s), Age: now.Sub(s.readySince), Count: len(s.ready),
		})
	}
}

// waitReasons counts the workers by the first reason for which they cannot run a task of the step.
func (c *Cell) waitReasons(now time.Time, s *step) string {
	var unavailable, unresponsive, paused, draining, atTaskLimit, processors, memory, other int
	for _, w := range c.workers {
		free := w.freeCapacity()
		switch {
		case !w.registered || !w.reported || w.clockAt.IsZero():
			unavailable++
		case now.Sub(w.lastContact) >= c.config.ContactTimeout || w.isUnresponsive(now, &c.config):
			unresponsive++
		case w.info.Draining:
			draining++
		case now.Before(w.pausedUntil) || w.isSuspended(now):
			paused++
		case s.spec.MaxPerWorker > 0 && s.tasksPerWorker[w] >= s.spec.MaxPerWorker:
			atTaskLimit++
		case !s.spec.BestEffort && s.spec.Size.MilliCPU > free.MilliCPU:
			processors++
		case s.spec.Size.MemoryMB > free.MemoryMB:
			memory++
		default:
			other++
		}
	}
	return fmt.Sprintf("away %d, silent %d, draining %d, paused %d, spread %d, processors %d, memory %d, other %d",
		unavailable, unresponsive, draining, paused, atTaskLimit, processors, memory, other)
}

// loadEvent returns a summary of the load of the cell.
func (c *Cell) loadEvent() Event {
	var waiting, waitingLongRunning, waitingBestEffort, running, longRunning, runningBestEffort, throttled int64
	for _, s := range c.queue {
		cores := int64(len(s.ready)) * s.spec.Size.MilliCPU / milli
		switch {
		case s.spec.BestEffort:
			waitingBestEffort += cores
		case s.spec.LongRunning:
			waitingLongRunning += cores
		default:
			waiting += cores
		}
	}
	var capacity, unused int64
	usable := 0
	for _, w := range c.workers {
		if !w.registered || !w.reported {
			continue
		}
		usable++
		capacity += w.info.Capacity.MilliCPU / milli
		unused += c.unusedCPU(w) / milli
		running += w.committed.MilliCPU / milli
		longRunning += w.longRunningCPU / milli
		runningBestEffort += w.bestEffortCPU / milli
		for _, r := range w.bestEffortRuns() {
			throttled += r.step.spec.Size.MilliCPU * int64(fullPace-r.pace) / fullPace / milli
		}
	}
	return Event{Kind: EventLoad, Count: usable, Reason: fmt.Sprintf(
		"cores: capacity %d, committed %d, lasting %d, leftover %d, filling %d, slowed away %d, waiting %d, waiting to last %d, "+
			"waiting to fill %d",
		capacity, running, longRunning, unused, runningBestEffort, throttled, waiting, waitingLongRunning, waitingBestEffort)}
}
