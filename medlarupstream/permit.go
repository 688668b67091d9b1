package medlarupstream

import (
	"time"

	"medlarwheel"
)

// Permit allows one request to run at an upstream until its deadline. It is released by Release or Router.Finish.
type Permit struct {
	share *share
	// borrowed is nil for an owned slot.
	borrowed *borrowedSlot
	index    int
	id       uint64
	trial    bool
}

// Acquire takes a slot of an upstream for a request with the given deadline: an owned slot if one is free, otherwise a
// borrowed one.
func (s *Shares) Acquire(now time.Time, id medlarwheel.UpstreamID, deadline time.Time) (Permit, bool) {
	s.advance(now)
	h, ok := s.shares[id]
	if !ok {
		return Permit{}, false
	}
	return s.acquire(now, h, deadline)
}

func (s *Shares) acquire(now time.Time, h *share, deadline time.Time) (Permit, bool) {
	if h.healthLimit(now) == 0 {
		return Permit{}, false
	}
	if s.membershipValid(now) && !deadline.After(now.Add(h.spec.MaxRequest)) {
		for i := range h.slots[:min(h.limit, len(h.slots))] {
			if sl := &h.slots[i]; sl.isFree(now) {
				p := s.newPermit(now, h, i)
				sl.busy, sl.permitID = true, p.id
				s.refresh(now, h)
				return p, true
			}
		}
	}
	for _, l := range h.borrowed {
		if l.index < h.limit && l.isUsable(now) && !deadline.After(l.latestDeadline) {
			p := s.newPermit(now, h, l.index)
			p.borrowed, l.busy, l.permitID = l, true, p.id
			s.refresh(now, h)
			return p, true
		}
	}
	return Permit{}, false
}

func (s *Shares) newPermit(now time.Time, h *share, index int) Permit {
	s.lastID++
	h.inFlight++
	p := Permit{share: h, index: index, id: s.lastID, trial: h.health.State(now) == HealthTrial}
	if p.trial {
		h.health.BeginTrial()
	}
	return p
}

// Release releases a permit after its request has ended. Releasing it again has no effect.
func (s *Shares) Release(now time.Time, p Permit) {
	s.advance(now)
	if s.release(now, p) {
		if p.trial {
			p.share.health.Observe(now, EventNone, true)
		}
		s.refresh(now, p.share)
		s.discardUnused(p.share)
	}
}

func (s *Shares) release(now time.Time, p Permit) bool {
	switch {
	case p.share == nil:
		return false
	case p.borrowed != nil:
		if !p.borrowed.busy || p.borrowed.permitID != p.id {
			return false
		}
		p.borrowed.busy, p.borrowed.lastUsed = false, now
	default:
		sl := &p.share.slots[p.index]
		if !sl.busy || sl.permitID != p.id {
			return false
		}
		sl.busy = false
	}
	p.share.inFlight--
	return true
}
