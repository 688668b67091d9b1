// Package medlarinstance keeps the registry of instances in the platform's table, and ranks instances for the claim of a
// cell.
//
// Every instance renews a row of its own. An owner that can't renew its claim because the table is unavailable may continue
// to send orders while every registered instance has promised not to claim the cell.
//
// # Usage
//
//	registry := medlarinstance.NewRegistry(medlarinstance.DefaultConfig())
//	rows, version, err := medlarinstance.Read(store, cell)
//	err = registry.Replace(now, rows)
//	for _, peer := range registry.Live(lastResponse) { ... }
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

// Config configures the registry.
type Config struct {
	// RenewInterval is the time between two renewals of an instance's row.
	RenewInterval time.Duration
	// RetryInterval is the delay before a failed renewal is retried.
	RetryInterval time.Duration
	// Lifetime is how long an instance stays in the registry without a renewal.
	Lifetime time.Duration
}

// DefaultConfig returns the configuration for instances that are replaced within a minute.
func DefaultConfig() Config {
	return Config{RenewInterval: 5 * time.Second, RetryInterval: time.Second, Lifetime: 12 * time.Second}
}

// Instance is one registered instance.
type Instance struct {
	ID medlarwheel.InstanceID `json:"id"`
	// Address is the address at which other instances reach this one.
	Address string `json:"address"`
	// Process identifies the process, which changes when the instance restarts.
	Process string `json:"process"`
	// Power is the processing capacity of the instance in cores.
	Power float64 `json:"power"`
	// MemoryMB is the memory of the instance. Rows of earlier builds state none.
	MemoryMB int64 `json:"memory-mb,omitempty"`
	// Started is the start time of the process, on the clock of its instance.
	Started time.Time `json:"started"`
	// TimeOfDayAtZero is the time of day by the instance's clock at which the table's clock was zero. Instances that have had no response
	// of the table, and earlier builds, state none.
	TimeOfDayAtZero time.Time `json:"time-of-day-at-zero,omitzero"`
	// Since is the version of the table from which on the instance has been registered at its address without a gap, also by earlier
	// processes. Zero stands for that of the row. RenewedAt is when the row was sent, or earlier. Rows of earlier builds state neither.
	Since     medlarwheel.RowVersion `json:"since-version,omitempty"`
	RenewedAt medlarwheel.TableTime  `json:"renewed-at-table-ns,omitempty"`
}

// registryParts is the number of parts that hold the rows. A table that is a hundred times slower than usual applies about
// three transactions a second in each part, so that four parts serve the renewals of sixty instances. Submissions have other
// parts, since they would wait for the renewals.
const registryParts = 4

// partitionedTable returns the table with the registry of a cell.
func partitionedTable(cell string) medlartable.PartitionedTable {
	return medlartable.PartitionedTable{Table: Table, Prefix: cell + "-instances", Parts: registryParts}
}

// keyRow returns the row of an instance without a value.
func keyRow(cell string, id medlarwheel.InstanceID) medlartable.Row {
	return medlartable.Row{Table: Table, Part: partitionedTable(cell).Part(string(id)), Key: string(id)}
}

// Row encodes the row with which an instance registers.
func Row(cell string, i Instance) (medlartable.Row, error) {
	row := keyRow(cell, i.ID)
	value, err := json.Marshal(i)
	row.Value = value
	return row, errors.Wrapf(err, "encode the registry row of instance %s", i.ID)
}

// Put returns the transaction that stores the row of an instance in place of the one with the given version, or of none if that is zero.
func Put(cell string, i Instance, replaced medlarwheel.RowVersion) (medlartable.Transaction, error) {
	row, err := Row(cell, i)
	before := keyRow(cell, i.ID)
	before.Version = replaced
	return medlartable.Transaction{Require: []medlartable.Row{before}, Put: []medlartable.Row{row}}, err
}

// Remove returns the transaction that removes an instance from the registry, if its row still has the given version. The table may carry
// it out late, when the next process of the instance has registered.
func Remove(cell string, id medlarwheel.InstanceID, version medlarwheel.RowVersion) medlartable.Transaction {
	row := keyRow(cell, id)
	row.Version = version
	return medlartable.Transaction{Require: []medlartable.Row{row}, Remove: []medlartable.Row{keyRow(cell, id)}}
}

// Read returns the rows of all instances of a cell, and a version of the table as of which they include every instance.
func Read(reader medlartable.Reader, cell string) ([]medlartable.Row, medlarwheel.RowVersion, error) {
	return medlartable.ReadParts(partitionedTable(cell), func(r medlartable.Range) ([]medlartable.Row, medlarwheel.RowVersion, error) {
		return medlartable.ReadAll(reader, r)
	})
}

// Decode decodes and checks a row of the registry.
func Decode(r medlartable.Row) (Instance, error) {
	var i Instance
	if err := json.Unmarshal(r.Value, &i); err != nil {
		return i, errors.Wrapf(err, "decode the registry row of instance %s", r.Key)
	}
	return i, errors.Wrapf(medlarwheel.CheckAddress("address", i.Address).Err(), "registry row of instance %s is invalid", r.Key)
}

// Registry is the list of known instances.
type Registry struct {
	config  Config
	entries map[medlarwheel.InstanceID]entry
}

type entry struct {
	instance Instance
	version  medlarwheel.RowVersion
	seenAt   time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry(c Config) *Registry {
	return &Registry{config: c, entries: map[medlarwheel.InstanceID]entry{}}
}

// Replace replaces all entries with the rows of the table. An instance counts as renewed if the version of its row has
// changed. Rows that can't be decoded are skipped, and the last such error is returned.
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

// Len returns the number of instances, including those that have stopped renewing.
func (g *Registry) Len() int { return len(g.entries) }

// Live returns the instances whose last renewal is at most Lifetime older than lastResponse, the time at which the table last
// responded. Instances therefore do not expire during an outage of the table.
func (g *Registry) Live(lastResponse time.Time) []Instance {
	var live []Instance
	for _, e := range g.entries {
		if lastResponse.Sub(e.seenAt) <= g.config.Lifetime {
			live = append(live, e.instance)
		}
	}
	return live
}

// All returns all instances, including those that have stopped renewing.
func (g *Registry) All() []Instance {
	all := make([]Instance, 0, len(g.entries))
	for _, e := range g.entries {
		all = append(all, e.instance)
	}
	return all
}

// startTimeGranularity is the unit to which start times are rounded down, so that instances started together rank equally.
const startTimeGranularity = 10 * time.Second

// ClaimRank returns the rank, from 0, of an instance in the order in which instances claim a cell after the process of
// the owner of a term has ended. Instances with more power rank first, and then those that started last: in a rolling
// restart they are not stopped again soon. The remaining order differs from term to term, so that the same failed
// instance is not first every time.
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
	for rank, i := range ordered {
		if i.ID == self {
			return rank
		}
	}
	return len(ordered)
}

// tieBreak returns a hash that orders instances differently for each term.
func (i *Instance) tieBreak(term uint64) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%d %s", term, i.ID))
}

// LeastMemoryMB returns the memory of the smallest instance that is live as of lastResponse, or own if that is less. Zero stands for an
// instance that does not state its memory.
func (g *Registry) LeastMemoryMB(lastResponse time.Time, own int64) int64 {
	least := own
	for _, i := range g.Live(lastResponse) {
		least = min(least, i.MemoryMB)
	}
	return max(0, least)
}

// MaxPower returns the highest power of the instances, or zero if there are none.
func MaxPower(instances []Instance) float64 {
	power := 0.0
	for _, i := range instances {
		power = max(power, i.Power)
	}
	return power
}
