package medlarcell

import (
	"fmt"
	"time"

	"medlarwheel"
	"medlarwheel/internal/execution/medlarorder"
)

// SetWorkers replaces the list of registered workers.
func (c *Cell) SetWorkers(now time.Time, workers []medlarorder.Worker) {
	listed := make(map[medlarwheel.WorkerID]bool, len(workers))
	for i := range workers {
		listed[workers[i].ID] = true
		c.SetWorker(now, workers[i])
	}
	for id := range c.workers {
		if !listed[id] {
			c.Unregister(now, id)
		}
	}
}

// RestoreWorkers adds the workers that the previous owner used. Those that are no longer registered may still run tasks:
// like all others, they have to report, or their leases have to end, before those tasks are started elsewhere.
func (c *Cell) RestoreWorkers(now time.Time, workers []medlarorder.Worker) {
	for _, info := range workers {
		if c.workers[info.ID] == nil {
			c.SetWorker(now, info)
			c.workers[info.ID].registered = false
		}
		w := c.workers[info.ID]
		w.recorded, w.inheritedLeaseEnd = true, c.inheritedLeaseEnd(info.ID)
		w.extendLeaseBound(w.inheritedLeaseEnd)
	}
}

// SetWorker adds a registered worker or updates its registration.
func (c *Cell) SetWorker(now time.Time, info medlarorder.Worker) {
	w := c.workers[info.ID]
	wasDraining := w != nil && w.info.Draining
	if w == nil {
		w = newWorker(info, c.fence)
		w.centreResponsiveness = c.responsivenessByCentre.of(info.DataCentre)
		c.workers[info.ID] = w
		c.sortedWorkers, c.racks.byKey = nil, nil
		c.joined = append(c.joined, info.ID)
		if c.reconciled {
			c.emit(Event{Kind: EventWorkerJoined, Worker: info.ID})
		}
	}
	if info.Draining && !wasDraining {
		w.leavesAt = now.Add(info.Remaining)
		c.emit(Event{Kind: EventWorkerDraining, Worker: info.ID, Age: info.Remaining})
	}
	address := w.info.Address
	w.registered = true
	if info.Incarnation < w.incarnation {
		// The registration is older than the worker's own report.
		return
	}
	if w.info.Rack != info.Rack || w.info.Service != info.Service {
		c.racks.byKey = nil
	}
	w.info, w.centreResponsiveness = info, c.responsivenessByCentre.of(info.DataCentre)
	c.updateEvacuated(w)
	c.setCold(now, w, &info)
	c.failureCache.workerChanged(w)
	if info.Incarnation != w.incarnation && w.incarnation != 0 {
		// Any writer may have written the registration, so only a report of the worker shows whether it has restarted.
		w.incarnationUncertain = true
	}
	if !w.renewalInFlight || address != info.Address {
		c.scheduleRenewal(now, w, 0)
	}
}

// Unregister records that a worker is no longer registered. Its runs are kept while it responds.
func (c *Cell) Unregister(now time.Time, id medlarwheel.WorkerID) {
	w := c.workers[id]
	if w == nil || !w.registered {
		return
	}
	w.registered = false
	if w.rack != nil {
		w.rack.changes++
	}
	c.emit(Event{Kind: EventWorkerUnregistered, Worker: id, Age: now.Sub(w.lastContact)})
}

// handleRestart handles a new incarnation of the worker. Runs that an earlier incarnation has reported are lost. The new
// one may have accepted the others, or may still accept those whose orders are under way, until it has seen a raised
// fencing token: its next report shows which of them exist.
func (c *Cell) handleRestart(now time.Time, w *worker, incarnation medlarorder.Incarnation) {
	previous := w.incarnation
	w.incarnation = incarnation
	if previous == 0 {
		return
	}
	w.restartedAt = now
	c.takeBackPlanned(now, w)
	c.recordCrashes(now, w, previous, lostRestart)
	w.fence++
	lost := 0
	for _, r := range w.runs {
		if r.isReported() {
			lost++
			c.markLost(now, r, lostRestart)
			continue
		}
		w.shareHistory.endInterval(now, r)
		r.phase, r.resolveFence = runUncertain, w.fence
	}
	c.emit(Event{Kind: EventWorkerRestarted, Worker: w.info.ID, Count: lost, Reason: fmt.Sprintf("uncertain runs: %d", len(w.runs))})
	w.lastProcessedEnd, w.lastAckedEnd, w.confirmedAck, w.reported = 0, 0, 0, false
	w.clockAt = time.Time{}
	// The lease in an order for the previous incarnation is in the far future on the clock of the next one, which shortens
	// it to the maximum.
	w.extendLeaseBound(now.Add(c.leaseDurationBound(c.config.MaxLease)))
	w.recentFailedJobs, w.relativeSpeed = nil, 1
}
