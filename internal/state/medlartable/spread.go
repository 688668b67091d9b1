package medlartable

import (
	"fmt"
	"hash/fnv"
	"slices"

	"golang.org/x/sync/errgroup"

	"medlarwheel"
)

// PartitionedTable is a table whose rows are spread over parts by key, because the table carries out the transactions of one part one
// after another.
type PartitionedTable struct {
	Table string
	// Prefix starts the name of each part.
	Prefix string
	Parts  uint32
}

// Part returns the part that holds the rows with the key.
func (s PartitionedTable) Part(key string) string {
	h := fnv.New32a()
	// A hash never fails to write.
	_, _ = h.Write([]byte(key))
	return s.part(h.Sum32() % s.Parts)
}

func (s PartitionedTable) part(n uint32) string { return fmt.Sprintf("%s-%d", s.Prefix, n) }

// Ranges selects all rows, a range for each part.
func (s PartitionedTable) Ranges() []Range {
	ranges := make([]Range, 0, s.Parts)
	for n := range s.Parts {
		ranges = append(ranges, Range{Table: s.Table, Part: s.part(n)})
	}
	return ranges
}

// maxConcurrentReads bounds the reads at a time, below the number of connections to the table.
const maxConcurrentReads = 12

// ReadAll reads all parts, and returns the version from which all their changes can be followed.
func (s PartitionedTable) ReadAll(read func(r Range) ([]Row, medlarwheel.RowVersion, error)) ([]Row, medlarwheel.RowVersion, error) {
	ranges := s.Ranges()
	rows := make([][]Row, len(ranges))
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
