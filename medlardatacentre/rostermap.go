package medlardatacentre

import (
	"maps"
	"slices"

	"medlarwheel"
)

// RosterMap holds the latest roster of each data centre.
type RosterMap struct {
	rosters map[medlarwheel.DataCentreID]Roster
}

// NewRosterMap returns an empty map.
func NewRosterMap() *RosterMap {
	return &RosterMap{rosters: make(map[medlarwheel.DataCentreID]Roster)}
}

// Merge takes over a roster with a higher epoch than the known one, and reports whether it did.
func (m *RosterMap) Merge(roster Roster) bool {
	if roster.Epoch <= m.Epoch(roster.DataCentre) {
		return false
	}
	m.rosters[roster.DataCentre] = roster
	return true
}

// Roster returns the latest roster of the data centre.
func (m *RosterMap) Roster(dc medlarwheel.DataCentreID) (Roster, bool) {
	roster, known := m.rosters[dc]
	return roster, known
}

// Epoch returns the epoch of the data centre's roster, or zero without one.
func (m *RosterMap) Epoch(dc medlarwheel.DataCentreID) medlarwheel.Epoch { return m.rosters[dc].Epoch }

// Voters returns the instances of the data centre's claim group in the order in which ballots ask them.
func (m *RosterMap) Voters(dc medlarwheel.DataCentreID) []medlarwheel.InstanceID {
	return voterInstances(m.rosters[dc].Voters)
}

// All returns every roster, ordered by data centre.
func (m *RosterMap) All() []Roster {
	all := make([]Roster, 0, len(m.rosters))
	for _, dc := range slices.Sorted(maps.Keys(m.rosters)) {
		all = append(all, m.rosters[dc])
	}
	return all
}
