// Package medlarownership elects the instance that owns a cell, and determines when the authority of an owner has expired.
//
// An owner claims the cell by a conditional write of the term row. The version of that write is the base of the fencing
// token, so that tokens increase from owner to owner. While it can write, the owner renews a second row; each renewal
// states for how long after it the owner may send orders. Another instance claims the cell once it has seen no renewal for
// longer than that, counting only time in which the table has responded to its reads. An outage of the table therefore never
// causes a change of owner.
//
// An owner whose renewals are slow requests a longer timeout, so that a slow table does not cause a change of owner. While
// the table is fast the timeout is short, and an owner that is cut off is replaced quickly.
//
// # Usage
//
//	monitor := medlarownership.NewMonitor(medlarownership.DefaultConfig())
//	err := monitor.Observe(now, rows) // after each response of the table, with or without changes
//	if monitor.ShouldClaim(now) { ... }
package medlarownership

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/internal/state/medlartable"
)

// Config configures the election of owners.
type Config struct {
	// RenewInterval is the longest time between two renewals by an owner.
	RenewInterval time.Duration
	// OwnerTimeout is how long after a renewal an owner may send orders to workers while the table is fast. MaxOwnerTimeout
	// is the upper limit when the table is slow.
	OwnerTimeout, MaxOwnerTimeout time.Duration
	// MaxGrace limits the grace in a claim, so that one wrong row does not leave the cell without an owner.
	MaxGrace time.Duration
	// RenewDurationFactor times the duration of a renewal, added to RenewInterval, is the timeout that an owner requests. It
	// covers one renewal and a retry after a lost response.
	RenewDurationFactor float64
	// ClaimMargin is added to the owner's timeout before another instance claims the cell. It exceeds the time that an order
	// takes to leave the owner.
	ClaimMargin time.Duration
	// SuspectTimeout is the time without a renewal after which the cell is claimed if the owner's address refuses
	// connections.
	SuspectTimeout time.Duration
	// MaxResponseGap is the longest time between two responses of the table that counts as observed. After a longer gap, the
	// time without a renewal is counted from zero again.
	MaxResponseGap time.Duration
	// OutageLease is the worker lease that an owner grants while the table is unavailable to all instances. During such an
	// outage, a data centre that is cut off ends the owner's authority; with short leases all running tasks would end too.
	OutageLease time.Duration
	// MaxLease is the longest lease that workers accept, whatever an owner requests.
	MaxLease time.Duration
	// OutageThreshold is the age of an owner's last renewal from which it grants OutageLease. A slow table or one lost
	// response must not lengthen leases, which delay the replacement of crashed workers.
	OutageThreshold time.Duration
}

// DefaultConfig returns the configuration for a table that responds within tens of milliseconds.
func DefaultConfig() Config {
	return Config{
		RenewInterval: 400 * time.Millisecond, OwnerTimeout: 1200 * time.Millisecond, MaxOwnerTimeout: 3 * time.Second,
		MaxGrace:            10 * time.Second,
		RenewDurationFactor: 3, ClaimMargin: 300 * time.Millisecond, SuspectTimeout: 900 * time.Millisecond,
		MaxResponseGap: 1000 * time.Millisecond, OutageLease: 8 * time.Second, MaxLease: 10 * time.Second,
		OutageThreshold: 2 * time.Second,
	}
}

// TimeoutFor returns the timeout that an owner requests if its renewals take the given time.
func (c *Config) TimeoutFor(took time.Duration) time.Duration {
	requested := c.RenewInterval + time.Duration(c.RenewDurationFactor*float64(took))
	return min(max(requested, c.OwnerTimeout), c.MaxOwnerTimeout)
}

// PromiseDuration is how long a promise to an owner lasts: the time for which the owner goes on by it, and that in which its last orders
// leave it.
func (c *Config) PromiseDuration() time.Duration { return c.OwnerTimeout + c.ClaimMargin }

