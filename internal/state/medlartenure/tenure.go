// Package medlartenure decides which instance owns a cell, and since when an owner may no longer order workers.
//
// The owner's claim is a row that is changed under a condition. The version of that change is the base of the fencing
// token, so that tokens rise over all owners. The owner renews a second row while it can write. Another instance claims
// the cell when it sees that row unchanged for a while during which the table has answered its own reads; a table that is
// away therefore never leads to a change of owner.
//
// # Usage
//
//	watch := medlartenure.NewWatch(medlartenure.DefaultConfig())
//	watch.Observe(now, rows) // after each answer of the table, with or without changes
//	if watch.ShouldClaim(now) { ... }
package medlartenure

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
	// OwnerTimeout is how long after its last renewal an owner may order workers. It is below ClaimTimeout by more than
	// the time that an order takes to leave the instance.
	OwnerTimeout time.Duration
	// ClaimTimeout is how long the renewals must be missing before another instance claims the cell.
	ClaimTimeout time.Duration
	// SuspectTimeout is how long the renewals must be missing when the owner's address refuses connections.
	SuspectTimeout time.Duration
	// MaxGap is the longest time between two answers of the table that counts as observed.
	MaxGap time.Duration
}

// DefaultConfig returns the configuration for a table that answers within some tens of milliseconds.
func DefaultConfig() Config {
	return Config{
		RenewInterval: 400 * time.Millisecond, OwnerTimeout: 2000 * time.Millisecond,
		ClaimTimeout: 2300 * time.Millisecond, SuspectTimeout: 900 * time.Millisecond,
		MaxGap: 1200 * time.Millisecond,
	}
}

// Names of the rows.
const (
	Table   = "medlar-owner"
	KeyTerm = "term"
	KeyBeat = "beat"
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

// fenceRaises is the number of times that an owner may raise its fencing token.
const fenceRaises = 1 << 12

// Fence returns the fencing token of an owner whose claim has the version.
func Fence(claim medlarwheel.RowVersion) medlarwheel.FencingToken {
	return medlarwheel.FencingToken(uint64(claim) * fenceRaises)
}

// Watch follows the renewals of the present owner.
type Watch struct {
	config Config
	term   Term
	beat   medlarwheel.RowVersion
	// quiet is for how long the table has answered without a renewal.
	quiet    time.Duration
	answered time.Time
	// read is true once the table has been read.
	read bool
	// ownerDead is true when the owner's process is known to have ended, and ownerSuspected when it only seems so.
	ownerDead, ownerSuspected bool
}

// NewWatch returns a watch that knows no owner.
func NewWatch(c Config) *Watch { return &Watch{config: c} }

// Term returns the present claim. Its number is zero before the first one.
func (w *Watch) Term() Term { return w.term }

// Observe takes in an answer of the table with the changed rows.
func (w *Watch) Observe(now time.Time, rows []medlartable.Row) error {
	if gap := now.Sub(w.answered); w.answered.IsZero() || gap > w.config.MaxGap {
		// The table was away. The owner gets the whole time again to renew.
		w.quiet = 0
	} else {
		w.quiet += gap
	}
	w.answered, w.read = now, true
	for _, r := range rows {
		if err := w.observeRow(r); err != nil {
			return err
		}
	}
	return nil
}

func (w *Watch) observeRow(r medlartable.Row) error {
	switch {
	case r.Deleted:
	case r.Key == KeyTerm && r.Version > w.term.Version:
		t, err := DecodeTerm(r)
		if err != nil {
			return err
		}
		w.term, w.quiet, w.ownerDead, w.ownerSuspected = t, 0, false, false
	case r.Key == KeyBeat && r.Version > w.beat:
		w.beat, w.quiet = r.Version, 0
	}
	return nil
}

// Claimed notes the claim of this instance itself.
func (w *Watch) Claimed(t Term) {
	if t.Version > w.term.Version {
		w.term, w.quiet, w.ownerDead, w.ownerSuspected = t, 0, false, false
	}
}

// OwnerDied notes that the process with the claim has ended.
func (w *Watch) OwnerDied(t Term) {
	if t.Number == w.term.Number && t.Process == w.term.Process {
		w.ownerDead = true
	}
}

// OwnerSuspected notes that the owner's address refuses connections. Its process has ended, or something between refuses
// them in its place.
func (w *Watch) OwnerSuspected(t Term) {
	if t.Number == w.term.Number && t.Process == w.term.Process {
		w.ownerSuspected = true
	}
}

// Grace returns for how long after a claim the owner before may still give orders.
func (w *Watch) Grace() time.Duration {
	if w.ownerSuspected && !w.ownerDead && !w.term.Released && w.quiet < w.config.ClaimTimeout {
		return w.config.OwnerTimeout
	}
	return 0
}

// Promise reports whether this instance can't claim the cell within the owner's timeout from now on, because the table has
// not answered for so long that the owner gets its whole time again.
func (w *Watch) Promise(now time.Time) bool {
	return w.read && !w.term.Released && !w.ownerDead && !w.ownerSuspected && now.Sub(w.answered) > w.config.MaxGap
}

// ShouldClaim reports whether the cell has no owner that renews its claim.
func (w *Watch) ShouldClaim() bool {
	if !w.read {
		return false
	}
	return w.term.Number == 0 || w.term.Released || w.ownerDead || w.quiet >= w.config.ClaimTimeout ||
		w.ownerSuspected && w.quiet >= w.config.SuspectTimeout
}

// Claim returns the transaction that makes next the owner. It fails if another instance has claimed the cell meanwhile, or
// if the owner has renewed its claim since: what a slow table answers may be older than the time at which it arrives.
func (w *Watch) Claim(next Term, part string, extra ...medlartable.Row) (medlartable.Transaction, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return medlartable.Transaction{}, errors.Wrap(err, "claim of an owner")
	}
	return medlartable.Transaction{
		Require: []medlartable.Row{
			{Table: Table, Part: part, Key: KeyTerm, Version: w.term.Version},
			{Table: Table, Part: part, Key: KeyBeat, Version: w.beat},
		},
		Put: append([]medlartable.Row{{Table: Table, Part: part, Key: KeyTerm, Value: value}}, extra...),
	}, nil
}
