package medlarcell

import (
	"slices"
	"time"
)

// stopIncompleteGang stops the members of a gang that still run after others have ended, were lost or could not be started. They work only
// together, and a worker on which no member has ended may not notice that one is missing.
func (c *Cell) stopIncompleteGang(now time.Time, s *step) {
	for i := range s.tasks {
		for _, r := range slices.Clone(s.tasks[i].runs) {
			c.stop(now, r)
		}
	}
}
