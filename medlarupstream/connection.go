package medlarupstream

import (
	"time"

	"medlarwheel"
)

// ConnectionLimit returns the number of connections that this instance may have open to an upstream now. Each owned slot
// contributes an equal fraction of the upstream's connections. A lent slot passes one of them on to the borrower. While the
// instance may not use an owned slot, that slot contributes a connection only for a request in flight.
func (s *Shares) ConnectionLimit(now time.Time, id medlarwheel.UpstreamID) medlarwheel.Connections {
	s.advance(now)
	h, ok := s.shares[id]
	if !ok {
		return 0
	}
	perSlot := h.spec.Connections / medlarwheel.Connections(max(1, h.spec.Slots))
	var limit medlarwheel.Connections
	for i := range h.slots {
		sl := &h.slots[i]
		switch {
		case !sl.owned || sl.awaitsAdoption || now.Before(sl.usableAt) || !s.membershipValid(now):
			if sl.busy {
				limit++
			}
		case sl.lent != nil:
			limit += perSlot - 1
		default:
			limit += perSlot
		}
	}
	for _, l := range h.borrowed {
		if l.busy || l.isUsable(now) {
			limit++
		}
	}
	return limit
}

// AddConnection counts a new connection to an upstream and returns true, or returns false if the limit does not allow it.
func (s *Shares) AddConnection(now time.Time, id medlarwheel.UpstreamID) bool {
	h, ok := s.shares[id]
	if !ok || h.connections >= s.ConnectionLimit(now, id) {
		return false
	}
	h.connections++
	return true
}

// RemoveConnection counts a connection as closed.
func (s *Shares) RemoveConnection(id medlarwheel.UpstreamID) {
	if h, ok := s.shares[id]; ok {
		h.connections = max(0, h.connections-1)
	}
}

// ExcessConnections returns the number of idle connections to an upstream that must be closed.
func (s *Shares) ExcessConnections(now time.Time, id medlarwheel.UpstreamID) medlarwheel.Connections {
	h, ok := s.shares[id]
	if !ok {
		return 0
	}
	return max(0, h.connections-s.ConnectionLimit(now, id))
}
