package medlarcell

import (
	"time"

	"medlarwheel/internal/execution/medlarorder"
)

// Workers run slowly for a while after their start, and say so in their registration. That is no fault of theirs: without it, they would
// be taken for slow workers, tasks would be moved away from them, and the estimates of all run times would grow.

// ColdConfig configures how workers are used that still run slowly after their start.
type ColdConfig struct {
	// RunTimeFactor is how much longer tasks take on them. They are treated like all others unless it is above one.
	RunTimeFactor float64
	// MaxStarts is the number of runs that a worker may have at a time that were started while it is cold. Zero means no limit.
	MaxStarts int
}

// isCold reports whether the worker still runs slowly after its start.
func (w *worker) isCold() bool { return w.coldFactor > 1 }

// setCold records for how long the worker runs slowly, as its registration says.
func (c *Cell) setCold(now time.Time, w *worker, info *medlarorder.Worker) {
	if c.config.Cold.RunTimeFactor <= 1 {
		return
	}
	if info.ColdRemaining <= 0 {
		if w.isCold() {
			w.coldUntil = now
		}
	} else {
		if !w.isCold() {
			w.coldSince = now
		}
		w.coldUntil = now.Add(info.ColdRemaining)
	}
	c.updateCold(now, w)
}

// updateCold records whether the worker is still cold. Its runs are compared anew once it is warm.
func (c *Cell) updateCold(now time.Time, w *worker) {
	if isCold := now.Before(w.coldUntil); isCold == w.isCold() {
		return
	}
	if w.isCold() {
		w.coldFactor = 1
		c.failureCache.workerChanged(w)
	} else {
		w.coldFactor = c.config.Cold.RunTimeFactor
	}
	for _, r := range w.runs {
		r.sampledProgressAt = time.Time{}
	}
}

// wasOnColdWorker reports whether the worker was cold at some time of the run, whose speed then says nothing about the worker or its task.
func (r *run) wasOnColdWorker() bool { return r.confirmedAt.Before(r.worker.coldUntil) }

// coldScore returns the part of a score for the speed of a cold worker. It is that of a warm worker with such a speed.
func (w *worker) coldScore() float64 {
	if !w.isCold() {
		return 0
	}
	return -slownessPenalty * (1 - 1/w.coldFactor)
}

// mayStartCold reports whether a task may be started on a worker as far as the worker is cold. It gets few at a time.
func (c *Cell) mayStartCold(w *worker) bool {
	return !w.isCold() || c.config.Cold.MaxStarts <= 0 || w.startsWhileCold() < c.config.Cold.MaxStarts
}

// startsWhileCold returns the number of runs that were started since the worker became cold.
func (w *worker) startsWhileCold() (n int) {
	for _, r := range w.runs {
		if !r.sentAt.Before(w.coldSince) {
			n++
		}
	}
	return n
}
