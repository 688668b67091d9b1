package medlarownership

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/internal/state/medlartable"
)

// Names of the table and the keys of its rows.
const (
	Table      = "medlar-owner"
	KeyTerm    = "term"
	KeyRenewal = "beat"
)

// Term is the stored claim of an owner.
type Term struct {
	// Number counts the claims of the cell from 1.
	Number   uint64                 `json:"number"`
	Instance medlarwheel.InstanceID `json:"instance"`
	// Address is the address at which other instances reach the owner.
	Address string `json:"address"`
	// Process identifies the owner's process, which changes when the instance restarts.
	Process string `json:"process"`
	// Released is true once the owner has released the cell.
	Released bool `json:"released,omitempty"`
	// OutageLeases is the time after the release for which leases granted during a table outage may remain valid.
	OutageLeases time.Duration `json:"outage-leases-ns,omitempty"`
	// Lease is the longest lease that this owner or one before it has granted, and LeaseTail the longest time that one may
	// last beyond the end of its owner's authority. Instances with other settings, or of another build, take them into
	// account. They are zero in claims of builds that grant 3 s and 2.2 s.
	Lease     time.Duration `json:"lease-ns,omitempty"`
	LeaseTail time.Duration `json:"lease-tail-ns,omitempty"`
	// Grace is how long after the claim, or the release, an earlier owner may still send orders.
	Grace time.Duration `json:"grace-ns,omitempty"`
	// RegistryVersion is the version of the table of the claimant's copy of the instance registry. The owner asks no fewer instances for
	// promises than those in a copy of that version. Claims of earlier builds state none.
	RegistryVersion medlarwheel.RowVersion `json:"registry-version,omitempty"`
	// Version is the version of the row.
	Version medlarwheel.RowVersion `json:"-"`
}

// DecodeTerm decodes and checks a stored claim.
func DecodeTerm(r medlartable.Row) (Term, error) {
	var t Term
	if err := json.Unmarshal(r.Value, &t); err != nil {
		return t, errors.Wrapf(err, "decode the owner's claim in row %s/%s at version %d", r.Part, r.Key, r.Version)
	}
	t.Version = r.Version
	if t.Number == 0 {
		return t, errors.Errorf("owner's claim in row %s/%s at version %d: got term number 0, want at least 1",
			r.Part, r.Key, r.Version)
	}
	return t, errors.Wrapf(medlarwheel.CheckAddress("address", t.Address).Err(),
		"owner's claim in row %s/%s at version %d", r.Part, r.Key, r.Version)
}

// Renewal is a stored renewal.
type Renewal struct {
	// Timeout is how long after the renewal the owner may send orders.
	Timeout time.Duration `json:"timeout-ns"`
	// Term is the number of the owner's term. Renewals of earlier builds have none.
	Term uint64 `json:"term,omitempty"`
	// LeasesLeft is how long the leases of silent workers may still last. The owner extends none of them before a later
	// renewal without them is stored.
	LeasesLeft map[medlarwheel.WorkerID]time.Duration `json:"leases-left-ns,omitempty"`
	// RegistryVersion is like that of Term.
	RegistryVersion medlarwheel.RowVersion `json:"registry-version,omitempty"`
	// ConfirmedAt is when the last renewal before this one that the owner knows to be stored was sent, or earlier. The owner announces
	// outage leases only once that is OutageThreshold ago.
	ConfirmedAt medlarwheel.TableTime `json:"confirmed-at-ns,omitempty"`
	// OutageLeases is how long the outage leases that were granted before this renewal may still last. The owner grants none by promises
	// for which it had asked before.
	OutageLeases time.Duration `json:"outage-leases-ns,omitempty"`
}

// RenewalRow returns the row of a renewal.
func RenewalRow(part string, renewal Renewal) (medlartable.Row, error) {
	value, err := json.Marshal(renewal)
	return medlartable.Row{Table: Table, Part: part, Key: KeyRenewal, Value: value},
		errors.Wrapf(err, "encode the owner's renewal of cell %s", part)
}

// DecodeRenewal decodes and checks a stored renewal.
func DecodeRenewal(r medlartable.Row) (Renewal, error) {
	var renewal Renewal
	if err := json.Unmarshal(r.Value, &renewal); err != nil {
		return renewal, errors.Wrapf(err, "decode the owner's renewal in row %s/%s at version %d", r.Part, r.Key, r.Version)
	}
	if renewal.Timeout <= 0 {
		return renewal, errors.Errorf("owner's renewal in row %s/%s at version %d: got timeout %v, want more than 0",
			r.Part, r.Key, r.Version, renewal.Timeout)
	}
	return renewal, nil
}

// fencingTokensPerTerm is the number of fencing tokens that an owner may use during its term.
const fencingTokensPerTerm = 1 << 12

// FirstFencingToken returns the first fencing token of an owner whose claim has the given row version.
func FirstFencingToken(claim medlarwheel.RowVersion) medlarwheel.FencingToken {
	return medlarwheel.FencingToken(uint64(claim) * fencingTokensPerTerm)
}
