package medlardatacentre

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"medlarwheel"
)

// RosterMember is one member.
type RosterMember struct {
	Instance    medlarwheel.InstanceID  `json:"instance"`
	Incarnation medlarwheel.Incarnation `json:"incarnation"`
	PeerAddress string                  `json:"peer-address"`
}

// Roster names the members and seats of a data centre.
type Roster struct {
	DataCentre medlarwheel.DataCentreID `json:"data-centre"`
	Epoch      medlarwheel.Epoch        `json:"epoch"`
	Members    []RosterMember           `json:"members"`
	Seats      []medlarwheel.InstanceID `json:"seats"`
}

// DecodeRoster reads a roster.
func DecodeRoster(data []byte) (Roster, error) {
	var r Roster
	err := json.Unmarshal(data, &r)
	return r, err
}

// PlanRoster plans the next roster.
func PlanRoster(current Roster, members []Member, _ time.Time) (Roster, bool) {
	next := Roster{DataCentre: current.DataCentre, Epoch: current.Epoch + 1}
	for _, m := range members {
		if m.DataCentre == current.DataCentre && (m.Status == StatusAlive || m.Status == StatusSuspect) {
			next.Members = append(next.Members, RosterMember{m.ID, m.Incarnation, m.PeerAddress})
		}
	}
	for _, m := range next.Members {
		if len(next.Seats) < 3 {
			next.Seats = append(next.Seats, m.Instance)
		}
	}
	return next, !slices.Equal(next.Members, current.Members)
}

// RosterMap holds the latest rosters.
type RosterMap struct {
	rosters map[medlarwheel.DataCentreID]Roster
}

// NewRosterMap returns an empty map.
func NewRosterMap() *RosterMap { return &RosterMap{rosters: map[medlarwheel.DataCentreID]Roster{}} }

// Merge takes a roster of a higher epoch.
func (m *RosterMap) Merge(r Roster) bool {
	if r.Epoch <= m.rosters[r.DataCentre].Epoch {
		return false
	}
	m.rosters[r.DataCentre] = r
	return true
}

// Roster returns a roster.
func (m *RosterMap) Roster(dc medlarwheel.DataCentreID) Roster { return m.rosters[dc] }

// All returns every roster.
func (m *RosterMap) All() []Roster { return slices.Collect(maps.Values(m.rosters)) }
