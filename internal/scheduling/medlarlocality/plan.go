package medlarlocality

import (
	"slices"
	"time"

	"medlarwheel/internal/acceptance/medlarsubmission"
)

// Plan predicts when the workers of a rack have room for the tasks that want to run there. The zero Plan has no workers.
type Plan struct {
	workers []workerPlan
}

// workerPlan is the free capacity of a worker from a time on, and the ends of the runs that hold more of it, the first one first.
type workerPlan struct {
	from time.Time
	free medlarsubmission.Size
	ends []plannedEnd
}

type plannedEnd struct {
	at   time.Time
	size medlarsubmission.Size
}

// Reset removes all workers.
func (p *Plan) Reset() { p.workers = p.workers[:0] }

// AddWorker adds a worker with its free capacity.
func (p *Plan) AddWorker(now time.Time, free medlarsubmission.Size) {
	if n := len(p.workers); n < cap(p.workers) {
		p.workers = p.workers[:n+1]
	} else {
		p.workers = append(p.workers, workerPlan{})
	}
	w := &p.workers[len(p.workers)-1]
	w.from, w.free, w.ends = now, free, w.ends[:0]
}

// AddEnd adds the predicted end of a run on the worker that was added last.
func (p *Plan) AddEnd(at time.Time, size medlarsubmission.Size) {
	p.workers[len(p.workers)-1].insert(at, size)
}

func (w *workerPlan) insert(at time.Time, size medlarsubmission.Size) {
	i, _ := slices.BinarySearchFunc(w.ends, at, func(e plannedEnd, at time.Time) int { return e.at.Compare(at) })
	w.ends = slices.Insert(w.ends, i, plannedEnd{at: at, size: size})
}

// Reserve plans a start on the worker that is the first to have room. It reports false, and plans nothing, if none has room up to the
// limit.
func (p *Plan) Reserve(now time.Time, size medlarsubmission.Size, runTime, limit time.Duration) bool {
	best, earliest := -1, now.Add(limit)
	for i := range p.workers {
		if at, ok := p.workers[i].firstRoom(now, size, earliest); ok && (best < 0 || at.Before(earliest)) {
			best, earliest = i, at
		}
	}
	if best < 0 {
		return false
	}
	w := &p.workers[best]
	w.release(earliest)
	w.free = w.free.Minus(size)
	w.insert(earliest.Add(runTime), size)
	return true
}

// firstRoom returns when the worker first has room for a task, unless that is later than the given time.
func (w *workerPlan) firstRoom(now time.Time, size medlarsubmission.Size, latest time.Time) (at time.Time, ok bool) {
	at, free := w.from, w.free
	if at.Before(now) {
		at = now
	}
	for i := 0; !size.Fits(free); i++ {
		if i == len(w.ends) {
			return at, false
		}
		free = free.Plus(w.ends[i].size)
		if at.Before(w.ends[i].at) {
			at = w.ends[i].at
		}
	}
	return at, !at.After(latest)
}

// release adds the capacity of the runs that end up to a time.
func (w *workerPlan) release(until time.Time) {
	ended := 0
	for ; ended < len(w.ends) && !w.ends[ended].at.After(until); ended++ {
		w.free = w.free.Plus(w.ends[ended].size)
	}
	w.ends = slices.Delete(w.ends, 0, ended)
	w.from = until
}

// Room returns for how many tasks of a size, at most as many as wanted, the workers have room together at a time.
func (p *Plan) Room(at time.Time, size medlarsubmission.Size, wanted int) int {
	count := 0
	for i := range p.workers {
		free := p.workers[i].free
		for _, e := range p.workers[i].ends {
			if !e.at.After(at) {
				free = free.Plus(e.size)
			}
		}
		for ; count < wanted && size.Fits(free); count++ {
			free = free.Minus(size)
		}
	}
	return count
}
