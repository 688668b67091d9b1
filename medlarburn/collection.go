package medlarburn

import (
	"cmp"
	"slices"
	"time"

	"medlarwheel"
)

// DefaultMaxSnapshots is enough for 9 instances that restart three times a day each, over 3 days. With 500 pairs in all
// windows, 128 snapshots take 18 MB.
const DefaultMaxSnapshots = 128

// origin is one incarnation of an instance.
type origin struct {
	instance    medlarwheel.InstanceID
	incarnation medlarwheel.Incarnation
}

// Collection keeps the newest snapshot of each incarnation of each instance. Snapshots of earlier incarnations are kept
// for the longest window, because a restarted instance has lost its counts. The order of Add does not matter.
type Collection struct {
	limit     int
	snapshots map[origin]Counters
	dropped   int
}

// NewCollection returns an empty collection of at most limit snapshots.
func NewCollection(limit int) *Collection {
	return &Collection{limit: max(1, limit), snapshots: make(map[origin]Counters)}
}

// Add takes in a snapshot. One that is not newer than the snapshot already held of the same incarnation, or older than
// the longest window, changes nothing.
func (c *Collection) Add(now time.Time, s Counters) error {
	if err := s.Check().Err(); err != nil {
		return err
	}
	from := origin{instance: s.Instance, incarnation: s.Incarnation}
	if held, known := c.snapshots[from]; !known || held.Sequence < s.Sequence {
		c.snapshots[from] = s
	}
	c.prune(now)
	return nil
}

// prune drops snapshots beyond the longest window, and the oldest ones beyond the limit.
func (c *Collection) prune(now time.Time) {
	for from, s := range c.snapshots {
		if now.Sub(s.At) >= Window3Days.Length() {
			delete(c.snapshots, from)
		}
	}
	for len(c.snapshots) > c.limit {
		oldest := slices.MinFunc(c.Counters(), func(a, b Counters) int {
			return cmp.Or(a.At.Compare(b.At), a.compare(b.Source))
		})
		delete(c.snapshots, origin{instance: oldest.Instance, incarnation: oldest.Incarnation})
		c.dropped++
	}
}

// Dropped returns the number of snapshots that were dropped for want of room. Their results are missing from reports.
func (c *Collection) Dropped() int { return c.dropped }

// Counters returns the snapshots in order of instance and incarnation.
func (c *Collection) Counters() []Counters {
	all := make([]Counters, 0, len(c.snapshots))
	for _, s := range c.snapshots {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Counters) int { return a.compare(b.Source) })
	return all
}

func (s Source) compare(o Source) int {
	return cmp.Or(cmp.Compare(s.Instance, o.Instance), cmp.Compare(s.Incarnation, o.Incarnation), cmp.Compare(s.Sequence, o.Sequence))
}
