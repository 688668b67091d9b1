package medlarcell

import (
	"time"

	"medlarwheel"
)

// maxStoredLeases bounds the lease ends in a renewal, because the size of a row is limited. A successor waits for a full lease
// of each further silent worker.
const maxStoredLeases = 500

// TakeLeasesLeft returns, for the workers that are silent, how long their leases may still last. They are part of the next
// renewal, so that a successor need not wait for a full lease of a worker that was lost long before. None of these leases
// is extended until ConfirmLeasesLeft has confirmed a later renewal without it.
func (c *Cell) TakeLeasesLeft(now time.Time) map[medlarwheel.WorkerID]time.Duration {
	left := map[medlarwheel.WorkerID]time.Duration{}
	for id, w := range c.workers {
		if len(left) < maxStoredLeases && c.isSilent(now, w) {
			left[id] = max(0, w.leaseEnd.Sub(now))
			c.storedLeases[id] = struct{}{}
		}
	}
	c.silenceChanged = false
	return left
}

// ConfirmLeasesLeft handles the confirmation of the renewal that holds the result of the last call of TakeLeasesLeft.
func (c *Cell) ConfirmLeasesLeft(now time.Time, left map[medlarwheel.WorkerID]time.Duration) {
	for id := range c.storedLeases {
		if _, silent := left[id]; silent {
			continue
		}
		delete(c.storedLeases, id)
		if w := c.workers[id]; w != nil {
			c.failureCache.workerChanged(w)
		}
	}
	c.silenceChanged = c.differsFromStoredLeases(now)
}

// HasSilenceChanged reports whether the next renewal would state the lease ends of other workers than the last one.
func (c *Cell) HasSilenceChanged() bool { return c.silenceChanged }

func (c *Cell) differsFromStoredLeases(now time.Time) bool {
	for id := range c.storedLeases {
		if w := c.workers[id]; w == nil || !c.isSilent(now, w) {
			return true
		}
	}
	if len(c.storedLeases) >= maxStoredLeases {
		return false
	}
	for id, w := range c.workers {
		if _, stored := c.storedLeases[id]; !stored && c.isSilent(now, w) {
			return true
		}
	}
	return false
}

// isSilent reports whether the worker has not responded for ContactTimeout, or was silent under the previous owner and has not
// responded to this one.
func (c *Cell) isSilent(now time.Time, w *worker) bool {
	if w.lastContact.IsZero() {
		return w.inheritedLeaseEnd.Before(c.reconcileDeadline) || now.Sub(c.termStartedAt) >= c.config.ContactTimeout
	}
	return now.Sub(w.lastContact) >= c.config.ContactTimeout
}

// recordInheritedLosses records, for the long-running tasks that no worker has reported, when the first of the workers was lost
// that were silent under the previous owner. Which of the tasks ran there is not known.
func (c *Cell) recordInheritedLosses() {
	var firstLoss time.Time
	for id, end := range c.inheritedLeaseEnds {
		if w := c.workers[id]; w == nil || w.allRunsKnown {
			continue
		}
		if lostAt := end.Add(-c.leaseDurationBound(c.config.Lease)); firstLoss.IsZero() || lostAt.Before(firstLoss) {
			firstLoss = lostAt
		}
	}
	for _, j := range c.jobs {
		if !j.inherited || !j.started {
			continue
		}
		j.forEachTask(func(s *step, index int) {
			if t := &s.tasks[index]; s.spec.LongRunning && t.waiting {
				t.lostAt = firstLoss
			}
		})
	}
}

func (c *Cell) isLeaseStored(w *worker) bool {
	_, stored := c.storedLeases[w.info.ID]
	return stored
}

// isLeaseFixed reports whether the lease of the worker may not be extended, because the table may state its end. A successor
// takes the leases of an outage into account in any case.
func (c *Cell) isLeaseFixed(now time.Time, w *worker) bool {
	return c.isLeaseStored(w) && !now.Before(c.outageLeaseUntil)
}
