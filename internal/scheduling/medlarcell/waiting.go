package medlarcell

import (
	"fmt"
	"time"
)

// waitNoteAfter is how long an urgent step waits before the reasons are noted, and waitNoteInterval how often then.
const (
	waitNoteAfter    = 2 * time.Second
	waitNoteInterval = 2 * time.Second
)

// noteWaits notes why urgent steps wait, with the number of workers by the reason that rules each out.
func (c *Cell) noteWaits(now time.Time) {
	if now.Sub(c.waitsNotedAt) < waitNoteInterval {
		return
	}
	c.waitsNotedAt = now
	c.note(c.loadNote())
	for _, s := range c.queue {
		if s.occurrence.job.submission.Policy.Priority > 0 || now.Sub(s.readySince) < waitNoteAfter || !c.isOpen(now, s) || len(s.ready) == 0 {
			continue
		}
		c.note(Note{
			Kind: NoteTaskWaits, Task: s.name(s.ready[0]), Reason: c.explain(now, s), Age: now.Sub(s.readySince), Count: len(s.ready),
		})
	}
}

// explain counts the workers by the first reason for which they can't run a task of the step.
func (c *Cell) explain(now time.Time, s *step) string {
	var away, silent, paused, draining, spread, processors, memory, rest int
	for _, w := range c.workers {
		free := w.free()
		switch {
		case !w.registered || !w.reported || w.clockAt.IsZero():
			away++
		case now.Sub(w.contact) >= c.config.ContactTimeout || w.isSilent(now, &c.config):
			silent++
		case w.info.Draining:
			draining++
		case now.Before(w.pausedTo):
			paused++
		case s.spec.MaxPerWorker > 0 && s.perWorker[w] >= s.spec.MaxPerWorker:
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

// loadNote sums up the load of the cell.
func (c *Cell) loadNote() Note {
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
		leftover += c.leftover(w) / milli
		running += w.committed.MilliCPU / milli
		lasting += w.serving / milli
		runningFill += w.filling / milli
		for _, f := range w.fills() {
			slowed += f.step.spec.Size.MilliCPU * int64(fullPace-f.pace) / fullPace / milli
		}
	}
	return Note{Kind: NoteLoad, Count: usable, Reason: fmt.Sprintf(
		"cores: capacity %d, committed %d, lasting %d, leftover %d, filling %d, slowed away %d, waiting %d, waiting to last %d, "+
			"waiting to fill %d", capacity, running, lasting, leftover, runningFill, slowed, waiting, waitingLasting, waitingFill)}
}
