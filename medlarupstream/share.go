package medlarupstream

import (
	"time"

	"medlarwheel"
)

// Spec holds the limits of the upstreams of one service.
type Spec struct {
	// Slots is the number of requests that one upstream serves at a time.
	Slots medlarwheel.Slots
	// Connections bounds the open connections to one upstream.
	Connections medlarwheel.Connections
	// MaxRequest is the longest time from the start of a request to its deadline. Slots whose user cannot be asked stay
	// reserved for this long.
	MaxRequest time.Duration
}

// slot is one slot of an upstream of the own data centre.
type slot struct {
	owned bool
	// pending tells that the slot changed its owner and that some member may not know yet.
	pending bool
	// usableAt is the time before which a former owner may still use the slot.
	usableAt time.Time
	busy     bool
	serial   uint64
	lending  *lending
}

func (s *slot) free(now time.Time) bool {
	return s.owned && !s.pending && !s.busy && s.lending == nil && !now.Before(s.usableAt)
}

// share is what this instance holds of one upstream.
type share struct {
	upstream medlarwheel.Upstream
	spec     Spec
	pool     *pool
	// listed tells that the upstream may get new requests. The share of another is kept until nothing runs on it.
	listed bool
	// forgotten tells that the share no longer counts. A timer or a late answer may still refer to it.
	forgotten bool
	// slots is empty for upstreams of other data centres.
	slots []slot
	loans []*loan
	// limit is the number of slots, lowest first, that the measured latency allows.
	limit    int
	limited  bool // the Router raises the limit as time passes
	gradient Gradient
	health   *Health
	inFlight int
	lent     int
	open     medlarwheel.Connections
	counted  counts
	// ownPlace and loanPlace are the places in the pool's sets, and timerPlace that among the timers.
	ownPlace   int
	loanPlace  int
	timerPlace int
	wakeAt     time.Time
}

// counts is what one share adds to its pool.
type counts struct {
	freeOwn  int
	freeLoan int
	owned    int
	inFlight int
}

// pool holds the shares of one service in one data centre.
type pool struct {
	service *service
	centre  medlarwheel.DataCentreID
	// own and loan hold the shares with a free slot of the instance's own and with a free borrowed one.
	own   sampleSet
	loan  sampleSet
	total counts
	group *HealthGroup
}

// service holds the pools of one service and the demand for it.
type service struct {
	name  medlarwheel.ServiceName
	spec  Spec
	pools []*pool // the own data centre's first
	// waiting is the number of requests that wait for a slot, and run their longest time to the deadline.
	waiting int
	run     time.Duration
	// asked is the number of slots asked for and not yet answered, and next the lender to ask next.
	asked int
	next  int
}

func newPool(sv *service, centre medlarwheel.DataCentreID, c HealthConfig) *pool {
	return &pool{service: sv, centre: centre, group: NewHealthGroup(c),
		own:  sampleSet{place: func(h *share) *int { return &h.ownPlace }},
		loan: sampleSet{place: func(h *share) *int { return &h.loanPlace }}}
}

// allowed returns how many requests the upstream's health allows now.
func (h *share) allowed(now time.Time) int {
	if !h.listed {
		return 0
	}
	switch h.health.State(now) {
	case HealthEjected:
		return 0
	case HealthTrial:
		return 1
	default:
		return len(h.slots) + len(h.loans)
	}
}

// refresh brings the pool and the timers up to date after any change of h.
func (s *Shares) refresh(now time.Time, h *share) {
	if h.forgotten {
		return
	}
	var c counts
	var wake time.Time
	wakeBy := func(at time.Time) {
		if at.After(now) && (wake.IsZero() || at.Before(wake)) {
			wake = at
		}
	}
	for i := range h.slots {
		sl := &h.slots[i]
		if sl.lending != nil && !now.Before(sl.lending.until) {
			s.endLending(sl)
		}
		if sl.lending != nil {
			wakeBy(sl.lending.until)
		}
		if !sl.owned || sl.pending {
			continue
		}
		c.owned++
		wakeBy(sl.usableAt)
		if i < h.limit && sl.free(now) {
			c.freeOwn++
		}
	}
	for _, l := range h.loans {
		if l.index < h.limit && l.usable(now) {
			c.freeLoan++
			wakeBy(l.startUntil)
		}
	}
	allowed := h.allowed(now)
	c.freeOwn, c.freeLoan = min(c.freeOwn, allowed), min(c.freeLoan, allowed)
	if h.health.ejected {
		wakeBy(h.health.until)
	}
	c.inFlight = h.inFlight
	h.pool.count(h, c)
	s.timers.schedule(h, wake)
}

func (p *pool) count(h *share, c counts) {
	p.total.freeOwn += c.freeOwn - h.counted.freeOwn
	p.total.freeLoan += c.freeLoan - h.counted.freeLoan
	p.total.owned += c.owned - h.counted.owned
	p.total.inFlight += c.inFlight - h.counted.inFlight
	h.counted = c
	p.own.set(h, c.freeOwn > 0)
	p.loan.set(h, c.freeLoan > 0)
}
