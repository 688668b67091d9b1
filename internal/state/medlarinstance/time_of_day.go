package medlarinstance

import (
	"slices"
	"time"

	"medlarwheel"
)

// TimeOfDay returns the time of day at which the table's clock was zero, by the median of the instances that are live as of lastResponse.
// own is that of the instance self at this moment. Of two clocks in the middle the one that is behind counts: a late start does less harm
// than one before its time.
func (g *Registry) TimeOfDay(lastResponse time.Time, self medlarwheel.InstanceID, own time.Time) time.Time {
	stated := []time.Time{own}
	for _, i := range g.Live(lastResponse) {
		if i.ID != self && !i.TimeOfDayAtZero.IsZero() {
			stated = append(stated, i.TimeOfDayAtZero)
		}
	}
	slices.SortFunc(stated, time.Time.Compare)
	return stated[(len(stated)-1)/2]
}
