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
		Instance: string(m.Instance), DataCentre: string(m.DataCentre), PeerAddress: m.PeerAddress,
		Incarnation: uint64(m.Incarnation), Heartbeat: uint64(m.Heartbeat), Leaving: m.Leaving,
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
			Instance: medlarwheel.InstanceID(w.Instance), DataCentre: medlarwheel.DataCentreID(w.DataCentre),
			PeerAddress: w.PeerAddress, Incarnation: medlarwheel.Incarnation(w.Incarnation),
			Heartbeat: medlardatacentre.Heartbeat(w.Heartbeat), Leaving: w.Leaving,
		}
		if entry := entryInstance(&m); len(entry.Check()) == 0 {
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

func operatorMember(m *medlardatacentre.Member, self medlarwheel.InstanceID) medlaroperator.Member {
	return medlaroperator.Member{EntryInstance: entryInstance(m), Status: string(m.Status), Self: m.Instance == self}
}

func entryInstance(m *medlardatacentre.Member) medlarwheel.EntryInstance {
	entry := medlarwheel.EntryInstance{
		ID: m.Instance, DataCentre: m.DataCentre, PeerAddress: m.PeerAddress, Incarnation: m.Incarnation, State: medlarwheel.StateLive,
	}
	if m.Leaving {
		entry.State = medlarwheel.StateLeaving
	}
	return entry
}
