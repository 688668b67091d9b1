package medlarnode

import (
	"time"

	"medlarwheel"
	"medlarwheel/internal/state/medlartable"
)

// clocks relates the clocks of this instance, of the table and of the other instances.
type clocks struct {
	*medlartable.Clock
	node *Node
	// timeOfDay shows the time of day of this machine, which may be set at any moment.
	timeOfDay medlarwheel.Clock
}

func newClocks(n *Node, table *medlartable.Clock) clocks {
	return clocks{Clock: table, node: n, timeOfDay: medlarwheel.SystemClock{}}
}

// TimeOfDay returns the time of day by the median of the registered instances, so that a few wrong clocks do no harm.
func (c *clocks) TimeOfDay() time.Time {
	now := c.Now()
	if now == 0 {
		return c.timeOfDay.Now().Round(0)
	}
	n := c.node
	n.registry.mu.Lock()
	defer n.registry.mu.Unlock()
	return n.registry.instances.TimeOfDay(n.registry.lastReadAt, n.config.Settings.Instance, c.timeOfDayAtZero()).Add(time.Duration(now))
}

// timeOfDayAtZero returns the time of day by this machine's clock at which the table's clock was zero, or the zero time before the first
// response of the table.
func (c *clocks) timeOfDayAtZero() time.Time {
	now := c.Now()
	if now == 0 {
		return time.Time{}
	}
	return c.timeOfDay.Now().Round(0).Add(-time.Duration(now))
}
