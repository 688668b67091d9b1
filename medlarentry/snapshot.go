package medlarentry

import (
	"medlarwheel"
	"medlarwheel/medlardatacentre"
)

// snapshot is an immutable copy of the control state for request handling.
type snapshot struct {
	activeConfig
	groups  map[medlarwheel.DataCentreID]claimGroup
	members []medlardatacentre.Member
	// addresses holds the peer address of every known instance.
	addresses map[medlarwheel.InstanceID]string
	// replaced is closed when a newer snapshot has been published.
	replaced chan struct{}
}

// claimGroup is the group of voters that decides on the keys of one data centre.
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
	for _, voter := range g.voters {
		instances = append(instances, voter.instance)
	}
	return instances
}

func (g claimGroup) voterAddress(instance medlarwheel.InstanceID) string {
	for _, voter := range g.voters {
		if voter.instance == instance {
			return voter.address
		}
	}
	return ""
}

func (s *snapshot) peerAddress(instance medlarwheel.InstanceID) (string, bool) {
	address, ok := s.addresses[instance]
	return address, ok
}
