package medlarburnrate

import (
	"cmp"
	"slices"
	"time"

	"medlarwheel"
)

// DefaultMaxSnapshots is sufficient for 9 instances that each restart three times a day, over 3 days. With 500 series in
// all windows, 128 snapshots take 18 MB.
const DefaultMaxSnapshots = 128

// sourceKey identifies one incarnation of an instance.
type sourceKey struct {
	instance    medlarwheel.InstanceID
	incarnation medlarwheel.Incarnation
}

// SnapshotSet keeps the newest snapshot of each incarnation of each instance. Snapshots of earlier incarnations are kept
// for the longest window, because an instance loses its counts when it restarts. The order of Add does not matter.
type SnapshotSet struct {
	limit     int
	snapshots map[sourceKey]Snapshot
	dropped   int
}

// NewSnapshotSet returns an empty set of at most limit snapshots.
func NewSnapshotSet(limit int) *SnapshotSet {
	return &SnapshotSet{limit: max(1, limit), snapshots: make(map[sourceKey]Snapshot)}
}

// Add adds a snapshot. A snapshot that is not newer than the one already held of the same incarnation, or that is older
// than the longest window, is ignored.
func (set *SnapshotSet) Add(now time.Time, s Snapshot) error {
	if err := s.Check().Err(); err != nil {
		return err
	}
	key := sourceKey{instance: s.Instance, incarnation: s.Incarnation}
	if held, known := set.snapshots[key]; !known || held.Sequence < s.Sequence {
		set.snapshots[key] = s
	}
	set.prune(now)
	return nil
}

// prune removes snapshots older than the longest window, and then the oldest ones in excess of the limit.
func (set *SnapshotSet) prune(now time.Time) {
	for key, s := range set.snapshots {
		if now.Sub(s.At) >= Window3Days.Length() {
			delete(set.snapshots, key)
		}
	}
	for len(set.snapshots) > set.limit {
		oldest := slices.MinFunc(set.Snapshots(), func(a, b Snapshot) int {
			return cmp.Or(a.At.Compare(b.At), a.compare(b.Source))
		})
		delete(set.snapshots, sourceKey{instance: oldest.Instance, incarnation: oldest.Incarnation})
		set.dropped++
	}
}

// Dropped returns the number of snapshots that were removed to stay within the limit. Their results are missing from
// reports.
func (set *SnapshotSet) Dropped() int { return set.dropped }

// Snapshots returns the snapshots ordered by instance and incarnation.
func (set *SnapshotSet) Snapshots() []Snapshot {
	all := make([]Snapshot, 0, len(set.snapshots))
	for _, s := range set.snapshots {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Snapshot) int { return a.compare(b.Source) })
	return all
}

func (s Source) compare(o Source) int {
	return cmp.Or(cmp.Compare(s.Instance, o.Instance), cmp.Compare(s.Incarnation, o.Incarnation), cmp.Compare(s.Sequence, o.Sequence))
}
