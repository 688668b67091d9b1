package medlarentry

import (
	"medlarwheel"
	"medlarwheel/medlardatacentre"
)

// snapshot is an immutable view of the control state for the traffic path.
type snapshot struct {
	activeConfig
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
	voters     []groupVoter
}

type groupVoter struct {
	instance medlarwheel.InstanceID
	address  string
}

func (g claimGroup) voterInstances() []medlarwheel.InstanceID {
	instances := make([]medlarwheel.InstanceID, 0, len(g.voters))
	for _, seat := range g.voters {
		instances = append(instances, seat.instance)
	}
	return instances
}

func (g claimGroup) voterAddress(seat medlarwheel.InstanceID) string {
	for _, s := range g.voters {
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
