package medlardatacentre

import (
	"maps"
	"slices"
	"time"

	"medlarwheel"
)

// ShareHold is the time after which the slot share of a removed member may be reused, counted by each observer from when
// it first saw the removal. A member without contact stops using its share after 8 s.
const ShareHold = 10 * time.Second

// RosterMap holds the latest roster of each data centre.
type RosterMap struct {
	entries map[medlarwheel.DataCentreID]*rosterEntry
}

type removal struct {
	instance medlarwheel.InstanceID
	epoch    medlarwheel.Epoch
}

type rosterEntry struct {
	roster Roster
	// seen holds when this observer first saw each removal.
	seen map[removal]time.Time
}

// NewRosterMap returns an empty map.
func NewRosterMap() *RosterMap {
	return &RosterMap{entries: make(map[medlarwheel.DataCentreID]*rosterEntry)}
}

// Merge takes over a roster with a higher epoch than the known one, and reports whether it did.
func (m *RosterMap) Merge(now time.Time, roster Roster) bool {
	known := m.entries[roster.DataCentre]
	if known != nil && roster.Epoch <= known.roster.Epoch {
		return false
	}
	next := &rosterEntry{roster: roster, seen: make(map[removal]time.Time, len(roster.Removed))}
	for _, r := range roster.Removed {
		key := removal{instance: r.Instance, epoch: r.RemovedEpoch}
		next.seen[key] = now
		if known == nil {
			continue
		}
		if first, seen := known.seen[key]; seen {
			next.seen[key] = first
		}
	}
	m.entries[roster.DataCentre] = next
	return true
}

// Roster returns the latest roster of the data centre.
func (m *RosterMap) Roster(dc medlarwheel.DataCentreID) (Roster, bool) {
	e, known := m.entries[dc]
	if !known {
		return Roster{}, false
	}
	return e.roster, true
}

// Epoch returns the epoch of the data centre's roster, or zero without one.
func (m *RosterMap) Epoch(dc medlarwheel.DataCentreID) medlarwheel.Epoch {
	roster, _ := m.Roster(dc)
	return roster.Epoch
}

// Seats returns the instances of the data centre's claim group in the order in which ballots ask them.
func (m *RosterMap) Seats(dc medlarwheel.DataCentreID) []medlarwheel.InstanceID {
	roster, _ := m.Roster(dc)
	return instances(roster.Seats)
}

// DataCentres returns the data centres with a roster, in order.
func (m *RosterMap) DataCentres() []medlarwheel.DataCentreID {
	return slices.Sorted(maps.Keys(m.entries))
}

// Held returns the removed members of the data centre whose slot shares must not be reused yet, in order.
func (m *RosterMap) Held(dc medlarwheel.DataCentreID, now time.Time) []medlarwheel.InstanceID {
	e, known := m.entries[dc]
	if !known {
		return nil
	}
	var held []medlarwheel.InstanceID
	for key, first := range e.seen {
		if now.Sub(first) < ShareHold {
			held = append(held, key.instance)
		}
	}
	slices.Sort(held)
	return held
}
