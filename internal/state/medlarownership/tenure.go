// Package medlarownership decides which instance owns a cell, and since when an owner may no longer order workers.
//
// The owner's claim is a row that is changed under a condition. The version of that change is the base of the fencing
// token, so that tokens rise over all owners. The owner renews a second row while it can write. Each renewal says for how
// long the owner may give orders after it. Another instance claims the cell when it sees that row unchanged for longer,
// while the table has answered its own reads; a table that is away therefore never leads to a change of owner.
//
// An owner whose renewals take long asks for more time, so that a slow table leads to no change of owner, and an owner that
// is cut off is replaced soon while the table is fast.
//
// # Usage
//
//	watch := medlarownership.NewMonitor(medlarownership.DefaultConfig())
//	watch.Observe(now, rows) // after each answer of the table, with or without changes
//	if watch.ShouldClaim(now) { ... }
package medlarownership

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/internal/state/medlartable"
)

// Config configures the change of owners.
type Config struct {
	// RenewInterval is the longest time between two renewals of an owner.
	RenewInterval time.Duration
	// OwnerTimeout is how long after a renewal an owner may order workers, while the table is fast. MaxOwnerTimeout bounds it
	// while the table is slow.
	OwnerTimeout, MaxOwnerTimeout time.Duration
	// RenewDurationFactor times the duration of a renewal is added to the interval of renewals for the time that an owner asks for:
	// one renewal, and a second one after a lost answer.
	RenewDurationFactor float64
	// ClaimMargin is how much longer than the owner's time the renewals must be missing before another instance claims the
	// cell. It is above the time that an order takes to leave the instance.
	ClaimMargin time.Duration
	// SuspectTimeout is how long the renewals must be missing when the owner's address refuses connections.
	SuspectTimeout time.Duration
	// MaxResponseGap is the longest time between two answers of the table that counts as observed.
	MaxResponseGap time.Duration
	// OutageLease is how long workers keep running without hearing from an owner that goes on while the table is away for
	// all. A data centre that is cut off during the outage ends the owner's authority, and with short leases all that runs.
	OutageLease time.Duration
	// MaxLease is the longest lease that workers grant, whatever an owner asks for.
	MaxLease time.Duration
	// OutageThreshold is the age of an owner's last renewal from which on it grants OutageLease, so that a slow table or one lost
	// answer does not lengthen the wait for workers that crash.
	OutageThreshold time.Duration
}

// DefaultConfig returns the configuration for a table that answers within some tens of milliseconds.
func DefaultConfig() Config {
	return Config{
		RenewInterval: 400 * time.Millisecond, OwnerTimeout: 1200 * time.Millisecond, MaxOwnerTimeout: 3 * time.Second,
		RenewDurationFactor: 3, ClaimMargin: 300 * time.Millisecond, SuspectTimeout: 900 * time.Millisecond,
		MaxResponseGap: 1000 * time.Millisecond, OutageLease: 8 * time.Second, MaxLease: 10 * time.Second, OutageThreshold: 2 * time.Second,
	}
}

// TimeoutFor returns for how long after a renewal an owner whose renewals take some time should be allowed to give orders.
func (c *Config) TimeoutFor(took time.Duration) time.Duration {
	wanted := c.RenewInterval + time.Duration(c.RenewDurationFactor*float64(took))
	return min(max(wanted, c.OwnerTimeout), c.MaxOwnerTimeout)
}

// Names of the rows.
const (
	Table      = "medlar-owner"
	KeyTerm    = "term"
	KeyRenewal = "beat"
)

// Term is the stored claim of one owner.
type Term struct {
	// Number counts the owners of the cell from 1.
	Number   uint64                 `json:"number"`
	Instance medlarwheel.InstanceID `json:"instance"`
	// Address is where other instances reach the owner.
	Address string `json:"address"`
	// Process tells the processes of one instance apart.
	Process string `json:"process"`
	// Released is true once the owner has given the cell back.
	Released bool `json:"released,omitempty"`
	// OutageLeases is how much longer leases from an outage of the table may last, at the release.
	OutageLeases time.Duration `json:"outage-leases-ns,omitempty"`
	// Version is the version of the row.
	Version medlarwheel.RowVersion `json:"-"`
}

// DecodeTerm reads and checks a stored claim.
func DecodeTerm(r medlartable.Row) (Term, error) {
	var t Term
	if err := json.Unmarshal(r.Value, &t); err != nil {
		return t, errors.Wrap(err, "claim of an owner")
	}
	t.Version = r.Version
	if t.Number == 0 {
		return t, errors.New("claim of an owner without a number")
	}
	return t, medlarwheel.CheckAddress("address", t.Address).Err()
}

// Renewal is a stored renewal.
type Renewal struct {
	// Timeout is for how long after it the owner may give orders.
	Timeout time.Duration `json:"timeout-ns"`
}

