package medlarentry

import (
	"medlarwheel"
	"medlarwheel/medlardatacentre"
)

// snapshot is an immutable view of the control state for the traffic path.
type snapshot struct {
	contracts
	groups  map[medlarwheel.DataCentreID]claimGroup
	members []medlardatacentre.Member
	// addresses holds the peer address of every known instance.
	addresses map[medlarwheel.InstanceID]string
	// replaced is closed when a newer snapshot is there.
	replaced chan struct{}
}

// claimGroup is the group of seats that decides on the keys of one data centre.
type claimGroup struct {
	dataCentre medlarwheel.DataCentreID
	epoch      medlarwheel.Epoch
	seats      []groupSeat
}

type groupSeat struct {
	instance medlarwheel.InstanceID
	address  string
}

func (g claimGroup) instances() []medlarwheel.InstanceID {
	instances := make([]medlarwheel.InstanceID, 0, len(g.seats))
	for _, seat := range g.seats {
		instances = append(instances, seat.instance)
	}
	return instances
}

func (g claimGroup) address(seat medlarwheel.InstanceID) string {
	for _, s := range g.seats {
		if s.instance == seat {
			return s.address
		}
	}
	return ""
}

func (s *snapshot) peerAddress(instance medlarwheel.InstanceID) (string, bool) {
	address, ok := s.addresses[instance]
	return address, ok
}
