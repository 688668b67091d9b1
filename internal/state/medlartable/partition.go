package medlartable

import (
	"fmt"
	"hash/fnv"
	"slices"

	"golang.org/x/sync/errgroup"

	"medlarwheel"
)

// PartitionedTable distributes the rows of a table over parts by a hash of the key, because the table serialises the
// transactions of each part.
type PartitionedTable struct {
	Table string
	// Prefix is the prefix of the name of each part.
	Prefix string
	Parts  uint32
}

// Part returns the part that holds the rows with the given key.
func (t PartitionedTable) Part(key string) string {
	h := fnv.New32a()
	// Write of a hash never returns an error.
	_, _ = h.Write([]byte(key))
	return t.part(h.Sum32() % t.Parts)
}

func (t PartitionedTable) part(n uint32) string { return fmt.Sprintf("%s-%d", t.Prefix, n) }

// Ranges returns one range for each part, which together select all rows.
func (t PartitionedTable) Ranges() []Range {
	ranges := make([]Range, 0, t.Parts)
	for n := range t.Parts {
		ranges = append(ranges, Range{Table: t.Table, Part: t.part(n)})
	}
	return ranges
}

// maxConcurrentReads is below the number of connections to the table, so that other calls still find one.
const maxConcurrentReads = 12

// ReadParts reads all parts of a table concurrently. It returns what read returns for them and the version from which the changes of all
// parts can be followed.
func ReadParts[T any](t PartitionedTable, read func(r Range) ([]T, medlarwheel.RowVersion, error)) ([]T, medlarwheel.RowVersion, error) {
	ranges := t.Ranges()
	rows := make([][]T, len(ranges))
	versions := make([]medlarwheel.RowVersion, len(ranges))
	var group errgroup.Group
	group.SetLimit(maxConcurrentReads)
	for i, r := range ranges {
		group.Go(func() (err error) {
			rows[i], versions[i], err = read(r)
			return err
		})
	}
	err := group.Wait()
	return slices.Concat(rows...), slices.Min(versions), err
}
