package medlarquota

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"medlarwheel"
)

// Ledger is the stored row with the resources that the teams of a shard of jobs use. Every transaction that commits or
// releases tasks of the shard writes it with compare-and-set, so two owners of the shard cannot both admit tasks.
type Ledger struct {
	key             string
	expectedVersion medlarwheel.RowVersion
	row             ledgerRow
}

type ledgerRow struct {
	// Token is the highest fencing token of the owners that have written the row.
	Token medlarwheel.FencingToken `json:"token"`
	// Usages is sorted by team, account and template.
	Usages []Usage `json:"uses,omitempty"`
}

// ErrQuotaExceeded means that admitting a task would exceed a quota.
var ErrQuotaExceeded = errors.New("quota exceeded")

// LedgerKey returns the row key of the ledger of a shard of jobs.
func LedgerKey(dc medlarwheel.DataCentreID, shard fmt.Stringer) string {
	return fmt.Sprintf("quota/%s.%s", dc, shard)
}

// NewLedger returns an empty ledger for a shard whose ledger has not been stored yet.
func NewLedger(key string) *Ledger { return &Ledger{key: key} }

// DecodeLedger decodes a stored ledger. It returns ErrNotFound for a row that is deleted or was never written.
func DecodeLedger(row medlarwheel.Row) (*Ledger, error) {
	operation := "decode quota ledger " + row.Key
	if row.Deleted || row.Version == 0 {
		return nil, medlarwheel.WithOperation(operation, "", medlarwheel.ErrNotFound)
	}
	l := &Ledger{key: row.Key, expectedVersion: row.Version}
	if err := json.Unmarshal(row.Value, &l.row); err != nil {
		return nil, medlarwheel.WithOperation(operation, "", err)
	}
	if !slices.IsSortedFunc(l.row.Usages, compareUsages) {
		return nil, medlarwheel.WithOperation(operation, "", errors.Errorf("%d usages, not sorted by team, account and template", len(l.row.Usages)))
	}
	return l, nil
}

// Limits are the quotas that apply to an admission.
type Limits struct {
	Team     medlarwheel.Resources
	Account  medlarwheel.Resources
	Template medlarwheel.Resources
}

// Charge adds a usage, or returns ErrQuotaExceeded if it would exceed one of the limits. token is the fencing token of the
// owner of the shard.
func (l *Ledger) Charge(usage Usage, limits Limits, token medlarwheel.FencingToken) error {
	if err := l.checkToken(token); err != nil {
		return err
	}
	team, account, template := usage.Resources, usage.Resources, usage.Resources
	for i := range l.row.Usages {
		u := &l.row.Usages[i]
		if u.Team != usage.Team {
			continue
		}
		team = team.Plus(u.Resources)
		if u.Account == usage.Account {
			account = account.Plus(u.Resources)
			if u.Template == usage.Template {
				template = template.Plus(u.Resources)
			}
		}
	}
	if !WithinQuota(team, limits.Team) || !WithinQuota(account, limits.Account) || !WithinQuota(template, limits.Template) {
		return medlarwheel.WithOperation(fmt.Sprintf("charge %+v to team %s, account %s, template %s with limits %+v",
			usage.Resources, usage.Team, usage.Account, usage.Template, limits), "", ErrQuotaExceeded)
	}
	at, found := slices.BinarySearchFunc(l.row.Usages, usage, compareUsages)
	if !found {
		l.row.Usages = slices.Insert(l.row.Usages, at, usage)
		return nil
	}
	l.row.Usages[at].Resources = l.row.Usages[at].Resources.Plus(usage.Resources)
	return nil
}

// Refund subtracts the usage of a released task. It returns ErrNotFound if the ledger does not hold that much.
func (l *Ledger) Refund(usage Usage, token medlarwheel.FencingToken) error {
	if err := l.checkToken(token); err != nil {
		return err
	}
	at, found := slices.BinarySearchFunc(l.row.Usages, usage, compareUsages)
	if !found || !usage.Resources.Fits(l.row.Usages[at].Resources) {
		return medlarwheel.WithOperation(fmt.Sprintf("refund %+v to team %s, account %s, template %s",
			usage.Resources, usage.Team, usage.Account, usage.Template), "", medlarwheel.ErrNotFound)
	}
	l.row.Usages[at].Resources = l.row.Usages[at].Resources.Minus(usage.Resources)
	if l.row.Usages[at].Resources.IsZero() {
		l.row.Usages = slices.Delete(l.row.Usages, at, at+1)
	}
	return nil
}

// Usages returns the recorded usages in order. The caller must not modify the slice.
func (l *Ledger) Usages() []Usage { return l.row.Usages }

// Write returns the compare-and-set write that stores the ledger.
func (l *Ledger) Write() (medlarwheel.Write, error) {
	value, err := json.Marshal(&l.row)
	return medlarwheel.Write{Key: l.key, ExpectedVersion: l.expectedVersion, Value: value}, errors.Wrapf(err, "encode quota ledger %s", l.key)
}

// checkToken rejects the token of a superseded owner and records the highest token seen.
func (l *Ledger) checkToken(token medlarwheel.FencingToken) error {
	if token < l.row.Token {
		return medlarwheel.WithOperation(fmt.Sprintf("change quota ledger %s with token %d, last written with token %d",
			l.key, token, l.row.Token), "", medlarwheel.ErrStale)
	}
	l.row.Token = token
	return nil
}

func compareUsages(a, b Usage) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Account, b.Account), cmp.Compare(a.Template, b.Template))
}
