package medlarcell

import (
	"fmt"
	"maps"
	"slices"

	"medlarwheel"
)

// SetEvacuations replaces the list of evacuated data centres. Nothing is started on their workers, and what runs there goes on: the
// workers stay up, so that a move would only cost the callers time.
func (c *Cell) SetEvacuations(centres []medlarwheel.DataCentreID) {
	evacuated := make(map[medlarwheel.DataCentreID]bool, len(centres))
	for _, id := range centres {
		evacuated[id] = true
	}
	before := c.evacuatedCentres
	c.evacuatedCentres = evacuated
	for _, w := range c.workers {
		c.updateEvacuated(w)
	}
	if !c.reconciled {
		// The events follow once the workers have reported what runs on them.
		return
	}
	for _, id := range centres {
		if !before[id] {
			c.emitEvacuation(EventDataCentreEvacuated, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(before)) {
		if !evacuated[id] {
			c.emitEvacuation(EventDataCentreTakenBack, id)
		}
	}
}

// updateEvacuated records whether the worker's data centre is evacuated.
func (c *Cell) updateEvacuated(w *worker) {
	was := w.evacuated
	w.evacuated = c.evacuatedCentres[w.info.DataCentre]
	if was && !w.evacuated {
		c.failureCache.workerChanged(w)
	}
}

// emitEvacuation emits a change of a data centre, with the number of its running tasks.
func (c *Cell) emitEvacuation(kind EventKind, id medlarwheel.DataCentreID) {
	var workers, runs, longRunning int
	var capacity int64
	for _, w := range c.workers {
		if w.info.DataCentre != id {
			continue
		}
		workers++
		runs += len(w.runs)
		capacity += w.info.Capacity.MilliCPU
		for _, r := range w.runs {
			if r.step.spec.LongRunning {
				longRunning++
			}
		}
	}
	c.emit(Event{Kind: kind, Count: runs, Reason: fmt.Sprintf("data centre %s: workers %d, cores %d, running tasks %d, long-running among them %d",
		id, workers, capacity/milli, runs, longRunning)})
}

// evacuatedLoad is the load of the evacuated workers of a service, in cores.
type evacuatedLoad struct{ capacity, longRunning, unused float64 }

// measureCapacity adds the capacity of a worker to the load of its service. That of evacuated workers is kept apart.
func (c *Cell) measureCapacity(l *serviceLoad, w *worker) {
	if w.evacuated {
		l.evacuated.longRunning += float64(w.longRunningCPU) / milli
	}
	if !w.registered || !w.reported || w.info.Draining {
		return
	}
	capacity, unused := float64(w.info.Capacity.MilliCPU)/milli, max(0, float64(c.unusedCPU(w))/milli)
	if w.evacuated {
		l.evacuated.capacity += capacity
		l.evacuated.unused += unused
		return
	}
	l.capacity += capacity
	l.bestEffort.unused += unused
}

// includeEvacuated counts the evacuated workers as capacity if the service has no others. What they can do once they are taken back
// bounds what is accepted meanwhile, which would be unlimited without any capacity.
func (l *serviceLoad) includeEvacuated() {
	if l.capacity > 0 {
		return
	}
	l.capacity, l.bestEffort.unused = l.evacuated.capacity, l.evacuated.unused
	l.evacuated = evacuatedLoad{}
}

// ReducedWorkers returns the numbers of evacuated and of cold workers at the last measurement.
func (c *Cell) ReducedWorkers() (evacuated, cold int) { return c.evacuatedWorkers, c.coldWorkers }

// countReducedWorkers counts the evacuated and the cold workers.
func (c *Cell) countReducedWorkers() {
	c.evacuatedWorkers, c.coldWorkers = 0, 0
	for _, w := range c.workers {
		if !w.registered {
			continue
		}
		if w.evacuated {
			c.evacuatedWorkers++
		}
		if w.isCold() {
			c.coldWorkers++
		}
	}
}
