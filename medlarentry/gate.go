package medlarentry

import (
	"sync"
	"time"

	"medlarwheel"
	"medlarwheel/medlaraccount"
)

// gate holds the admission of one upstream service and wakes the requests that wait in it.
type gate struct {
	clock medlarwheel.Clock

	mu        sync.Mutex
	admission *medlaraccount.Admission
	retries   *medlaraccount.RetryBudget
	waiters   map[medlaraccount.RequestID]chan admitted
	last      medlaraccount.RequestID
	timer     *time.Timer
	// armed is when the timer fires.
	armed  time.Time
	closed bool
}

// admitted is what a waiting request is told. Refusal is nil when the request may start.
type admitted struct {
	refusal *medlarwheel.Refusal
}

// ticket is the right of one request to be in flight. It must be given back with leave.
type ticket struct {
	gate *gate
	id   medlaraccount.RequestID
	lane medlaraccount.Lane
}

func newGate(clock medlarwheel.Clock) *gate {
	return &gate{
		clock:     clock,
		admission: medlaraccount.NewAdmission(medlaraccount.DefaultAdmissionConfig()),
		retries:   medlaraccount.NewRetryBudget(medlaraccount.DefaultRetryBudgetConfig()),
		waiters:   make(map[medlaraccount.RequestID]chan admitted),
	}
}

// enter admits a request, waits in the queue, or returns the refusal.
func (g *gate) enter(lane medlaraccount.Lane, deadline time.Time) (ticket, *medlarwheel.Refusal) {
	g.mu.Lock()
	now := g.clock.Now()
	g.last++
	t := ticket{gate: g, id: g.last, lane: lane}
	result := g.admission.Offer(now, medlaraccount.Request{ID: t.id, Lane: lane, Deadline: deadline})
	if result.Decision != medlaraccount.Queued {
		// A newest-first queue may refuse an older request to make room.
		g.settle(now)
		g.mu.Unlock()
		return t, refusalOf(result)
	}
	wake := make(chan admitted, 1)
	g.waiters[t.id] = wake
	g.settle(now)
	g.mu.Unlock()
	return t, (<-wake).refusal
}

func refusalOf(result medlaraccount.Result) *medlarwheel.Refusal {
	if result.Decision == medlaraccount.Admitted {
		return nil
	}
	refusal := result.Refusal
	return &refusal
}

// leave ends an admitted request.
func (t ticket) leave() {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.admission.Done(now, t.id, t.lane)
	g.settle(now)
}

// fresh counts a first attempt for the retry budget.
func (g *gate) fresh() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retries.Deposit(g.clock.Now())
}

// mayRetry takes one retry from the budget.
func (g *gate) mayRetry() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retries.TryWithdraw(g.clock.Now())
}

// setCapacity sets how many requests may be in flight.
func (g *gate) setCapacity(n medlarwheel.Slots) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.admission.SetCapacity(now, n)
	g.settle(now)
}

// setShares replaces the shares of the given lanes.
func (g *gate) setShares(shares map[medlaraccount.Lane]medlaraccount.Share) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for lane, share := range shares {
		g.admission.SetShare(lane, share)
	}
	g.settle(g.clock.Now())
}

func (g *gate) report() medlaraccount.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Report(g.clock.Now())
}

// demand returns the number of requests in flight and waiting.
func (g *gate) demand() (inFlight, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.InFlight(), g.admission.Waiting()
}

// settle wakes the requests that were granted or refused, and sets the timer for the next expiry. It needs the lock.
func (g *gate) settle(now time.Time) {
	for _, grant := range g.admission.Next(now) {
		g.wake(grant.ID, admitted{})
	}
	for _, expired := range g.admission.Expire(now) {
		refusal := expired.Refusal
		g.wake(expired.ID, admitted{refusal: &refusal})
	}
	g.arm(now)
}

func (g *gate) wake(id medlaraccount.RequestID, verdict admitted) {
	if wake, ok := g.waiters[id]; ok {
		delete(g.waiters, id)
		wake <- verdict
	}
}

// arm sets the timer for the next expiry. A timer that fires too early arms itself again, so that the common case of a
// later expiry costs nothing.
func (g *gate) arm(now time.Time) {
	at, ok := g.admission.NextExpiry()
	if !ok || g.closed || (g.timer != nil && !at.Before(g.armed)) {
		return
	}
	if g.timer != nil {
		g.timer.Stop()
	}
	g.armed = at
	g.timer = time.AfterFunc(max(time.Millisecond, at.Sub(now)), g.expire)
}

func (g *gate) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer = nil
	g.settle(g.clock.Now())
}

// close stops the timer. Requests must have ended before.
func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	if g.timer != nil {
		g.timer.Stop()
	}
}