// RenewalRow returns the row of a renewal.
func RenewalRow(part string, b Renewal) (medlartable.Row, error) {
	value, err := json.Marshal(b)
	return medlartable.Row{Table: Table, Part: part, Key: KeyRenewal, Value: value}, errors.Wrap(err, "renewal of an owner")
}

// DecodeRenewal reads and checks a stored renewal.
func DecodeRenewal(r medlartable.Row) (Renewal, error) {
	var b Renewal
	if err := json.Unmarshal(r.Value, &b); err != nil {
		return b, errors.Wrap(err, "renewal of an owner")
	}
	if b.Timeout <= 0 {
		return b, errors.Errorf("renewal of an owner with a timeout of %v", b.Timeout)
	}
	return b, nil
}

// fencingTokensPerTerm is the number of times that an owner may raise its fencing token.
const fencingTokensPerTerm = 1 << 12

// FirstFencingToken returns the fencing token of an owner whose claim has the version.
func FirstFencingToken(claim medlarwheel.RowVersion) medlarwheel.FencingToken {
	return medlarwheel.FencingToken(uint64(claim) * fencingTokensPerTerm)
}

// Monitor follows the renewals of the present owner.
type Monitor struct {
	config         Config
	term           Term
	renewalVersion medlarwheel.RowVersion
	// ownerTimeout is for how long after its last renewal the owner may give orders.
	ownerTimeout time.Duration
	// sinceRenewal is for how long the table has answered without a renewal.
	sinceRenewal time.Duration
	lastResponse time.Time
	// promisedUntil is until when this instance has promised the owner not to claim the cell.
	promisedUntil time.Time
	// hasRead is true once the table has been read.
	hasRead bool
	// ownerDead is true when the owner's process is known to have ended, and ownerSuspected when it only seems so.
	ownerDead, ownerSuspected bool
	// leasesReported is true when the owner before has said how long its leases last, and gives no more orders.
	leasesReported bool
	// outageLeasesEnd is until when leases may last that owners have announced when they asked for promises.
	outageLeasesEnd time.Time
}

// NewMonitor returns a watch that knows no owner.
func NewMonitor(c Config) *Monitor { return &Monitor{config: c, ownerTimeout: c.OwnerTimeout} }

// Term returns the present claim. Its number is zero before the first one.
func (w *Monitor) Term() Term { return w.term }

// Observe takes in an answer of the table with the changed rows.
func (w *Monitor) Observe(now time.Time, rows []medlartable.Row) error {
	if gap := now.Sub(w.lastResponse); w.lastResponse.IsZero() || gap > w.config.MaxResponseGap {
		// The table was away. The owner gets the whole time again to renew.
		w.sinceRenewal = 0
	} else {
		w.sinceRenewal += gap
	}
	w.lastResponse, w.hasRead = now, true
	for _, r := range rows {
		if err := w.observeRow(r); err != nil {
			return err
		}
	}
	return nil
}

func (w *Monitor) observeRow(r medlartable.Row) error {
	switch {
	case r.Deleted:
	case r.Key == KeyTerm && r.Version > w.term.Version:
		t, err := DecodeTerm(r)
		if err != nil {
			return err
		}
		w.setTerm(t)
	case r.Key == KeyRenewal && r.Version > w.renewalVersion:
		w.renewalVersion, w.sinceRenewal = r.Version, 0
		b, err := DecodeRenewal(r)
		if err != nil {
			// The owner may have asked for all the time there is.
			w.ownerTimeout = w.config.MaxOwnerTimeout
			return err
		}
		w.ownerTimeout = b.Timeout
	}
	return nil
}

// setTerm takes in a newer claim.
func (w *Monitor) setTerm(t Term) {
	w.term, w.ownerTimeout, w.sinceRenewal, w.ownerDead, w.ownerSuspected = t, w.config.OwnerTimeout, 0, false, false
	w.leasesReported = false
}

// RecordClaim notes the claim of this instance itself.
func (w *Monitor) RecordClaim(t Term) {
	if t.Version > w.term.Version {
		w.setTerm(t)
	}
}

// OwnerDied notes that the process with the claim has ended.
func (w *Monitor) OwnerDied(t Term) {
	if t.Number == w.term.Number && t.Process == w.term.Process {
		w.ownerDead = true
	}
}

// OwnerStopped notes that the owner with the claim gives no more orders, and how much longer its leases from an outage of the
// table may last.
func (w *Monitor) OwnerStopped(now time.Time, number uint64, leases time.Duration) {
	if number != w.term.Number {
		return
	}
	w.ownerDead, w.leasesReported = true, true
	w.extendOutageLeases(now.Add(leases))
}

// OwnerSuspected notes that the owner's address refuses connections. Its process has ended, or something between refuses
// them in its place.
func (w *Monitor) OwnerSuspected(t Term) {
	if t.Number == w.term.Number && t.Process == w.term.Process {
		w.ownerSuspected = true
	}
}

