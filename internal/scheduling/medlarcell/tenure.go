package medlarcell

import (
	"fmt"
	"time"

	"medlarwheel"
	"medlarwheel/internal/execution/medlarorder"
)

// Ownership identifies one ownership of the cell.
type Ownership struct {
	// Fence is above the tokens of all earlier owners and leaves room below the next for raises.
	Fence medlarwheel.FencingToken
	// Term counts the owners of the cell from 1.
	Term uint64
	// Expired is true if the authority of the owner before has ended by the claim, or ends with the grace.
	Expired bool
	// Grace is how long after the claim the owner before may still give orders.
	Grace time.Duration
	// OutageLeaseRemaining is how long after the claim leases may last that were granted while the table was away.
	OutageLeaseRemaining time.Duration
}

// runNumbersPerTerm is the number of run numbers that one owner may use for a task.
const runNumbersPerTerm = 1000

// Begin starts a tenure. Workers that an earlier owner may have ordered report before tasks that they may run are started.
func (c *Cell) Begin(now time.Time, t Ownership) {
	c.fence = t.Fence
	c.firstRun = medlarorder.RunNumber((t.Term-1)*runNumbersPerTerm + 1)
	c.tickedAt, c.termStartedAt = now, now
	c.graceEnd = now.Add(t.Grace)
	c.reconcileDeadline = now.Add(t.Grace + max(c.inheritedLeaseBound(t.Expired), c.leaseDurationBound(t.OutageLeaseRemaining)))
	c.outageLeasesEnd = now.Add(t.OutageLeaseRemaining)
}

// Authorize sets until when this owner may order workers.
func (c *Cell) Authorize(until time.Time) {
	if until.After(c.authorityEnd) {
		c.authorityEnd = until
	}
}

// AuthorityEnd returns until when this owner may order workers.
func (c *Cell) AuthorityEnd() time.Time { return c.authorityEnd }

// AllowOutageLease lets the owner grant a longer lease until the given time, while the table is away. Every instance that could claim
// the cell must know it.
func (c *Cell) AllowOutageLease(until time.Time, lease time.Duration) {
	c.outageLeaseUntil, c.outageLease = until, lease
	if end := until.Add(lease); end.After(c.outageLeasesEnd) {
		c.outageLeasesEnd = end
	}
}

// OutageLeasesEnd returns when all leases have ended, on this clock, that this owner or one before it has granted without
// the table.
func (c *Cell) OutageLeasesEnd() time.Time { return c.outageLeasesEnd }

// nextLeaseEnd returns the end of the lease that the owner may grant now, on the worker's clock.
func (c *Cell) nextLeaseEnd(now time.Time, w *worker) time.Duration {
	lease := min(c.config.Lease, c.authorityEnd.Add(c.config.LeaseTail).Sub(now))
	if now.Before(c.outageLeaseUntil) {
		lease = max(lease, c.outageLease)
	}
	return w.localLeaseEnd(now, lease)
}

// inheritedLeaseBound bounds how long a lease of an earlier owner may last after its successor's claim. An owner whose authority
// had ended has granted none beyond the tail; one that has released the cell or died before may have granted a whole one.
func (c *Cell) inheritedLeaseBound(expired bool) time.Duration {
	lease := c.config.Lease
	if expired {
		lease = min(lease, c.config.LeaseTail)
	}
	return c.leaseDurationBound(lease)
}

// leaseDurationBound returns the time after which a lease has ended by the slowest clock.
func (c *Cell) leaseDurationBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+2*c.config.ClockDrift)) + c.config.LeaseMargin
}

// tryReconcile notes once that the cell has settled. Until then workers and tasks that are taken over are counted: a line for each
// would drown the other lines of a change of owner.
func (c *Cell) tryReconcile(now time.Time) {
	if c.reconciled || !c.isReconciled(now) {
		return
	}
	c.reconciled = true
	silent := 0
	for _, w := range c.workers {
		if !w.reported {
			silent++
		}
	}
	c.emit(Event{
		Kind: EventTakeoverReconciled, Count: len(c.workers), Age: now.Sub(c.termStartedAt),
		Reason: fmt.Sprintf("tasks adopted: %d, workers without an answer: %d", c.adoptedTasks, silent),
	})
}

// isReconciled reports whether every task that no worker has reported is known not to run.
func (c *Cell) isReconciled(now time.Time) bool {
	if !now.Before(c.reconcileDeadline) {
		return true
	}
	for _, w := range c.workers {
		if !w.reported {
			return false
		}
	}
	return len(c.workers) > 0
}