// Monitor tracks the renewals of the current owner and decides when this instance may claim the cell.
type Monitor struct {
	config         Config
	term           Term
	renewalVersion medlarwheel.RowVersion
	// renewal is the last renewal, which was seen at renewalSeenAt.
	renewal       Renewal
	renewalSeenAt time.Time
	// ownerTimeout is how long after its last renewal the owner may send orders.
	ownerTimeout time.Duration
	// sinceRenewal is the time without a renewal, counted only while the table has responded.
	sinceRenewal time.Duration
	lastResponse time.Time
	// promisedUntil is the time before which this instance has promised the owner of promisedTerm not to claim the cell.
	// earlierPromisesEnd is when the promises to owners before that one have ended.
	promisedUntil, earlierPromisesEnd time.Time
	promisedTerm                      uint64
	// hasRead is true once the table has been read.
	hasRead bool
	// ownerDead is true if the owner is known to have ended or stopped, and ownerSuspected if its address refuses
	// connections.
	ownerDead, ownerSuspected bool
	// graceEnd is when the owners before the current one send no more orders.
	graceEnd time.Time
	// leasesReported is true once the owner has stopped and reported how long its leases remain valid.
	leasesReported bool
	// stoppedTerm is the term of the owner that has last said that it sends no more orders, and stoppedLeasesEnd when its outage leases
	// have ended.
	stoppedTerm      uint64
	stoppedLeasesEnd time.Time
	// outageLeasesEnd is the latest end of the outage leases that owners have announced with their requests for promises or
	// when they stopped.
	outageLeasesEnd time.Time
}

// NewMonitor returns a monitor without a known owner.
func NewMonitor(c Config) *Monitor { return &Monitor{config: c, ownerTimeout: c.OwnerTimeout} }

// Term returns the current claim. Its number is zero if none has been seen.
func (m *Monitor) Term() Term { return m.term }

