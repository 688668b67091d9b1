package medlarquota

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"medlarwheel"
)

// Ledger is the row with what the teams of a shard of jobs have. Every transaction that commits or releases tasks of the
// shard writes it, so that two owners of the shard never admit at the same time.
type Ledger struct {
	key    string
	expect medlarwheel.RowVersion
	row    ledgerRow
}

type ledgerRow struct {
	// Token is the highest token of an owner that has written the row.
	Token medlarwheel.FencingToken `json:"token"`
	// Usages lists what is used, ordered by team, account and template.
	Usages []Usage `json:"uses,omitempty"`
}

// ErrQuotaExceeded means that an admission would exceed a quota.
var ErrQuotaExceeded = errors.New("quota is exceeded")

// LedgerKey returns the key of the ledger of a shard of jobs.
func LedgerKey(dc medlarwheel.DataCentreID, shard fmt.Stringer) string {
	return fmt.Sprintf("quota/%s.%s", dc, shard)
}

// NewLedger returns the ledger of a shard that has none yet.
func NewLedger(key string) *Ledger { return &Ledger{key: key} }

// DecodeLedger reads the row of a ledger.
func DecodeLedger(row medlarwheel.Row) (*Ledger, error) {
	step := "decode row " + row.Key
	if row.Deleted || row.Version == 0 {
		return nil, medlarwheel.WithOperation(step, "", medlarwheel.ErrNotFound)
	}
	l := &Ledger{key: row.Key, expect: row.Version}
	if err := json.Unmarshal(row.Value, &l.row); err != nil {
		return nil, medlarwheel.WithOperation(step, "", err)
	}
	if !slices.IsSortedFunc(l.row.Usages, compareUsages) {
		return nil, medlarwheel.WithOperation(step, "", errors.New("uses are not in order"))
	}
	return l, nil
}

// Limits are the quotas that an admission has to keep.
type Limits struct {
	Team     medlarwheel.Resources
	Account  medlarwheel.Resources
	Template medlarwheel.Resources
}

// Charge admits a use if it keeps the limits. token is the token of the owner of the shard.
func (l *Ledger) Charge(use Usage, limits Limits, token medlarwheel.FencingToken) error {
	if err := l.checkToken(token); err != nil {
		return err
	}
	team, account, template := use.Resources, use.Resources, use.Resources
	for i := range l.row.Usages {
		u := &l.row.Usages[i]
		if u.Team != use.Team {
			continue
		}
		team = team.Plus(u.Resources)
		if u.Account == use.Account {
			account = account.Plus(u.Resources)
			if u.Template == use.Template {
				template = template.Plus(u.Resources)
			}
		}
	}
	if !WithinQuota(team, limits.Team) || !WithinQuota(account, limits.Account) || !WithinQuota(template, limits.Template) {
		return medlarwheel.WithOperation("admit for account "+string(use.Account), "", ErrQuotaExceeded)
	}
	at, found := slices.BinarySearchFunc(l.row.Usages, use, compareUsages)
	if !found {
		l.row.Usages = slices.Insert(l.row.Usages, at, use)
		return nil
	}
	l.row.Usages[at].Resources = l.row.Usages[at].Resources.Plus(use.Resources)
	return nil
}

// Refund counts what a released task gives back.
func (l *Ledger) Refund(use Usage, token medlarwheel.FencingToken) error {
	if err := l.checkToken(token); err != nil {
		return err
	}
	at, found := slices.BinarySearchFunc(l.row.Usages, use, compareUsages)
	if !found || !use.Resources.Fits(l.row.Usages[at].Resources) {
		return medlarwheel.WithOperation("refund account "+string(use.Account), "", medlarwheel.ErrNotFound)
	}
	l.row.Usages[at].Resources = l.row.Usages[at].Resources.Minus(use.Resources)
	if l.row.Usages[at].Resources.IsZero() {
		l.row.Usages = slices.Delete(l.row.Usages, at, at+1)
	}
	return nil
}

// Usages lists what is used. The caller must not change it.
func (l *Ledger) Usages() []Usage { return l.row.Usages }

// Write returns the compare-and-set write of the row with all changes.
func (l *Ledger) Write() (medlarwheel.Write, error) {
	value, err := json.Marshal(&l.row)
	return medlarwheel.Write{Key: l.key, ExpectedVersion: l.expect, Value: value}, errors.Wrap(err, "encode ledger")
}

func (l *Ledger) checkToken(token medlarwheel.FencingToken) error {
	if token < l.row.Token {
		return medlarwheel.WithOperation("change ledger", "", medlarwheel.ErrStale)
	}
	l.row.Token = token
	return nil
}

func compareUsages(a, b Usage) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Account, b.Account), cmp.Compare(a.Template, b.Template))
}
