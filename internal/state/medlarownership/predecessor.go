package medlarownership

import (
	"time"

	"medlarwheel"
)

// Predecessor is what is known about the previous owner at the time of a claim.
type Predecessor struct {
	// Instance, Process and Version are those of the claim before. They are zero if there is none.
	Instance medlarwheel.InstanceID
	Process  string
	Version  medlarwheel.RowVersion
	// Expired is true if the previous owner has stopped renewing, so that its authority has ended or ends with Grace.
	// Otherwise the previous owner has sent no orders since the claim, and its authority may have lasted longer.
	Expired bool
	// Grace is how long after the claim the previous owner, or one before it, may still send orders.
	Grace time.Duration
	// Lease and LeaseTail are those of the claim before.
	Lease, LeaseTail time.Duration
	// OutageLeases is how long after the claim leases granted during a table outage may remain valid.
	OutageLeases time.Duration
	// LeaseEnds holds when the leases of workers have ended that were silent at the last renewal, unless they were extended
	// during a table outage.
	LeaseEnds map[medlarwheel.WorkerID]time.Time
}

// Predecessor returns what is known about the previous owner at the time of a claim. receivedRequests means that this
// process has received the promise requests of every owner that has recently continued without the table.
func (m *Monitor) Predecessor(now time.Time, receivedRequests bool) Predecessor {
	// No worker accepts a longer lease than MaxLease, whatever the row says.
	p := Predecessor{
		Instance: m.term.Instance, Process: m.term.Process, Version: m.term.Version,
		Lease: min(m.term.Lease, m.config.MaxLease), LeaseTail: min(m.term.LeaseTail, m.config.MaxLease),
		OutageLeases: m.outageLeasesAt(now, receivedRequests), Grace: max(0, m.graceEnd.Sub(now)),
	}
	if m.renewal.Term == m.term.Number {
		p.LeaseEnds = m.leaseEnds()
	}
	if m.isVacant() {
		return p
	}
	p.Expired = true
	if m.sinceRenewal < m.claimTimeout() {
		p.Grace = max(p.Grace, m.ownerTimeout)
	}
	return p
}

// leaseEnds returns when the leases of the workers in the last renewal have ended.
func (m *Monitor) leaseEnds() map[medlarwheel.WorkerID]time.Time {
	ends := make(map[medlarwheel.WorkerID]time.Time, len(m.renewal.LeasesLeft))
	for id, left := range m.renewal.LeasesLeft {
		ends[id] = m.renewalSeenAt.Add(max(0, left))
	}
	return ends
}

// outageLeasesAt returns for how long outage leases may remain valid. The reported time is limited to what workers accept, so
// that one wrong message or row does not leave the cell without an owner.
func (m *Monitor) outageLeasesAt(now time.Time, receivedRequests bool) time.Duration {
	return min(m.reportedLeasesAt(now, receivedRequests), m.config.maxOutageLeases())
}

// maxOutageLeases is the longest time after a promise for which outage leases that follow from it may last.
func (c *Config) maxOutageLeases() time.Duration { return c.PromiseDuration() + c.MaxLease }

func (m *Monitor) reportedLeasesAt(now time.Time, receivedRequests bool) time.Duration {
	announced := max(0, m.outageLeasesEnd.Sub(now))
	switch {
	case m.term.Number == 0:
		return 0
	case m.term.Released:
		return max(m.term.OutageLeases, announced)
	case receivedRequests || m.leasesReported:
		return announced
	default:
		return m.config.OutageLease
	}
}

// RecordOutageLease records the lease that an owner grants without the table. The owner may grant it until the end
// of the authority that a promise made now gives it. Zero means that it grants no outage leases.
func (m *Monitor) RecordOutageLease(now time.Time, lease time.Duration) {
	if lease <= 0 {
		return
	}
	m.extendOutageLeases(now.Add(m.config.OwnerTimeout + m.config.ClaimMargin + lease))
}

func (m *Monitor) extendOutageLeases(end time.Time) {
	if end.After(m.outageLeasesEnd) {
		m.outageLeasesEnd = end
	}
}

// MinRegisteredTime returns how long a process must have been in the instance registry to know all outage leases that may be
// valid from the promise requests of owners. trust is the age up to which an owner relies on its copy of the registry.
func (c *Config) MinRegisteredTime(trust time.Duration) time.Duration {
	return trust + c.OwnerTimeout + c.ClaimMargin + c.OutageLease
}
