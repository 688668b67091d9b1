package medlarcell

import (
	"fmt"
	"time"
)

// waitNoteAfter is how long an urgent step waits before the reasons are noted, and waitNoteInterval how often then.
const (
	waitEventDelay    = 2 * time.Second
	waitEventInterval = 2 * time.Second
)

// emitWaitReasons notes why urgent steps wait, with the number of workers by the reason that rules each out.
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

// waitReasons counts the workers by the first reason for which they can't run a task of the step.
func (c *Cell) waitReasons(now time.Time, s *step) string {
	var away, silent, paused, draining, spread, processors, memory, rest int
	for _, w := range c.workers {
		free := w.freeCapacity()
		switch {
		case !w.registered || !w.reported || w.clockAt.IsZero():
			away++
		case now.Sub(w.lastContact) >= c.config.ContactTimeout || w.isUnresponsive(now, &c.config):
			silent++
		case w.info.Draining:
			draining++
		case now.Before(w.pausedUntil):
			paused++
		case s.spec.MaxPerWorker > 0 && s.tasksPerWorker[w] >= s.spec.MaxPerWorker:
			spread++
		case !s.spec.BestEffort && s.spec.Size.MilliCPU > free.MilliCPU:
			processors++
		case s.spec.Size.MemoryMB > free.MemoryMB:
			memory++
		default:
			rest++
		}
	}
	return fmt.Sprintf("away %d, silent %d, draining %d, paused %d, spread %d, processors %d, memory %d, other %d",
		away, silent, draining, paused, spread, processors, memory, rest)
}

// loadEvent sums up the load of the cell.
func (c *Cell) loadEvent() Event {
	var waiting, waitingLasting, waitingFill, running, lasting, runningFill, slowed int64
	for _, s := range c.queue {
		cores := int64(len(s.ready)) * s.spec.Size.MilliCPU / milli
		switch {
		case s.spec.BestEffort:
			waitingFill += cores
		case s.spec.LongRunning:
			waitingLasting += cores
		default:
			waiting += cores
		}
	}
	var capacity, leftover int64
	usable := 0
	for _, w := range c.workers {
		if !w.registered || !w.reported {
			continue
		}
		usable++
		capacity += w.info.Capacity.MilliCPU / milli
		leftover += c.unusedCPU(w) / milli
		running += w.committed.MilliCPU / milli
		lasting += w.longRunningCPU / milli
		runningFill += w.bestEffortCPU / milli
		for _, f := range w.bestEffortRuns() {
			slowed += f.step.spec.Size.MilliCPU * int64(fullPace-f.pace) / fullPace / milli
		}
	}
	return Event{Kind: EventLoad, Count: usable, Reason: fmt.Sprintf(
		"cores: capacity %d, committed %d, lasting %d, leftover %d, filling %d, slowed away %d, waiting %d, waiting to last %d, "+
			"waiting to fill %d", capacity, running, lasting, leftover, runningFill, slowed, waiting, waitingLasting, waitingFill)}
}
