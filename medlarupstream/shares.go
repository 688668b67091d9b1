package medlarupstream

import (
	"slices"
	"time"

	"medlarwheel"
)

// SharesConfig holds the settings of Shares.
type SharesConfig struct {
	// Instance is the id of this instance, and DataCentre the data centre in which it runs.
	Instance   medlarwheel.InstanceID
	DataCentre medlarwheel.DataCentreID
	// Incarnation identifies this process. It distinguishes its loans from those of an earlier process of the instance.
	Incarnation medlarwheel.Incarnation
	// LoanTerm is how long requests may start on a loan. The borrower stops using a loan SafetyMargin before the lender
	// reuses the slot, which covers clock drift between the two.
	LoanTerm     time.Duration
	SafetyMargin time.Duration
	// RenewBefore is the remaining term below which a loan in use is renewed.
	RenewBefore time.Duration
	// ReturnIdle is the time without a request after which a borrowed slot is returned.
	ReturnIdle time.Duration
	// LenderRetryDelay is the time before another request to a lender that had no slot to lend.
	LenderRetryDelay time.Duration
	// MaxSlotsPerRequest is the largest number of slots in one loan request.
	MaxSlotsPerRequest int
	// IdleReserve is the fraction of the owned slots of a service that is not lent, so that local requests find a free slot
	// without a recall.
	IdleReserve float64
	// ConfirmationTimeout is the time without a confirmation of the roster after which this instance stops using its
	// own slots. ReuseDelay plus Spec.MaxRequest is the cooldown of a reassigned slot, counted from when all members
	// use the epoch. ReuseDelay exceeds ConfirmationTimeout by the term of loans and a margin for clock drift and
	// message delay.
	ConfirmationTimeout time.Duration
	ReuseDelay          time.Duration
	// Health and Limiter are the settings for each upstream.
	Health  HealthConfig
	Limiter ConcurrencyLimiterConfig
}

// DefaultSharesConfig returns the default settings.
func DefaultSharesConfig(instance medlarwheel.InstanceID, dataCentre medlarwheel.DataCentreID, incarnation medlarwheel.Incarnation) SharesConfig {
	return SharesConfig{
		Instance: instance, DataCentre: dataCentre, Incarnation: incarnation,
		LoanTerm: 500 * time.Millisecond, SafetyMargin: 100 * time.Millisecond,
		RenewBefore: 250 * time.Millisecond, ReturnIdle: 200 * time.Millisecond,
		LenderRetryDelay: 100 * time.Millisecond, MaxSlotsPerRequest: 8, IdleReserve: 0.1,
		ConfirmationTimeout: 8 * time.Second, ReuseDelay: 10 * time.Second,
		Health: DefaultHealthConfig(), Limiter: DefaultConcurrencyLimiterConfig(),
	}
}

// Shares holds this instance's share of the slots and connections of every upstream: the slots that it owns, those of them
// that it has lent, and those that it has borrowed. It is not safe for concurrent use.
//
// The requests in flight at one upstream never exceed its slots, counted over all instances. A request counts from Acquire to
// the earlier of Release and its deadline, so the caller must close the connection of a request that reaches its deadline.
// These rules ensure the limit:
//   - A slot has one owner in each roster epoch. A reassigned slot, one that has changed its owner, is not used until every
//     member of the roster uses that epoch, and then for a cooldown of ReuseDelay plus Spec.MaxRequest. By the end of the
//     cooldown, removed members have stopped because their ConfirmationTimeout has passed, loans have expired, and requests
//     have reached their deadlines.
//   - A lender does not use a lent slot until it is returned, or until the latest term and the longest MaxRunTime granted
//     with it have passed. A borrower starts only requests whose deadline lies before that time by its own clock, less
//     SafetyMargin.
//   - A new process treats all its slots as reassigned, because it does not know which ones an earlier process of its
//     instance lent or left in use.
//   - Reassigned slots need no cooldown if the roster is not Unclean and every other member has reported under its epoch that
//     it is drained. The caller passes on confirmations only from the processes that the roster names, and hides its own
//     membership from Shares while the roster names an earlier process of its instance.
//
// The rules depend on three assumptions. Over LoanTerm plus Spec.MaxRequest, clocks drift apart by less than
// SafetyMargin, which is 1.8% for requests of 5 s and 0.03% for 5 minutes. Running members learn of a roster change
// before the next one, except for a minority that is partitioned. A sole member that is running learns of the change
// that adds a second member or replaces it.
type Shares struct {
	config          SharesConfig
	shares          map[medlarwheel.UpstreamID]*share
	services        map[medlarwheel.ServiceName]*service
	serviceNames    []medlarwheel.ServiceName
	timers          timerQueue
	roster          localRoster
	otherRosters    map[medlarwheel.DataCentreID]Roster
	lastID          uint64
	lentSlots       map[LoanID]*lentSlot
	lastNonces      map[medlarwheel.InstanceID]uint64
	borrowed        map[loanKey]*borrowedSlot
	loanRequests    map[uint64]pendingLoanRequest
	renewalRequests map[uint64]pendingRenewal
	retryAt         map[lenderKey]time.Time
	returns         []Return
}

