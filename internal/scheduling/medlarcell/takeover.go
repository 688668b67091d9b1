package medlarcell

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// tryReconcile records once that the cell is reconciled. Until then, workers and adopted tasks are only counted: an
// event for each would hide the other events of a change of owner.
func (c *Cell) tryReconcile(now time.Time) {
	if c.reconciled || !c.isReconciled(now) {
		return
	}
	c.reconciled = true
	c.countInheritedRuns(now)
	c.recordInheritedLosses()
	unresponsive := 0
	var last *worker
	for _, w := range c.workers {
		if w.reported {
			continue
		}
		unresponsive++
		if last == nil || w.inheritedLeaseEnd.After(last.inheritedLeaseEnd) {
			last = w
		}
	}
	unheard := c.unheardWorkers(now)
	event := Event{
		Kind: EventTakeoverReconciled, Count: len(c.workers), Age: now.Sub(c.termStartedAt),
		Reason: fmt.Sprintf("tasks adopted: %d, workers without a response: %d%s", c.adoptedTasks, unresponsive, countBases(unheard)),
	}
	if last != nil {
		// This is the worker that was waited for the longest.
		event.Worker = last.info.ID
	}
	c.emit(event)
	c.emitUnheard(now, unheard)
	for _, id := range slices.Sorted(maps.Keys(c.evacuatedCentres)) {
		c.emitEvacuation(EventDataCentreEvacuated, id)
	}
}

// isReconciled reports whether every task that no worker has reported is known not to run.
func (c *Cell) isReconciled(now time.Time) bool {
	if c.isLeaseOver(now, c.reconcileDeadline) {
		return true
	}
	for _, w := range c.workers {
		if !w.hasReportedAll() && !c.isLeaseOver(now, w.inheritedLeaseEnd) {
			return false
		}
	}
	return len(c.workers) > 0
}

// hasReportedAll reports whether the last report of the worker shows all its runs and ends.
func (w *worker) hasReportedAll() bool { return w.reported && !w.endsTruncated && !w.hasUnknownTasks }

// waitBasis is why a new owner does not wait, or no longer waits, for the report of a worker.
type waitBasis string

// The bases, in the order in which their workers are logged.
const (
	// basisNone means that a lease of an earlier owner may be in force. No cell is reconciled with such a worker.
	basisNone waitBasis = "lease not ended"
	// basisStatedEnd means that the lease end has passed which a renewal of the previous owner states.
	basisStatedEnd waitBasis = "stated lease end"
	// basisOutageLeases means that all leases have ended that were granted while the table was unavailable.
	basisOutageLeases waitBasis = "outage leases"
	// basisFullLease means that the longest lease has ended that earlier owners can have granted.
	basisFullLease waitBasis = "full lease"
	// basisUnrecorded means that no earlier owner has recorded the worker, and so none has started a task there.
	basisUnrecorded waitBasis = "not recorded"
)

func waitBases() []waitBasis {
	return []waitBasis{basisNone, basisStatedEnd, basisOutageLeases, basisFullLease, basisUnrecorded}
}

// waitBasis returns why the report of the worker is not waited for, and the end of the leases that were waited for.
func (c *Cell) waitBasis(now time.Time, w *worker) (basis waitBasis, leasesEnd time.Time) {
	stated, isStated := c.inheritedLeaseEnds[w.info.ID]
	switch leasesEnd = w.inheritedLeaseEnd; {
	case leasesEnd.IsZero():
		return basisUnrecorded, leasesEnd
	case !c.isLeaseOver(now, leasesEnd):
		return basisNone, leasesEnd
	case !isStated || !leasesEnd.Before(c.reconcileDeadline):
		return basisFullLease, leasesEnd
	case leasesEnd.After(stated):
		return basisOutageLeases, leasesEnd
	default:
		return basisStatedEnd, leasesEnd
	}
}

// unheardWorkers returns the workers that have not reported all their runs, by the basis on which they are not waited for.
func (c *Cell) unheardWorkers(now time.Time) map[waitBasis][]*worker {
	unheard := map[waitBasis][]*worker{}
	for _, w := range c.workers {
		if !w.hasReportedAll() {
			basis, _ := c.waitBasis(now, w)
			unheard[basis] = append(unheard[basis], w)
		}
	}
	return unheard
}

func countBases(unheard map[waitBasis][]*worker) string {
	var text strings.Builder
	for _, basis := range waitBases() {
		if n := len(unheard[basis]); n > 0 {
			fmt.Fprintf(&text, ", %s: %d", basis, n)
		}
	}
	return text.String()
}

// maxUnheardEvents bounds the events about single workers in a change of owner.
const maxUnheardEvents = 20

// emitUnheard emits an event for each recorded worker that is not waited for. An owner without a predecessor has none.
func (c *Cell) emitUnheard(now time.Time, unheard map[waitBasis][]*worker) {
	left := maxUnheardEvents
	for _, basis := range waitBases() {
		if basis == basisUnrecorded {
			continue
		}
		workers := unheard[basis]
		slices.SortFunc(workers, func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
		for _, w := range workers[:min(left, len(workers))] {
			c.emit(Event{Kind: EventWorkerNotAwaited, Worker: w.info.ID, Reason: string(basis), Age: now.Sub(w.inheritedLeaseEnd), Count: len(w.runs)})
		}
		left -= min(left, len(workers))
	}
}
