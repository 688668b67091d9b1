package medlarentry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"medlarwheel"
	"medlarwheel/medlartransport"
	"medlarwheel/medlarupstream"
)

// permit allows one request to be sent to one upstream.
type permit = medlarupstream.Permit

// routing guards the router and the shares of upstreams with one lock. A request that finds no free slot waits until a slot
// is released or borrowed.
type routing struct {
	clock medlarwheel.Clock
	// onUpstreamLeaving is called if an upstream announces that it is leaving.
	onUpstreamLeaving func(medlarwheel.Upstream)

	mu          sync.Mutex
	shares      *medlarupstream.Shares
	router      *medlarupstream.Router
	slotFreed   chan struct{}
	waiterCount int
}

func newRouting(clock medlarwheel.Clock, config medlarupstream.SharesConfig, leaving func(medlarwheel.Upstream)) *routing {
	shares := medlarupstream.NewShares(config)
	return &routing{
		clock: clock, onUpstreamLeaving: leaving, shares: shares, router: medlarupstream.NewRouter(shares), slotFreed: make(chan struct{}),
	}
}

// withLock runs f under the lock and then wakes the requests that wait for a slot, because f may have freed some.
func (r *routing) withLock(f func(now time.Time, shares *medlarupstream.Shares, router *medlarupstream.Router)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.clock.Now(), r.shares, r.router)
	r.wakeWaiters()
}

func (r *routing) wakeWaiters() {
	if r.waiterCount > 0 {
		close(r.slotFreed)
		r.slotFreed = make(chan struct{})
	}
}

// acquire takes a permit for an upstream that is not in tried. It waits for a free slot for at most the queue timeout of
// the template, and not at all once an upstream has failed for this request.
func (r *routing) acquire(c *call, tried []medlarwheel.UpstreamID) (medlarwheel.Upstream, permit, bool) {
	end := c.arrivedAt.Add(c.template.Service.QueueTimeout.Std())
	if len(tried) > 0 || end.After(c.deadline) {
		end = c.deadline
	}
	hash := xxhash.Sum64String(string(c.attempt))
	for {
		r.mu.Lock()
		now := r.clock.Now()
		upstream, p, ok := r.router.Pick(now, c.template.Service.Upstream, hash, c.deadline, tried)
		freed := r.slotFreed
		giveUp := !ok && (len(tried) > 0 || !now.Before(end))
		if !ok && !giveUp {
			r.waiterCount++
		}
		r.mu.Unlock()
		if ok || giveUp {
			return upstream, p, ok
		}
		r.awaitSlot(freed, end.Sub(now))
	}
}

func (r *routing) awaitSlot(freed <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-freed:
	case <-timer.C:
	}
	r.mu.Lock()
	r.waiterCount--
	r.mu.Unlock()
}

// release returns a permit and reports the result of the request to the router. If the connection stalled, the permit is
// kept until the deadline, because the upstream may still be processing the request.
func (r *routing) release(p permit, upstream medlarwheel.Upstream, deadline time.Time, info medlartransport.ResponseInfo, failure *medlartransport.Failure) {
	if info.Leaving {
		r.onUpstreamLeaving(upstream)
	}
	if failure != nil && failure.Cause == medlartransport.CauseStalled {
		r.withLock(func(now time.Time, _ *medlarupstream.Shares, router *medlarupstream.Router) {
			router.HandleProbeResult(now, upstream.ID, failure.ProbeAnswered)
		})
		time.AfterFunc(deadline.Sub(r.clock.Now()), func() { r.finish(p, info, failure) })
		return
	}
	r.finish(p, info, failure)
}

func (r *routing) finish(p permit, info medlartransport.ResponseInfo, failure *medlartransport.Failure) {
	r.withLock(func(now time.Time, _ *medlarupstream.Shares, router *medlarupstream.Router) {
		router.Finish(now, p, medlarupstream.RequestResult{Event: routerEvent(failure), Latency: info.Latency})
	})
}

func routerEvent(failure *medlartransport.Failure) medlarupstream.Event {
	if failure == nil {
		return medlarupstream.EventSuccess
	}
	switch failure.Cause {
	case medlartransport.CauseConnect:
		return medlarupstream.EventConnectFailure
	case medlartransport.CauseStalled:
		return medlarupstream.EventStalled
	case medlartransport.CauseDeadline:
		return medlarupstream.EventProbeFailure
	case medlartransport.CauseIncomplete, medlartransport.CauseMismatch, medlartransport.CauseClosed, medlartransport.CauseWrite:
		return medlarupstream.EventIncomplete
	default:
		return medlarupstream.EventNone
	}
}

// Open counts a new connection to an upstream against this instance's share and reports whether the share permits it.
func (r *routing) Open(id medlarwheel.UpstreamID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shares.AddConnection(r.clock.Now(), id)
}

// Closed removes a closed connection from the count.
func (r *routing) Closed(id medlarwheel.UpstreamID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shares.RemoveConnection(id)
}

func (r *routing) upstreamStates() []medlarupstream.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.router.States()
}
