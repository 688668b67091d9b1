package medlarentry

import (
	"sync"
	"time"

	"medlarwheel"
	"medlarwheel/medlaraccount"
)

// serviceAdmission controls the admission of requests to one upstream service and wakes the requests that wait in its
// queue.
type serviceAdmission struct {
	clock medlarwheel.Clock

	mu        sync.Mutex
	admission *medlaraccount.Admission
	retries   *medlaraccount.RetryBudget
	waiting   map[medlaraccount.RequestID]chan admissionResult
	lastID    medlaraccount.RequestID
	timer     *time.Timer
	// timerAt is the time at which the timer fires.
	timerAt time.Time
	closed  bool
}

// admissionResult is the decision on a queued request. The refusal is nil if the request was admitted.
type admissionResult struct {
	refusal *medlarwheel.Refusal
}

// admittedRequest is an admitted request. Its owner must call release when the request has ended.
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

// admit decides on a request, after a wait in the queue if there is no capacity. The refusal is nil if the request was
// admitted.
func (a *serviceAdmission) admit(lane medlaraccount.Lane, deadline time.Time) (admittedRequest, *medlarwheel.Refusal) {
	a.mu.Lock()
	now := a.clock.Now()
	a.lastID++
	request := admittedRequest{admission: a, id: a.lastID, lane: lane}
	result := a.admission.Offer(now, medlaraccount.Request{ID: request.id, Lane: lane, Deadline: deadline})
	if result.Decision != medlaraccount.Queued {
		// A newest-first queue may refuse an older request to make space for this one.
		a.dispatch(now)
		a.mu.Unlock()
		return request, admissionRefusal(result)
	}
	decided := make(chan admissionResult, 1)
	a.waiting[request.id] = decided
	a.dispatch(now)
	a.mu.Unlock()
	return request, (<-decided).refusal
}

func admissionRefusal(result medlaraccount.Result) *medlarwheel.Refusal {
	if result.Decision == medlaraccount.Admitted {
		return nil
	}
	refusal := result.Refusal
	return &refusal
}

// release frees the capacity that the request used.
func (r admittedRequest) release() {
	a := r.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.admission.Done(now, r.id, r.lane)
	a.dispatch(now)
}

// recordFirstAttempt adds a first attempt to the retry budget.
func (a *serviceAdmission) recordFirstAttempt() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.retries.Deposit(a.clock.Now())
}

// trySpendRetry takes one retry from the budget and reports whether there was one left.
func (a *serviceAdmission) trySpendRetry() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.retries.TryWithdraw(a.clock.Now())
}

// setCapacity sets the maximum number of requests in flight.
func (a *serviceAdmission) setCapacity(n medlarwheel.Slots) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.admission.SetCapacity(now, n)
	a.dispatch(now)
}

// setShares replaces the shares of the given lanes.
func (a *serviceAdmission) setShares(shares map[medlaraccount.Lane]medlaraccount.Share) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for lane, share := range shares {
		a.admission.SetShare(lane, share)
	}
	a.dispatch(a.clock.Now())
}

func (a *serviceAdmission) report() medlaraccount.Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.admission.Report(a.clock.Now())
}

// demand returns the numbers of requests in flight and in the queue.
func (a *serviceAdmission) demand() (inFlight, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.admission.InFlight(), a.admission.Waiting()
}

// dispatch wakes the queued requests that are now admitted or refused, and sets the timer for the next expiry. The
// caller holds the lock.
func (a *serviceAdmission) dispatch(now time.Time) {
	for _, grant := range a.admission.Next(now) {
		a.notify(grant.ID, admissionResult{})
	}
	for _, expired := range a.admission.Expire(now) {
		refusal := expired.Refusal
		a.notify(expired.ID, admissionResult{refusal: &refusal})
	}
	a.scheduleExpiry(now)
}

func (a *serviceAdmission) notify(id medlaraccount.RequestID, result admissionResult) {
	if decided, ok := a.waiting[id]; ok {
		delete(a.waiting, id)
		decided <- result
	}
}

// scheduleExpiry sets the timer for the next expiry in the queue. If the next expiry moves to a later time, the timer is
// left as it is and set again when it fires, which makes this common case cheap.
func (a *serviceAdmission) scheduleExpiry(now time.Time) {
	at, ok := a.admission.NextExpiry()
	if !ok || a.closed || (a.timer != nil && !at.Before(a.timerAt)) {
		return
	}
	if a.timer != nil {
		a.timer.Stop()
	}
	a.timerAt = at
	a.timer = time.AfterFunc(max(time.Millisecond, at.Sub(now)), a.handleExpiry)
}

func (a *serviceAdmission) handleExpiry() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.timer = nil
	a.dispatch(a.clock.Now())
}

// close stops the timer. It must be called only after all requests have ended.
func (a *serviceAdmission) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	if a.timer != nil {
		a.timer.Stop()
	}
}
