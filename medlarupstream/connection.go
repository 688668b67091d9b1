package medlarupstream

import (
	"time"

	"medlarwheel"
)

// ConnectionLimit returns the number of connections that this instance may have open to an upstream now. Each own slot
// brings an equal part of the upstream's connections. A lent slot takes one of them along, for the borrower. While the
// own share is not usable, only its requests in flight keep a connection.
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

// AddConnection counts one more connection to an upstream, if the limit allows it.
func (s *Shares) AddConnection(now time.Time, id medlarwheel.UpstreamID) bool {
	h, ok := s.shares[id]
	if !ok || h.connections >= s.ConnectionLimit(now, id) {
		return false
	}
	h.connections++
	return true
}

// RemoveConnection counts one connection less.
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
