package medlarentry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"medlarwheel"
	"medlarwheel/medlartransport"
	"medlarwheel/medlarupstream"
)

// permit is the right to run one request at one upstream.
type permit = medlarupstream.Permit

// routing holds the router and the shares of upstreams under one lock. Requests that find no free slot wait for the next
// one that is released or borrowed.
type routing struct {
	clock medlarwheel.Clock
	// onUpstreamLeaving is called with an upstream that announces that it is leaving.
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

// withLock runs f under the lock and wakes the requests that wait for a slot.
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

// acquire takes a permit at an upstream that was not tried yet. It waits for a slot as long as the template lets a
// request queue, but not after a failed try.
func (r *routing) acquire(c *call, tried []medlarwheel.UpstreamID) (medlarwheel.Upstream, permit, bool) {
	end := c.arrivedAt.Add(c.template.Service.QueueTimeout.Std())
	if len(tried) > 0 || end.After(c.deadline) {
		end = c.deadline
	}
	hash := xxhash.Sum64String(string(c.attempt))
	for {
		r.mu.Lock()
		now := r.clock.Now()
		u, p, ok := r.router.Pick(now, c.template.Service.Upstream, hash, c.deadline, tried)
		freed := r.slotFreed
		give := !ok && (len(tried) > 0 || !now.Before(end))
		if !ok && !give {
			r.waiterCount++
		}
		r.mu.Unlock()
		if ok || give {
			return u, p, ok
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

// release gives a permit back and applies what the request showed. After a silent connection the permit is kept until the
// deadline, because the upstream may still be working on the request.
func (r *routing) release(p permit, u medlarwheel.Upstream, deadline time.Time, report medlartransport.ResponseInfo, failure *medlartransport.Failure) {
	if report.Leaving {
		r.onUpstreamLeaving(u)
	}
	if failure != nil && failure.Cause == medlartransport.CauseStalled {
		r.withLock(func(now time.Time, _ *medlarupstream.Shares, router *medlarupstream.Router) {
			router.HandleProbeResult(now, u.ID, failure.ProbeAnswered)
		})
		time.AfterFunc(deadline.Sub(r.clock.Now()), func() { r.finish(p, report, failure) })
		return
	}
	r.finish(p, report, failure)
}

func (r *routing) finish(p permit, report medlartransport.ResponseInfo, failure *medlartransport.Failure) {
	r.withLock(func(now time.Time, _ *medlarupstream.Shares, router *medlarupstream.Router) {
		router.Finish(now, p, medlarupstream.RequestResult{Event: routerEvent(failure), Latency: report.Latency})
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

// Open counts one more connection to an upstream against this instance's share.
func (r *routing) Open(id medlarwheel.UpstreamID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shares.AddConnection(r.clock.Now(), id)
}

// Closed counts one connection less.
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
