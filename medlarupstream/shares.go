package medlarupstream

import (
	"slices"
	"time"

	"medlarwheel"
)

// SharesConfig holds the settings of Shares.
type SharesConfig struct {
	// Instance is this instance, and DataCentre where it runs.
	Instance   medlarwheel.InstanceID
	DataCentre medlarwheel.DataCentreID
	// Incarnation is this process's. It keeps loans of an earlier process apart.
	Incarnation medlarwheel.Incarnation
	// LoanTerm is how long requests may start on a loan, and Guard how much earlier the borrower stops than the lender reuses
	// the slot. The guard covers different clock rates.
	LoanTerm     time.Duration
	SafetyMargin time.Duration
	// RenewBefore is the remaining term below which a loan in use is renewed.
	RenewBefore time.Duration
	// ReturnIdle is the time without a request after which a loan is returned.
	ReturnIdle time.Duration
	// LenderRetryDelay is the time before a lender that had nothing is asked again.
	LenderRetryDelay time.Duration
	// MaxSlotsPerRequest bounds the slots of one request for loans.
	MaxSlotsPerRequest int
	// IdleReserve is the part of the own slots of a service that is not lent, so that own requests find a slot at once.
	IdleReserve float64
	// ConfirmationTimeout is the time without contact after which the own share is not used, and ReuseDelay how long a slot that
	// changed its owner rests once all members know, in addition to Spec.MaxRequest. The difference covers the term of
	// loans, different clock rates and the way of messages.
	ConfirmationTimeout time.Duration
	ReuseDelay          time.Duration
	// Health and Gradient are the settings for each upstream.
	Health  HealthConfig
	Limiter ConcurrencyLimiterConfig
}

// DefaultSharesConfig returns the default settings.
func DefaultSharesConfig(instance medlarwheel.InstanceID, centre medlarwheel.DataCentreID, n medlarwheel.Incarnation) SharesConfig {
	return SharesConfig{
		Instance: instance, DataCentre: centre, Incarnation: n,
		LoanTerm: 500 * time.Millisecond, SafetyMargin: 100 * time.Millisecond,
		RenewBefore: 250 * time.Millisecond, ReturnIdle: 200 * time.Millisecond,
		LenderRetryDelay: 100 * time.Millisecond, MaxSlotsPerRequest: 8, IdleReserve: 0.1,
		ConfirmationTimeout: 8 * time.Second, ReuseDelay: 10 * time.Second,
		Health: DefaultHealthConfig(), Limiter: DefaultConcurrencyLimiterConfig(),
	}
}

// Shares holds this instance's part of the slots and connections of every upstream: its own slots, the ones lent out and
// the ones borrowed. It is not safe for concurrent use.
//
// The requests in flight at one upstream never exceed its slots, over all instances. A request counts from Acquire to the
// earlier of Release and its deadline, so the caller must close the connection of a request that reaches its deadline.
// The rules that ensure this are:
//   - A slot has one owner under a roster epoch. A slot that changed its owner rests until every member of the roster uses
//     that epoch, and then for ReuseDelay and Spec.MaxRequest. By then members that were removed have stopped for lack of
//     contact, loans have expired, and requests have reached their deadlines.
//   - A lender does not use a lent slot until it is returned, or the last term and the longest run stated with it have
//     passed. A borrower starts only requests whose deadline lies before that time by its own clock, less the guard.
//   - A new process treats all its slots as moved, because it does not know what an earlier one lent or left running.
//   - Moved slots need no rest when the roster is not Unclean and every other member says under its epoch that it has
//     given up what it does not own. The caller passes on only the word of the processes that the roster names, and
//     hides its own membership from Shares while the roster names an earlier process of its instance.
//
// They rest on three assumptions. Clock rates differ by less than Guard over Term and Spec.MaxRequest, which is 1.8% for
// requests of 5 s and 0.03% for 5 minutes. Running members hear of a roster change before the next one, but for a minority
// that is cut off. An only member that runs hears of the change that adds a second or replaces it.
type Shares struct {
	config          SharesConfig
	shares          map[medlarwheel.UpstreamID]*share
	services        map[medlarwheel.ServiceName]*service
	names           []medlarwheel.ServiceName
	timers          timerQueue
	roster          localRoster
	others          map[medlarwheel.DataCentreID]Roster
	lastID          uint64
	lentSlots       map[LoanID]*lentSlot
	lastNonces      map[medlarwheel.InstanceID]uint64
	borrowed        map[loanKey]*borrowedSlot
	loanRequests    map[uint64]pendingLoanRequest
	renewalRequests map[uint64]pendingRenewal
	retryAt         map[lenderKey]time.Time
	returns         []Return
}

// NewShares returns Shares without upstreams and without a roster.
func NewShares(c SharesConfig) *Shares {
	return &Shares{
		config:          c,
		shares:          make(map[medlarwheel.UpstreamID]*share),
		services:        make(map[medlarwheel.ServiceName]*service),
		others:          make(map[medlarwheel.DataCentreID]Roster),
		lentSlots:       make(map[LoanID]*lentSlot),
		lastNonces:      make(map[medlarwheel.InstanceID]uint64),
		borrowed:        make(map[loanKey]*borrowedSlot),
		loanRequests:    make(map[uint64]pendingLoanRequest),
		renewalRequests: make(map[uint64]pendingRenewal),
		retryAt:         make(map[lenderKey]time.Time),
		lastID:          uint64(c.Incarnation) << 32,
	}
}

// SetUpstream adds an upstream or updates it.
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

// RemoveUpstream stops new requests to an upstream. Its share is forgotten when nothing runs on it.
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

// discardUnused drops the share of a removed upstream once nothing depends on it.
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

// SetDemand tells how many requests wait for a slot of a service, and their longest time to the deadline. Lent slots are
// recalled as far as they are needed.
func (s *Shares) SetDemand(now time.Time, name medlarwheel.ServiceName, waiting int, run time.Duration) {
	sv, ok := s.services[name]
	if !ok {
		return
	}
	sv.waiting, sv.maxRunTime = waiting, run
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

// advance applies what has changed by the passing of time.
func (s *Shares) advance(now time.Time) {
	s.roster.extendSoleMember(now, s.config.ConfirmationTimeout)
	for h := s.timers.popDue(now); h != nil; h = s.timers.popDue(now) {
		s.refresh(now, h)
		s.discardUnused(h)
	}
}

func (s *Shares) poolFor(name medlarwheel.ServiceName, centre medlarwheel.DataCentreID) *pool {
	sv, ok := s.services[name]
	if !ok {
		sv = &service{name: name}
		s.services[name] = sv
		s.names = append(s.names, name)
		slices.Sort(s.names)
	}
	for _, p := range sv.pools {
		if p.centre == centre {
			return p
		}
	}
	p := newPool(sv, centre, s.config.Health)
	if centre == s.config.DataCentre {
		sv.pools = slices.Insert(sv.pools, 0, p)
	} else {
		sv.pools = append(sv.pools, p)
	}
	return p
}
