package medlarburnrate

import (
	"cmp"
	"slices"
	"time"

	"medlarwheel"
)

// DefaultMaxSnapshots is enough for 9 instances that restart three times a day each, over 3 days. With 500 pairs in all
// windows, 128 snapshots take 18 MB.
const DefaultMaxSnapshots = 128

// sourceKey is one incarnation of an instance.
type sourceKey struct {
	instance    medlarwheel.InstanceID
	incarnation medlarwheel.Incarnation
}

// SnapshotSet keeps the newest snapshot of each incarnation of each instance. Snapshots of earlier incarnations are kept
// for the longest window, because a restarted instance has lost its counts. The order of Add does not matter.
type SnapshotSet struct {
	limit     int
	snapshots map[sourceKey]Snapshot
	dropped   int
}

// NewSnapshotSet returns an empty collection of at most limit snapshots.
func NewSnapshotSet(limit int) *SnapshotSet {
	return &SnapshotSet{limit: max(1, limit), snapshots: make(map[sourceKey]Snapshot)}
}

// Add takes in a snapshot. One that is not newer than the snapshot already held of the same incarnation, or older than
// the longest window, changes nothing.
func (c *SnapshotSet) Add(now time.Time, s Snapshot) error {
	if err := s.Check().Err(); err != nil {
		return err
	}
	from := sourceKey{instance: s.Instance, incarnation: s.Incarnation}
	if held, known := c.snapshots[from]; !known || held.Sequence < s.Sequence {
		c.snapshots[from] = s
	}
	c.prune(now)
	return nil
}

// prune drops snapshots beyond the longest window, and the oldest ones beyond the limit.
func (c *SnapshotSet) prune(now time.Time) {
	for from, s := range c.snapshots {
		if now.Sub(s.At) >= Window3Days.Length() {
			delete(c.snapshots, from)
		}
	}
	for len(c.snapshots) > c.limit {
		oldest := slices.MinFunc(c.Snapshots(), func(a, b Snapshot) int {
			return cmp.Or(a.At.Compare(b.At), a.compare(b.Source))
		})
		delete(c.snapshots, sourceKey{instance: oldest.Instance, incarnation: oldest.Incarnation})
		c.dropped++
	}
}

// Dropped returns the number of snapshots that were dropped for want of room. Their results are missing from reports.
func (c *SnapshotSet) Dropped() int { return c.dropped }

// Snapshots returns the snapshots in order of instance and incarnation.
func (c *SnapshotSet) Snapshots() []Snapshot {
	all := make([]Snapshot, 0, len(c.snapshots))
	for _, s := range c.snapshots {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Snapshot) int { return a.compare(b.Source) })
	return all
}

func (s Source) compare(o Source) int {
	return cmp.Or(cmp.Compare(s.Instance, o.Instance), cmp.Compare(s.Incarnation, o.Incarnation), cmp.Compare(s.Sequence, o.Sequence))
}