// Observe processes a response of the table with the changed rows. It leaves out a row that it cannot decode, and returns the error of
// the first one.
func (m *Monitor) Observe(now time.Time, rows []medlartable.Row) (firstErr error) {
	if gap := now.Sub(m.lastResponse); m.lastResponse.IsZero() || gap > m.config.MaxResponseGap {
		// The table was unavailable. The owner gets the full timeout again to renew.
		m.sinceRenewal = 0
	} else {
		m.sinceRenewal += gap
	}
	m.lastResponse, m.hasRead = now, true
	// A read of the whole table lists the rows by key. The last renewal may be newer than the claim.
	rows = slices.SortedStableFunc(slices.Values(rows), func(a, b medlartable.Row) int { return cmp.Compare(a.Version, b.Version) })
	for _, r := range rows {
		if err := m.observeRow(r); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

func (m *Monitor) observeRow(r medlartable.Row) error {
	switch {
	case r.Deleted:
	case r.Key == KeyTerm && r.Version > m.term.Version:
		t, err := DecodeTerm(r)
		if err != nil {
			return err
		}
		m.setTerm(m.lastResponse, t)
	case r.Key == KeyRenewal && r.Version > m.renewalVersion:
		m.renewalVersion, m.sinceRenewal = r.Version, 0
		renewal, err := DecodeRenewal(r)
		m.renewal, m.renewalSeenAt = renewal, m.lastResponse
		if err != nil {
			// The owner may have requested the longest timeout.
			m.ownerTimeout = m.config.MaxOwnerTimeout
			return err
		}
		m.ownerTimeout = renewal.Timeout
		m.extendOutageLeases(m.lastResponse.Add(min(renewal.OutageLeases, m.config.maxOutageLeases())))
	}
	return nil
}

// setTerm replaces the current claim with a newer one, which was seen now.
func (m *Monitor) setTerm(now time.Time, t Term) {
	m.term, m.ownerTimeout, m.sinceRenewal, m.ownerDead, m.ownerSuspected = t, m.config.OwnerTimeout, 0, false, false
	m.leasesReported = false
	m.applyStop()
	if end := now.Add(min(t.Grace, m.config.MaxGrace)); end.After(m.graceEnd) {
		m.graceEnd = end
	}
}

// RecordClaim records a claim by this instance.
func (m *Monitor) RecordClaim(now time.Time, t Term) {
	if t.Version > m.term.Version {
		m.setTerm(now, t)
	}
}

// OwnerDied records that the process that made the claim has ended.
func (m *Monitor) OwnerDied(t Term) {
	if t.Number == m.term.Number && t.Process == m.term.Process {
		m.ownerDead = true
	}
}

// OwnerStopped records that the owner of the numbered term sends no more orders, and for how long its outage leases may
// remain valid.
func (m *Monitor) OwnerStopped(now time.Time, number uint64, leases time.Duration) {
	if number < m.term.Number {
		return
	}
	// The message may come before the claim of that owner is seen.
	m.stoppedTerm, m.stoppedLeasesEnd = number, now.Add(leases)
	m.applyStop()
}

// applyStop records the end of the current owner if its message has come.
func (m *Monitor) applyStop() {
	if m.stoppedTerm == 0 || m.stoppedTerm != m.term.Number {
		return
	}
	m.ownerDead, m.leasesReported = true, true
	m.extendOutageLeases(m.stoppedLeasesEnd)
}

// OwnerSuspected records that the owner's address refuses connections. Either its process has ended, or a network element
// in between refuses them.
func (m *Monitor) OwnerSuspected(t Term) {
	if t.Number == m.term.Number && t.Process == m.term.Process {
		m.ownerSuspected = true
	}
}

// MayBeLateClaim reports whether the table may have carried out the current claim long after its owner has sent it and ended. That
// owner has then refused no promise, and an instance which the owner before it has not asked for one must take the authority of the
// latter into account. An owner that has renewed was there to refuse.
func (m *Monitor) MayBeLateClaim() bool { return m.term.Number > 1 && m.renewal.Term != m.term.Number }

func (m *Monitor) claimTimeout() time.Duration { return m.ownerTimeout + m.config.ClaimMargin }

// TimeUntilClaim returns the further time without a renewal after which the cell can be claimed.
func (m *Monitor) TimeUntilClaim() time.Duration {
	timeout := m.claimTimeout()
	if m.ownerSuspected {
		timeout = min(timeout, m.config.SuspectTimeout)
	}
	return max(0, timeout-m.sinceRenewal)
}

// Promise promises the owner of the numbered term that this instance does not claim the cell for OwnerTimeout and
// ClaimMargin from now, unless the owner's process ends or releases the cell.
func (m *Monitor) Promise(now time.Time, number uint64) bool {
	if !m.hasRead || m.term.Number != number || m.term.Released || m.ownerDead {
		return false
	}
	if number != m.promisedTerm && m.promisedUntil.After(m.earlierPromisesEnd) {
		m.earlierPromisesEnd = m.promisedUntil
	}
	m.promisedUntil, m.promisedTerm = now.Add(m.config.PromiseDuration()), number
	return true
}

// ShouldClaim reports whether this instance may claim the cell: it has no owner, or its owner has stopped renewing and no
// promise is in force.
func (m *Monitor) ShouldClaim(now time.Time) bool {
	if !m.hasRead || m.isBound(now) {
		return false
	}
	return m.isVacant() || m.TimeUntilClaim() == 0
}

// isVacant reports whether the cell has no owner.
func (m *Monitor) isVacant() bool { return m.term.Number == 0 || m.term.Released || m.ownerDead }

// isBound reports whether a promise is in force. The end of the current owner ends the promise to that owner, but not one to an
// earlier owner: if the table has carried out a later claim late, the earlier owner may still send orders.
func (m *Monitor) isBound(now time.Time) bool {
	if !now.After(m.earlierPromisesEnd) {
		return true
	}
	if now.After(m.promisedUntil) {
		return false
	}
	return m.promisedTerm != m.term.Number || !m.isVacant()
}

// Claim returns the next term, owned by the claimant, and the transaction that stores it. Both follow from one view of the table: the
// number of the term is one above that of the claim that the transaction requires. The transaction fails if another instance has
// claimed the cell meanwhile, or if the owner has renewed its claim: the responses of a slow table may be out of date when they
// arrive.
func (m *Monitor) Claim(claimant Term, part string) (Term, medlartable.Transaction, error) {
	next := claimant
	next.Number = m.term.Number + 1
	next.Lease, next.LeaseTail = max(next.Lease, m.term.Lease), max(next.LeaseTail, m.term.LeaseTail)
	value, err := json.Marshal(next)
	if err != nil {
		return next, medlartable.Transaction{}, errors.Wrapf(err, "encode the claim of cell %s for term %d", part, next.Number)
	}
	return next, medlartable.Transaction{
		Require: []medlartable.Row{
			{Table: Table, Part: part, Key: KeyTerm, Version: m.term.Version},
			{Table: Table, Part: part, Key: KeyRenewal, Version: m.renewalVersion},
		},
		Put: []medlartable.Row{{Table: Table, Part: part, Key: KeyTerm, Value: value}},
	}, nil
}

// HasRenewedSince reports whether the owner has renewed since a claim that requires the given rows was prepared. The table then never
// carries the claim out: it requires the renewal before, and once it is carried out, the owner that it replaces cannot renew.
func (m *Monitor) HasRenewedSince(required []medlartable.Row) bool {
	for _, r := range required {
		if r.Key == KeyTerm && r.Version != m.term.Version {
			return false
		}
	}
	return slices.ContainsFunc(required, func(r medlartable.Row) bool { return r.Key == KeyRenewal && r.Version < m.renewalVersion })
}