// NewShares returns Shares without upstreams and without a roster. They have no usable slots.
func NewShares(c SharesConfig) *Shares {
	return &Shares{
		config:          c,
		shares:          make(map[medlarwheel.UpstreamID]*share),
		services:        make(map[medlarwheel.ServiceName]*service),
		otherRosters:    make(map[medlarwheel.DataCentreID]Roster),
		lentSlots:       make(map[LoanID]*lentSlot),
		lastNonces:      make(map[medlarwheel.InstanceID]uint64),
		borrowed:        make(map[loanKey]*borrowedSlot),
		loanRequests:    make(map[uint64]pendingLoanRequest),
		renewalRequests: make(map[uint64]pendingRenewal),
		retryAt:         make(map[lenderKey]time.Time),
		lastID:          uint64(c.Incarnation) << 32,
	}
}

// SetUpstream adds or updates an upstream.
func (s *Shares) SetUpstream(now time.Time, u medlarwheel.Upstream, spec Spec) {
	h, ok := s.shares[u.ID]
	if ok && (h.upstream.Service != u.Service || h.upstream.DataCentre != u.DataCentre) {
		s.RemoveUpstream(now, u.ID)
		delete(s.shares, u.ID)
		ok = false
	}
	if !ok {
		h = &share{ownedIndex: notInSet, borrowedIndex: notInSet, timerIndex: notInSet}
		h.pool = s.poolFor(u.Service, u.DataCentre)
		s.shares[u.ID] = h
	}
	if !h.listed {
		h.health = h.pool.group.Add()
	}
	if !h.listed || h.spec.Slots != spec.Slots || h.upstream.Incarnation != u.Incarnation {
		h.limiter = NewConcurrencyLimiter(s.config.Limiter, spec.Slots)
		h.limit = int(spec.Slots)
	}
	h.upstream, h.spec, h.listed = u, spec, true
	h.pool.service.spec = spec
	if u.DataCentre == s.config.DataCentre {
		s.assignSlots(h, false)
	}
	s.refresh(now, h)
}

// RemoveUpstream stops new requests to an upstream. Its share is discarded once it has no request in flight and no loan.
func (s *Shares) RemoveUpstream(now time.Time, id medlarwheel.UpstreamID) {
	h, ok := s.shares[id]
	if !ok || !h.listed {
		return
	}
	h.listed = false
	if h.pool.group.Remove(h.health) {
		s.refreshAll(now)
	}
	for _, l := range h.borrowed {
		l.recalled = true
	}
	s.refresh(now, h)
	s.discardUnused(h)
}

// discardUnused discards the share of a removed upstream once it has no request in flight and no loan.
func (s *Shares) discardUnused(h *share) {
	if h.listed || h.discarded || h.inFlight > 0 || h.lent > 0 || len(h.borrowed) > 0 {
		return
	}
	h.discarded = true
	h.pool.updateCounts(h, slotCounts{})
	s.timers.schedule(h, time.Time{})
	if s.shares[h.upstream.ID] == h {
		delete(s.shares, h.upstream.ID)
	}
}

// SetDemand sets how many requests are queued for a slot of a service, and the longest time until one of their deadlines. It
// recalls as many lent slots as there are queued requests.
func (s *Shares) SetDemand(now time.Time, name medlarwheel.ServiceName, waiting int, maxRunTime time.Duration) {
	sv, ok := s.services[name]
	if !ok {
		return
	}
	sv.waiting, sv.maxRunTime = waiting, maxRunTime
	if waiting > 0 {
		s.Recall(now, name, waiting)
	}
}

// Capacity returns the number of requests that this instance may have in flight at a service now.
func (s *Shares) Capacity(now time.Time, name medlarwheel.ServiceName) medlarwheel.Slots {
	s.advance(now)
	sv, ok := s.services[name]
	if !ok {
		return 0
	}
	n := 0
	for _, p := range sv.pools {
		n += p.total.inFlight + p.total.freeBorrowed
		if s.membershipValid(now) {
			n += p.total.freeOwned
		}
	}
	return medlarwheel.Slots(n)
}

// advance applies the changes that are due by now, such as the end of a loan or of a cooldown.
func (s *Shares) advance(now time.Time) {
	s.roster.extendSoleMember(now, s.config.ConfirmationTimeout)
	for h := s.timers.popDue(now); h != nil; h = s.timers.popDue(now) {
		s.refresh(now, h)
		s.discardUnused(h)
	}
}

func (s *Shares) poolFor(name medlarwheel.ServiceName, dataCentre medlarwheel.DataCentreID) *pool {
	sv, ok := s.services[name]
	if !ok {
		sv = &service{name: name}
		s.services[name] = sv
		s.serviceNames = append(s.serviceNames, name)
		slices.Sort(s.serviceNames)
	}
	for _, p := range sv.pools {
		if p.dataCentre == dataCentre {
			return p
		}
	}
	p := newPool(sv, dataCentre, s.config.Health)
	if dataCentre == s.config.DataCentre {
		sv.pools = slices.Insert(sv.pools, 0, p)
	} else {
		sv.pools = append(sv.pools, p)
	}
	return p
}
