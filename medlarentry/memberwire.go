package medlarentry

import (
	"medlarwheel"
	"medlarwheel/medlardatacentre"
	"medlarwheel/medlaroperator"
	"medlarwheel/medlarpeer/peerpb"
	"medlarwheel/medlarupstream"
)

func memberToWire(m *medlardatacentre.Member) *peerpb.Member {
	return &peerpb.Member{
		Instance: string(m.ID), DataCentre: string(m.DataCentre), PeerAddress: m.PeerAddress,
		Incarnation: uint64(m.Incarnation), Heartbeat: m.Heartbeat, Leaving: m.State == medlarwheel.StateLeaving,
	}
}

func membersToWire(members []medlardatacentre.Member) []*peerpb.Member {
	wire := make([]*peerpb.Member, 0, len(members))
	for i := range members {
		wire = append(wire, memberToWire(&members[i]))
	}
	return wire
}

// membersFromWire reads a digest. Entries that do not pass their checks are left out.
func membersFromWire(wire []*peerpb.Member) []medlardatacentre.Member {
	members := make([]medlardatacentre.Member, 0, len(wire))
	for _, w := range wire {
		m := medlardatacentre.Member{
			EntryInstance: medlarwheel.EntryInstance{
				ID: medlarwheel.InstanceID(w.Instance), DataCentre: medlarwheel.DataCentreID(w.DataCentre),
				PeerAddress: w.PeerAddress, Incarnation: medlarwheel.Incarnation(w.Incarnation), State: medlarwheel.StateLive,
			},
			Heartbeat: w.Heartbeat,
		}
		if w.Leaving {
			m.State = medlarwheel.StateLeaving
		}
		if len(m.Check()) == 0 {
			members = append(members, m)
		}
	}
	return members
}

func observationsToWire(observations []medlarupstream.Observation) []*peerpb.UpstreamObservation {
	wire := make([]*peerpb.UpstreamObservation, 0, len(observations))
	for _, o := range observations {
		wire = append(wire, &peerpb.UpstreamObservation{
			Upstream: string(o.Upstream), Incarnation: uint64(o.Incarnation), Leaving: o.Leaving,
		})
	}
	return wire
}

func memberOf(m *medlardatacentre.Member, self medlarwheel.InstanceID) medlaroperator.Member {
	return medlaroperator.Member{EntryInstance: m.EntryInstance, Status: string(m.Status), Self: m.ID == self}
}
