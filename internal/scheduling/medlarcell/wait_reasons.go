package medlarcell

import (
	"fmt"
	"strings"
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
	c.emitBestEffortLoad()
	for _, s := range c.queue {
		if s.occurrence.job.submission.Policy.Priority > 0 || now.Sub(s.readySince) < waitEventDelay || len(s.ready) == 0 {
			continue
		}
		switch {
		case c.isEligible(now, s):
			c.emit(Event{
				Kind: EventTaskWaiting, Task: s.name(s.ready[0]), Reason: c.waitReasons(now, s), Age: now.Sub(s.readySince), Count: len(s.ready),
			})
		case now.Before(s.pausedUntil):
			c.emit(Event{
				Kind: EventTaskWaiting, Task: s.name(s.ready[0]), Reason: "workers reject its orders as invalid", Age: now.Sub(s.readySince), Count: len(s.ready),
			})
		}
	}
	c.emitHeldTasks(now)
	c.emitBestEffortWaits(now)
	c.emitWideRounds(now)
}

// emitHeldTasks emits which tasks are in no queue, since their crashes are not stored.
func (c *Cell) emitHeldTasks(now time.Time) {
	for _, j := range c.jobs {
		if !j.crashesUnstored || j.state.IsFinal() {
			continue
		}
		j.forEachTask(func(s *step, index int) {
			if t := &s.tasks[index]; t.crashesUnstored && now.Sub(t.heldSince) >= waitEventDelay {
				c.emit(Event{Kind: EventTaskWaiting, Task: s.name(index), Reason: "its crashes are not stored", Age: now.Sub(t.heldSince), Count: 1})
			}
		})
	}
}

// exclusions lists the reasons for which a worker does not run a task, in the order of the event. Those of workers that may not
// get any task come first. A step that waits beside workers that fit is not reached by the placement passes.
var exclusions = []string{
	"away", "fenced", "silent", "draining", "evacuated", "lease stated", "stray runs", "outdated", "paused", "unsuited", "spread", "processors", "memory",
	"suspended", "gang", "cold", "headroom", "harm", "other", "rack", "fit",
}

// waitReasons counts the workers by the first reason for which they do not run a task of the step.
func (c *Cell) waitReasons(now time.Time, s *step) string {
	counts := map[string]int{}
	for _, w := range c.workers {
		reason := c.unavailability(now, w)
		if reason == "" {
			reason = c.misfit(now, s, w)
		}
		counts[reason]++
	}
	var reasons []string
	for _, reason := range exclusions {
		if counts[reason] > 0 {
			reasons = append(reasons, fmt.Sprintf("%s %d", reason, counts[reason]))
		}
	}
	return strings.Join(reasons, ", ")
}

// unavailability returns why the worker gets no tasks at all, or nothing if it may get some. It follows isAvailable.
func (c *Cell) unavailability(now time.Time, w *worker) string {
	switch {
	case !w.registered || !w.recorded || !w.reported || w.clockAt.IsZero():
		return "away"
	case w.fenced:
		return "fenced"
	case now.Sub(w.lastContact) >= c.config.ContactTimeout || w.isUnresponsive(now, &c.config):
		return "silent"
	case w.info.Draining:
		return "draining"
	case w.evacuated:
		return "evacuated"
	case c.isLeaseFixed(now, w):
		return "lease stated"
	case w.hasStrayRuns:
		return "stray runs"
	case !w.isRegistrationCurrent(now):
		return "outdated"
	case now.Before(w.pausedUntil):
		return "paused"
	}
	return ""
}

// misfit returns why an available worker does not run the first waiting task of the step.
func (c *Cell) misfit(now time.Time, s *step, w *worker) string {
	free := w.freeCapacity()
	switch {
	case w.info.Service != s.occurrence.job.submission.Service || s.spec.RequiredLabel != "" && !w.info.HasLabel(s.spec.RequiredLabel):
		return "unsuited"
	case s.spec.MaxPerWorker > 0 && s.tasksPerWorker[w] >= s.spec.MaxPerWorker:
		return "spread"
	case !s.spec.BestEffort && s.spec.Size.MilliCPU > free.MilliCPU || s.spec.Size.GPU > free.GPU:
		return "processors"
	case s.spec.BestEffort && w.bestEffortCPU+s.spec.Size.MilliCPU > c.unusedCPU(w):
		return "processors"
	case s.spec.Size.MemoryMB > free.MemoryMB:
		return "memory"
	case w.isSuspended(now):
		return "suspended"
	case c.isReservedForGang(s, w):
		return "gang"
	}
	if !c.mayStartCold(w) {
		return "cold"
	}
	if !c.isFeasible(s, &s.tasks[s.ready[0]], w) {
		return "other"
	}
	if s.waitsNear() && c.isAway(s, w) {
		return "rack"
	}
	if !s.spec.BestEffort {
		return "fit"
	}
	switch _, harm, ok := c.interferenceOn(s, w); {
	case !ok:
		return "headroom"
	case !c.isHarmAcceptable(s, harm):
		return "harm"
	}
	return "fit"
}

const mebibytesPerGibibyte = 1024

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
	var capacity, unused, memory, memoryInUse int64
	usable := 0
	for _, w := range c.workers {
		if !w.registered || !w.reported {
			continue
		}
		usable++
		capacity += w.info.Capacity.MilliCPU / milli
		unused += c.unusedCPU(w) / milli
		memory += w.info.Capacity.MemoryMB
		memoryInUse += w.committed.MemoryMB
		running += w.committed.MilliCPU / milli
		longRunning += w.longRunningCPU / milli
		runningBestEffort += w.bestEffortCPU / milli
		for _, r := range w.bestEffortRuns() {
			throttled += r.step.spec.Size.MilliCPU * int64(fullPace-r.pace) / fullPace / milli
		}
	}
	return Event{Kind: EventLoad, Count: usable, Reason: fmt.Sprintf(
		"cores: capacity %d, committed %d, lasting %d, leftover %d, filling %d, slowed away %d, waiting %d, waiting to last %d, "+
			"waiting to fill %d; memory: %d of %d GB in use; minimum shares %d; workers: evacuated %d, cold %d",
		capacity, running, longRunning, unused, runningBestEffort, throttled, waiting, waitingLongRunning, waitingBestEffort,
		memoryInUse/mebibytesPerGibibyte, memory/mebibytesPerGibibyte, len(c.minimumShareRuns), c.evacuatedWorkers, c.coldWorkers)}
}
