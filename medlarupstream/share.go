package medlarupstream

import (
	"time"

	"medlarwheel"
)

// Spec holds the limits of the upstreams of one service.
type Spec struct {
	// Slots is the number of requests that one upstream serves concurrently.
	Slots medlarwheel.Slots
	// Connections is the largest number of open connections to one upstream.
	Connections medlarwheel.Connections
	// MaxRequest is the longest time from the start of a request to its deadline. A slot whose user cannot be reached stays
	// reserved for this long.
	MaxRequest time.Duration
}

// slot is one slot of an upstream of the local data centre.
type slot struct {
	owned bool
	// awaitsAdoption tells that the slot has changed its owner and some member may not use the new roster epoch yet.
	awaitsAdoption bool
	// usableAt is the end of the cooldown. Before it, a previous owner may still use the slot.
	usableAt time.Time
	busy     bool
	permitID uint64
	lent     *lentSlot
}

func (s *slot) isFree(now time.Time) bool {
	return s.owned && !s.awaitsAdoption && !s.busy && s.lent == nil && !now.Before(s.usableAt)
}

// share is this instance's share of one upstream.
type share struct {
	upstream medlarwheel.Upstream
	spec     Spec
	pool     *pool
	// listed tells that the upstream may get new requests. Otherwise the share is kept until it is no longer in use.
	listed bool
	// discarded tells that the share no longer counts. A timer or a late response may still refer to it.
	discarded bool
	// slots is empty for upstreams of other data centres.
	slots    []slot
	borrowed []*borrowedSlot
	// limit is the number of slots that the measured latency allows. Slots with a lower index are used first.
	limit       int
	limited     bool // in Router.limited, because the limit is below the slots
	limiter     ConcurrencyLimiter
	health      *Health
	inFlight    int
	lent        int
	connections medlarwheel.Connections
	counts      slotCounts
	// ownedIndex and borrowedIndex are the indexes in the pool's sets, and timerIndex that in Shares.timers.
	ownedIndex    int
	borrowedIndex int
	timerIndex    int
	wakeAt        time.Time
}

// slotCounts is the contribution of one share to the totals of its pool.
type slotCounts struct {
	freeOwned    int
	freeBorrowed int
	owned        int
	inFlight     int
}

// pool holds the shares of one service in one data centre.
type pool struct {
	service    *service
	dataCentre medlarwheel.DataCentreID
	// withFreeOwned holds the shares with a free owned slot, and withFreeBorrowed those with a free borrowed slot.
	withFreeOwned    indexedSet
	withFreeBorrowed indexedSet
	total            slotCounts
	group            *HealthGroup
}

// service holds the pools of one service and the demand for it.
type service struct {
	name  medlarwheel.ServiceName
	spec  Spec
	pools []*pool // local data centre first
	// waiting is the number of requests that are queued for a slot, and maxRunTime the longest time until one of their
	// deadlines.
	waiting    int
	maxRunTime time.Duration
	// requested is the number of slots in loan requests without a response. nextLender rotates over the members that get
	// loan requests.
	requested  int
	nextLender int
}

func newPool(sv *service, centre medlarwheel.DataCentreID, c HealthConfig) *pool {
	return &pool{service: sv, dataCentre: centre, group: NewHealthGroup(c),
		withFreeOwned:    indexedSet{indexOf: func(h *share) *int { return &h.ownedIndex }},
		withFreeBorrowed: indexedSet{indexOf: func(h *share) *int { return &h.borrowedIndex }}}
}

// healthLimit returns how many of the slots may be used in view of the health of the upstream.
func (h *share) healthLimit(now time.Time) int {
	if !h.listed {
		return 0
	}
	switch h.health.State(now) {
	case HealthEjected:
		return 0
	case HealthTrial:
		return 1
	default:
		return len(h.slots) + len(h.borrowed)
	}
}

// refresh updates the pool and the timers after a change of h. It also ends expired loans.
func (s *Shares) refresh(now time.Time, h *share) {
	if h.discarded {
		return
	}
	var c slotCounts
	var wake time.Time
	wakeBy := func(at time.Time) {
		if at.After(now) && (wake.IsZero() || at.Before(wake)) {
			wake = at
		}
	}
	for i := range h.slots {
		sl := &h.slots[i]
		if sl.lent != nil && !now.Before(sl.lent.reservedUntil) {
			s.endLoan(sl)
		}
		if sl.lent != nil {
			wakeBy(sl.lent.reservedUntil)
		}
		if !sl.owned || sl.awaitsAdoption {
			continue
		}
		c.owned++
		wakeBy(sl.usableAt)
		if i < h.limit && sl.isFree(now) {
			c.freeOwned++
		}
	}
	for _, l := range h.borrowed {
		if l.index < h.limit && l.isUsable(now) {
			c.freeBorrowed++
			wakeBy(l.termEnd)
		}
	}
	allowed := h.healthLimit(now)
	c.freeOwned, c.freeBorrowed = min(c.freeOwned, allowed), min(c.freeBorrowed, allowed)
	if h.health.ejected {
		wakeBy(h.health.nextTrial)
	}
	c.inFlight = h.inFlight
	h.pool.updateCounts(h, c)
	s.timers.schedule(h, wake)
}

func (p *pool) updateCounts(h *share, c slotCounts) {
	p.total.freeOwned += c.freeOwned - h.counts.freeOwned
	p.total.freeBorrowed += c.freeBorrowed - h.counts.freeBorrowed
	p.total.owned += c.owned - h.counts.owned
	p.total.inFlight += c.inFlight - h.counts.inFlight
	h.counts = c
	p.withFreeOwned.set(h, c.freeOwned > 0)
	p.withFreeBorrowed.set(h, c.freeBorrowed > 0)
}
