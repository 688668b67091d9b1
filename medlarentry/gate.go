package medlarentry

import (
	"sync"
	"time"

	"medlarwheel"
	"medlarwheel/medlaraccount"
)

// serviceAdmission holds the admission of one upstream service and wakes the requests that wait in it.
type serviceAdmission struct {
	clock medlarwheel.Clock

	mu        sync.Mutex
	admission *medlaraccount.Admission
	retries   *medlaraccount.RetryBudget
	waiting   map[medlaraccount.RequestID]chan admissionResult
	lastID    medlaraccount.RequestID
	timer     *time.Timer
	// timerAt is when the timer fires.
	timerAt time.Time
	closed  bool
}

// admissionResult is what a waiting request is told. Refusal is nil when the request may start.
type admissionResult struct {
	refusal *medlarwheel.Refusal
}

// admittedRequest is the right of one request to be in flight. It must be given back with leave.
type admittedRequest struct {
	admission *serviceAdmission
	id        medlaraccount.RequestID
	lane      medlaraccount.Lane
}

func newServiceAdmission(clock medlarwheel.Clock) *serviceAdmission {
	return &serviceAdmission{
		clock:     clock,
		admission: medlaraccount.NewAdmission(medlaraccount.DefaultAdmissionConfig()),
		retries:   medlaraccount.NewRetryBudget(medlaraccount.DefaultRetryBudgetConfig()),
		waiting:   make(map[medlaraccount.RequestID]chan admissionResult),
	}
}

// admit admits a request, waits in the queue, or returns the refusal.
func (g *serviceAdmission) admit(lane medlaraccount.Lane, deadline time.Time) (admittedRequest, *medlarwheel.Refusal) {
	g.mu.Lock()
	now := g.clock.Now()
	g.lastID++
	t := admittedRequest{admission: g, id: g.lastID, lane: lane}
	result := g.admission.Offer(now, medlaraccount.Request{ID: t.id, Lane: lane, Deadline: deadline})
	if result.Decision != medlaraccount.Queued {
		// A newest-first queue may refuse an older request to make room.
		g.dispatch(now)
		g.mu.Unlock()
		return t, admissionRefusal(result)
	}
	wake := make(chan admissionResult, 1)
	g.waiting[t.id] = wake
	g.dispatch(now)
	g.mu.Unlock()
	return t, (<-wake).refusal
}

func admissionRefusal(result medlaraccount.Result) *medlarwheel.Refusal {
	if result.Decision == medlaraccount.Admitted {
		return nil
	}
	refusal := result.Refusal
	return &refusal
}

// release ends an admitted request.
func (t admittedRequest) release() {
	g := t.admission
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.admission.Done(now, t.id, t.lane)
	g.dispatch(now)
}

// recordFirstAttempt counts a first attempt for the retry budget.
func (g *serviceAdmission) recordFirstAttempt() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retries.Deposit(g.clock.Now())
}

// trySpendRetry takes one retry from the budget.
func (g *serviceAdmission) trySpendRetry() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retries.TryWithdraw(g.clock.Now())
}

// setCapacity sets how many requests may be in flight.
func (g *serviceAdmission) setCapacity(n medlarwheel.Slots) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.admission.SetCapacity(now, n)
	g.dispatch(now)
}

// setShares replaces the shares of the given lanes.
func (g *serviceAdmission) setShares(shares map[medlaraccount.Lane]medlaraccount.Share) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for lane, share := range shares {
		g.admission.SetShare(lane, share)
	}
	g.dispatch(g.clock.Now())
}

func (g *serviceAdmission) report() medlaraccount.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Report(g.clock.Now())
}

// demand returns the number of requests in flight and waiting.
func (g *serviceAdmission) demand() (inFlight, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.InFlight(), g.admission.Waiting()
}

// dispatch wakes the requests that were granted or refused, and sets the timer for the next expiry. It needs the lock.
func (g *serviceAdmission) dispatch(now time.Time) {
	for _, grant := range g.admission.Next(now) {
		g.notify(grant.ID, admissionResult{})
	}
	for _, expired := range g.admission.Expire(now) {
		refusal := expired.Refusal
		g.notify(expired.ID, admissionResult{refusal: &refusal})
	}
	g.scheduleExpiry(now)
}

func (g *serviceAdmission) notify(id medlaraccount.RequestID, verdict admissionResult) {
	if wake, ok := g.waiting[id]; ok {
		delete(g.waiting, id)
		wake <- verdict
	}
}

// scheduleExpiry sets the timer for the next expiry. A timer that fires too early arms itself again, so that the common case of a
// later expiry costs nothing.
func (g *serviceAdmission) scheduleExpiry(now time.Time) {
	at, ok := g.admission.NextExpiry()
	if !ok || g.closed || (g.timer != nil && !at.Before(g.timerAt)) {
		return
	}
	if g.timer != nil {
		g.timer.Stop()
	}
	g.timerAt = at
	g.timer = time.AfterFunc(max(time.Millisecond, at.Sub(now)), g.handleExpiry)
}

func (g *serviceAdmission) handleExpiry() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer = nil
	g.dispatch(g.clock.Now())
}

// close stops the timer. Requests must have ended before.
func (g *serviceAdmission) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	if g.timer != nil {
		g.timer.Stop()
	}
}