// Predecessor returns what is known at a claim about the owner before. asked tells that every owner that has gone on without
// the table of late has asked this process for promises.
func (w *Monitor) Predecessor(now time.Time, asked bool) Predecessor {
	leases := w.outageLeasesAt(now, asked)
	switch {
	case w.term.Number == 0 || w.ownerDead || w.term.Released:
		return Predecessor{OutageLeases: leases}
	case w.sinceRenewal < w.claimTimeout():
		return Predecessor{Expired: true, Grace: w.ownerTimeout, OutageLeases: leases}
	default:
		return Predecessor{Expired: true, OutageLeases: leases}
	}
}

// outageLeasesAt returns how much longer leases from an outage of the table may last. What others say of them is bounded by what
// workers grant, so that one wrong message or row does not keep a cell waiting.
func (w *Monitor) outageLeasesAt(now time.Time, asked bool) time.Duration {
	return min(w.reportedLeasesAt(now, asked), w.config.OwnerTimeout+w.config.ClaimMargin+w.config.MaxLease)
}

func (w *Monitor) reportedLeasesAt(now time.Time, asked bool) time.Duration {
	announced := max(0, w.outageLeasesEnd.Sub(now))
	switch {
	case w.term.Number == 0:
		return 0
	case w.term.Released:
		return max(w.term.OutageLeases, announced)
	case asked || w.leasesReported:
		return announced
	default:
		return w.config.OutageLease
	}
}

// RecordOutageLease notes the lease that an owner grants without the table, until its authority ends, which it has from now on. Zero
// means that it grants none.
func (w *Monitor) RecordOutageLease(now time.Time, lease time.Duration) {
	if lease <= 0 {
		return
	}
	w.extendOutageLeases(now.Add(w.config.OwnerTimeout + w.config.ClaimMargin + lease))
}

func (w *Monitor) extendOutageLeases(end time.Time) {
	if end.After(w.outageLeasesEnd) {
		w.outageLeasesEnd = end
	}
}

// MinRegisteredTime returns for how long a process must have been in the register to know from the questions of owners which
// leases may be in force. trust is the age of the register up to which an owner goes by it.
func (c *Config) MinRegisteredTime(trust time.Duration) time.Duration {
	return trust + c.OwnerTimeout + c.ClaimMargin + c.OutageLease
}

// Predecessor is what is known about the owner before at the time of a claim.
type Predecessor struct {
	// Expired is true if the owner before was not heard of any more, so that its authority has ended or ends with the grace.
	// Otherwise it has given no orders since the claim, and its authority may have lasted longer.
	Expired bool
	// Grace is for how long after the claim it may still give orders.
	Grace time.Duration
	// OutageLeases is for how long after the claim leases may last that were granted while the table was away.
	OutageLeases time.Duration
}

func (w *Monitor) claimTimeout() time.Duration { return w.ownerTimeout + w.config.ClaimMargin }

// TimeUntilClaim returns after how much more quiet the cell can be claimed.
func (w *Monitor) TimeUntilClaim() time.Duration {
	timeout := w.claimTimeout()
	if w.ownerSuspected {
		timeout = min(timeout, w.config.SuspectTimeout)
	}
	return max(0, timeout-w.sinceRenewal)
}

// Promise promises the owner with the claim that this instance does not claim the cell within the owner's timeout from now
// on, unless the owner's process ends or gives the cell back.
func (w *Monitor) Promise(now time.Time, number uint64) bool {
	if !w.hasRead || w.term.Number != number || w.term.Released || w.ownerDead {
		return false
	}
	w.promisedUntil = now.Add(w.config.OwnerTimeout + w.config.ClaimMargin)
	return true
}

// ShouldClaim reports whether the cell has no owner that renews its claim.
func (w *Monitor) ShouldClaim(now time.Time) bool {
	if !w.hasRead {
		return false
	}
	if w.term.Number == 0 || w.term.Released || w.ownerDead {
		return true
	}
	return w.TimeUntilClaim() == 0 && now.After(w.promisedUntil)
}

// Claim returns the transaction that makes next the owner. It fails if another instance has claimed the cell meanwhile, or
// if the owner has renewed its claim since: what a slow table answers may be older than the time at which it arrives.
func (w *Monitor) Claim(next Term, part string, extra ...medlartable.Row) (medlartable.Transaction, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return medlartable.Transaction{}, errors.Wrap(err, "claim of an owner")
	}
	return medlartable.Transaction{
		Require: []medlartable.Row{
			{Table: Table, Part: part, Key: KeyTerm, Version: w.term.Version},
			{Table: Table, Part: part, Key: KeyRenewal, Version: w.renewalVersion},
		},
		Put: append([]medlartable.Row{{Table: Table, Part: part, Key: KeyTerm, Value: value}}, extra...),
	}, nil
}
