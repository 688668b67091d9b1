package medlarcell

import (
	"time"

	"medlarwheel"
	"medlarwheel/internal/execution/medlarorder"
)

// Ownership describes one instance's ownership of the cell, from its claim on.
type Ownership struct {
	// Fence is above the fencing tokens of all earlier owners. The gap to the next owner's token is for raising tokens
	// per worker.
	Fence medlarwheel.FencingToken
	// Term counts the owners of the cell from 1.
	Term uint64
	// Expired is true if the previous owner's authority has ended by the claim, or ends with Grace.
	Expired bool
	// Grace is how long after the claim the previous owner may still send orders.
	Grace time.Duration
	// PreviousLease and PreviousLeaseTail are the Lease and LeaseTail of earlier owners, whose settings may differ from
	// those of this one.
	PreviousLease, PreviousLeaseTail time.Duration
	// OutageLeaseRemaining is how long after the claim a lease may last that was granted while the table was
	// unavailable.
	OutageLeaseRemaining time.Duration
	// LeaseEnds holds when the leases of silent workers have ended, unless they were extended during a table outage.
	LeaseEnds map[medlarwheel.WorkerID]time.Time
}

// runNumbersPerTerm is the number of run numbers that one owner may use for a task.
const runNumbersPerTerm = 1000

// Begin starts an ownership. Tasks that workers may still run on orders of an earlier owner are started only after those
// workers have reported or their leases have ended.
func (c *Cell) Begin(now time.Time, ownership Ownership) {
	c.fence = ownership.Fence
	c.firstRun = medlarorder.RunNumber((ownership.Term-1)*runNumbersPerTerm + 1)
	c.tickedAt, c.termStartedAt = now, now
	c.inGrace = ownership.Grace > 0
	c.reconcileDeadline = now.Add(ownership.Grace + max(c.inheritedLeaseBound(&ownership), c.leaseDurationBound(ownership.OutageLeaseRemaining)))
	c.outageLeasesEnd = now
	c.inheritedLeaseEnds = ownership.LeaseEnds
	if ownership.OutageLeaseRemaining > 0 {
		c.outageLeasesEnd = now.Add(ownership.Grace + ownership.OutageLeaseRemaining)
		c.inheritedOutageLeasesEnd = now.Add(ownership.Grace + c.leaseDurationBound(ownership.OutageLeaseRemaining))
	}
}

// inheritedLeaseEnd returns when all leases of earlier owners for a worker have ended.
func (c *Cell) inheritedLeaseEnd(id medlarwheel.WorkerID) time.Time {
	end, known := c.inheritedLeaseEnds[id]
	if end.Before(c.inheritedOutageLeasesEnd) {
		end = c.inheritedOutageLeasesEnd
	}
	if !known || end.After(c.reconcileDeadline) {
		return c.reconcileDeadline
	}
	return end
}

// ReconcileDeadline returns when all leases of earlier owners have ended, whatever the workers report.
func (c *Cell) ReconcileDeadline() time.Time { return c.reconcileDeadline }

// EndGrace records that all submissions that are accepted from now on were stored after the grace period of the previous owner.
// One that was stored earlier may have been started by it, whenever this owner hears of it.
func (c *Cell) EndGrace() { c.inGrace = false }

// Authorize extends the time until which this owner may send orders to workers.
func (c *Cell) Authorize(until time.Time) {
	if until.After(c.authorityEnd) {
		c.authorityEnd = until
	}
}

// ExcludeSuccessor records that no other instance can have claimed the cell before the given time. A lease that has ended by then was
// not extended by a successor.
func (c *Cell) ExcludeSuccessor(until time.Time) {
	if until.After(c.noSuccessorUntil) {
		c.noSuccessorUntil = until
	}
}

// isLeaseOver reports whether a lease that this or an earlier owner has granted until end is over. While the table is away a successor
// may have claimed the cell and extended it.
func (c *Cell) isLeaseOver(now, end time.Time) bool {
	return !now.Before(end) && !end.After(c.noSuccessorUntil)
}

// AuthorityEnd returns the time until which this owner may send orders to workers.
func (c *Cell) AuthorityEnd() time.Time { return c.authorityEnd }

// AllowOutageLease allows longer leases until the given time, while the table is unavailable. Every instance that could
// claim the cell must know about them.
func (c *Cell) AllowOutageLease(until time.Time, lease time.Duration) {
	c.outageLeaseUntil, c.outageLease = until, lease
	if end := until.Add(lease); end.After(c.outageLeasesEnd) {
		c.outageLeasesEnd = end
	}
}

// OutageLeasesEnd returns the time, on this clock, by which all leases have ended that this owner or an earlier one
// granted while the table was unavailable.
func (c *Cell) OutageLeasesEnd() time.Time { return c.outageLeasesEnd }

// nextLeaseEnd returns the end of the lease that the owner may grant now, on the worker's clock.
func (c *Cell) nextLeaseEnd(now time.Time, w *worker) time.Duration {
	lease := min(c.config.Lease, c.authorityEnd.Add(c.config.LeaseTail).Sub(now))
	switch inOutage := now.Before(c.outageLeaseUntil); {
	case inOutage && c.isLeaseStored(w):
		// A successor takes the stored end for the end of the lease, or that of all outage leases if it is later.
		lease = c.outageLease
	case inOutage:
		lease = max(lease, c.outageLease)
	}
	return w.localLeaseEnd(now, lease)
}

// inheritedLeaseBound returns how long a lease of an earlier owner may last after the claim of its successor. An owner
// whose authority had expired has granted none beyond LeaseTail; one that released the cell or crashed before may have
// granted a full lease.
func (c *Cell) inheritedLeaseBound(o *Ownership) time.Duration {
	lease := max(c.config.Lease, o.PreviousLease)
	if o.Expired {
		lease = min(lease, max(c.config.LeaseTail, o.PreviousLeaseTail))
	}
	return c.leaseDurationBound(lease)
}

// leaseDurationBound returns the time after which a lease has ended even on the slowest clock.
func (c *Cell) leaseDurationBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+2*c.config.ClockDrift)) + c.config.LeaseMargin
}
