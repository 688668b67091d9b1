package medlarupstream

import (
	"time"

	"medlarwheel"
)

// Permit is the right to run one request at an upstream until its deadline. It is given back by Release.
type Permit struct {
	share *share
	// loan is nil for an own slot.
	loan   *loan
	index  int
	serial uint64
	trial  bool
}

// Acquire takes a slot of an upstream for a request with a deadline: an own slot if one is free, a borrowed one otherwise.
func (s *Shares) Acquire(now time.Time, id medlarwheel.UpstreamID, deadline time.Time) (Permit, bool) {
	s.advance(now)
	h, ok := s.shares[id]
	if !ok {
		return Permit{}, false
	}
	return s.acquire(now, h, deadline)
}

func (s *Shares) acquire(now time.Time, h *share, deadline time.Time) (Permit, bool) {
	if h.allowed(now) == 0 {
		return Permit{}, false
	}
	if s.standing(now) && !deadline.After(now.Add(h.spec.MaxRequest)) {
		for i := range h.slots[:min(h.limit, len(h.slots))] {
			if sl := &h.slots[i]; sl.free(now) {
				p := s.permit(now, h, i)
				sl.busy, sl.serial = true, p.serial
				s.refresh(now, h)
				return p, true
			}
		}
	}
	for _, l := range h.loans {
		if l.index < h.limit && l.usable(now) && !deadline.After(l.endBy) {
			p := s.permit(now, h, l.index)
			p.loan, l.busy, l.serial = l, true, p.serial
			s.refresh(now, h)
			return p, true
		}
	}
	return Permit{}, false
}

func (s *Shares) permit(now time.Time, h *share, index int) Permit {
	s.serial++
	h.inFlight++
	p := Permit{share: h, index: index, serial: s.serial, trial: h.health.State(now) == HealthTrial}
	if p.trial {
		h.health.Begin()
	}
	return p
}

// Release gives a permit back after its request has ended. A second release changes nothing.
func (s *Shares) Release(now time.Time, p Permit) {
	s.advance(now)
	if s.release(now, p) {
		if p.trial {
			p.share.health.Observe(now, EventNone, true)
		}
		s.refresh(now, p.share)
		s.forget(p.share)
	}
}

func (s *Shares) release(now time.Time, p Permit) bool {
	switch {
	case p.share == nil:
		return false
	case p.loan != nil:
		if !p.loan.busy || p.loan.serial != p.serial {
			return false
		}
		p.loan.busy, p.loan.lastUsed = false, now
	default:
		sl := &p.share.slots[p.index]
		if !sl.busy || sl.serial != p.serial {
			return false
		}
		sl.busy = false
	}
	p.share.inFlight--
	return true
}
