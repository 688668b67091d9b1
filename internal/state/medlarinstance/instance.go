// Package medlarinstance holds the register of instances in the platform's table, and the rule by which an owner that
// can't reach the table may go on.
//
// Every instance renews a row of its own. An owner that can't renew its claim may go on giving orders for as long as every
// registered instance has promised not to claim the cell.
//
// # Usage
//
//	register := medlarinstance.NewRegistry(medlarinstance.DefaultConfig())
//	rows, err := medlarinstance.Read(store, cell)
//	err = register.Replace(now, rows)
//	for _, peer := range register.Live(lastAnswer) { ... }
package medlarinstance

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/internal/state/medlartable"
)

// Table is the name of the table.
const Table = "medlar-instance"

// Config configures the register.
type Config struct {
	// RenewInterval is the time between two renewals of an instance's row.
	RenewInterval time.Duration
	// RetryInterval is the pause after a renewal that has failed.
	RetryInterval time.Duration
	// Lifetime is how long an instance stays in the register without a renewal.
	Lifetime time.Duration
}

// DefaultConfig returns the configuration for instances that are replaced within a minute.
func DefaultConfig() Config {
	return Config{RenewInterval: 5 * time.Second, RetryInterval: time.Second, Lifetime: 12 * time.Second}
}

// Instance is one registered instance.
type Instance struct {
	ID medlarwheel.InstanceID `json:"id"`
	// Address is where other instances reach it.
	Address string `json:"address"`
	Process string `json:"process"`
	// Power is the processor power of the instance in cores.
	Power float64 `json:"power"`
	// Started is when the process has started, on the clock of its instance.
	Started time.Time `json:"started"`
}

// registryParts is the number of parts over which the rows are spread. A table that is a hundred times slower than usual
// carries out some three transactions a second in each part, so that four serve the renewals of sixty instances. They are
// not among the parts of the submissions, which would wait for the renewals.
const registryParts = 4

// partitionedTable returns the table of the register of a cell.
func partitionedTable(cell string) medlartable.PartitionedTable {
	return medlartable.PartitionedTable{Table: Table, Prefix: cell + "-instances", Parts: registryParts}
}

// keyRow returns the row of an instance without its value.
func keyRow(cell string, id medlarwheel.InstanceID) medlartable.Row {
	return medlartable.Row{Table: Table, Part: partitionedTable(cell).Part(string(id)), Key: string(id)}
}

// Row returns the row by which an instance registers.
func Row(cell string, i Instance) (medlartable.Row, error) {
	row := keyRow(cell, i.ID)
	value, err := json.Marshal(i)
	row.Value = value
	return row, errors.Wrap(err, "instance row")
}

// Remove returns the transaction by which an instance leaves the register.
func Remove(cell string, id medlarwheel.InstanceID) medlartable.Transaction {
	return medlartable.Transaction{Remove: []medlartable.Row{keyRow(cell, id)}}
}

// Read returns the rows of all instances of a cell.
func Read(reader medlartable.Reader, cell string) ([]medlartable.Row, error) {
	rows, _, err := partitionedTable(cell).ReadAll(func(r medlartable.Range) ([]medlartable.Row, medlarwheel.RowVersion, error) {
		return medlartable.ReadAll(reader, r)
	})
	return rows, err
}

// Decode reads and checks a row.
func Decode(r medlartable.Row) (Instance, error) {
	var i Instance
	if err := json.Unmarshal(r.Value, &i); err != nil {
		return i, errors.Wrapf(err, "instance %s", r.Key)
	}
	return i, medlarwheel.CheckAddress("address", i.Address).Err()
}

// Registry is the list of instances.
type Registry struct {
	config  Config
	entries map[medlarwheel.InstanceID]entry
}

type entry struct {
	instance Instance
	version  medlarwheel.RowVersion
	seenAt   time.Time
}

// NewRegistry returns an empty register.
func NewRegistry(c Config) *Registry {
	return &Registry{config: c, entries: map[medlarwheel.InstanceID]entry{}}
}

// Replace takes in all rows of the table. An instance counts as renewed when the version of its row has changed.
func (g *Registry) Replace(now time.Time, rows []medlartable.Row) error {
	var failure error
	entries := make(map[medlarwheel.InstanceID]entry, len(rows))
	for _, r := range rows {
		i, err := Decode(r)
		if err != nil {
			failure = err
			continue
		}
		e := entry{instance: i, version: r.Version, seenAt: now}
		if before, known := g.entries[i.ID]; known && before.version == r.Version {
			e.seenAt = before.seenAt
		}
		entries[i.ID] = e
	}
	g.entries = entries
	return failure
}

// Len returns the number of instances in the register.
func (g *Registry) Len() int { return len(g.entries) }

// Live returns the instances that were renewed not too long before lastAnswer, when the table last answered. An outage of
// the table does not age them.
func (g *Registry) Live(lastAnswer time.Time) []Instance {
	var live []Instance
	for _, e := range g.entries {
		if lastAnswer.Sub(e.seenAt) <= g.config.Lifetime {
			live = append(live, e.instance)
		}
	}
	return live
}

// All returns all instances in the register.
func (g *Registry) All() []Instance {
	all := make([]Instance, 0, len(g.entries))
	for _, e := range g.entries {
		all = append(all, e.instance)
	}
	return all
}

// startTimeGranularity is the difference of start times that counts: instances that were started together are equals.
const startTimeGranularity = 10 * time.Second

// ClaimRank returns the place of an instance in the order in which instances claim a cell from the owner of a term, whose process
// has ended. Strong instances go first, and then those that were started last: when all instances are restarted in turn, such
// a one is not stopped again soon. The rest is a different order for each term, so that a failed instance is not the first
// one each time.
func ClaimRank(instances []Instance, self medlarwheel.InstanceID, ownerProcess string, term uint64) int {
	ordered := slices.DeleteFunc(slices.Clone(instances), func(i Instance) bool {
		return i.Process == ownerProcess && i.ID != self
	})
	slices.SortFunc(ordered, func(a, b Instance) int {
		return cmp.Or(
			cmp.Compare(b.Power, a.Power),
			b.Started.Truncate(startTimeGranularity).Compare(a.Started.Truncate(startTimeGranularity)),
			cmp.Compare(a.tieBreak(term), b.tieBreak(term)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	for turn, i := range ordered {
		if i.ID == self {
			return turn
		}
	}
	return len(ordered)
}

// tieBreak returns a number that orders instances differently for each term.
func (i *Instance) tieBreak(term uint64) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%d %s", term, i.ID))
}

// MaxPower returns the highest power among the instances, or zero if there are none.
func MaxPower(instances []Instance) float64 {
	power := 0.0
	for _, i := range instances {
		power = max(power, i.Power)
	}
	return power
}
