package medlarupstream

import (
	"slices"
	"time"

	"medlarwheel"
)

// Router selects the upstream for each request. It is not safe for concurrent use, and it uses its Shares without locking, so
// one lock must guard both.
type Router struct {
	shares *Shares
	// limited holds the shares whose concurrency limit is below their slots.
	limited []*share
}

// NewRouter returns a Router that acquires its permits from shares.
func NewRouter(shares *Shares) *Router {
	return &Router{shares: shares}
}

// SetUpstreams sets the upstreams of a service that get new requests, such as the result of Directory.Live.
func (r *Router) SetUpstreams(now time.Time, service medlarwheel.ServiceName, live []medlarwheel.Upstream, spec Spec) {
	kept := make(map[medlarwheel.UpstreamID]bool, len(live))
	for _, u := range live {
		kept[u.ID] = true
		r.shares.SetUpstream(now, u, spec)
	}
	for _, h := range r.shares.sortedShares() {
		if h.upstream.Service == service && h.listed && !kept[h.upstream.ID] {
			r.shares.RemoveUpstream(now, h.upstream.ID)
		}
	}
}

// maxCandidates is the largest number of candidates that one Pick examines after the first two.
const maxCandidates = 8

// Pick selects an upstream of a service with a free slot and acquires a permit for a request. It prefers the local data
// centre to others, and owned slots to borrowed ones. It compares two upstreams that are selected by the hash and takes
// the less loaded one. It skips the upstreams in exclude. It returns false if no permit is available now.
func (r *Router) Pick(now time.Time, service medlarwheel.ServiceName, hash uint64, deadline time.Time,
	exclude []medlarwheel.UpstreamID) (medlarwheel.Upstream, Permit, bool) {
	s := r.shares
	s.advance(now)
	if sv, ok := s.services[service]; ok {
		for _, p := range sv.pools {
			if s.membershipValid(now) {
				if h, permit, ok := r.pickFrom(now, &p.withFreeOwned, hash, deadline, exclude); ok {
					return h.upstream, permit, true
				}
			}
			if h, permit, ok := r.pickFrom(now, &p.withFreeBorrowed, hash, deadline, exclude); ok {
				return h.upstream, permit, true
			}
		}
	}
	return medlarwheel.Upstream{}, Permit{}, false
}

// pickFrom tries the less loaded of the two members that the hash selects, then the other, then the members that follow the
// first in the set.
func (r *Router) pickFrom(now time.Time, set *indexedSet, hash uint64, deadline time.Time,
	exclude []medlarwheel.UpstreamID) (*share, Permit, bool) {
	n := uint64(len(set.members))
	if n == 0 {
		return nil, Permit{}, false
	}
	first, second := hash%n, (hash>>32)%n
	if set.members[second].lessLoaded(set.members[first]) {
		first, second = second, first
	}
	for i := range min(n, uint64(len(exclude))+maxCandidates) + 2 {
		at := first
		switch {
		case i == 1:
			at = second
		case i > 1:
			at = (first + i - 1) % n
		}
		if at >= uint64(len(set.members)) {
			break // a refresh has removed members
		}
		h := set.members[at]
		if slices.Contains(exclude, h.upstream.ID) {
			continue
		}
		if permit, ok := r.shares.acquire(now, h, deadline); ok {
			return h, permit, true
		}
	}
	return nil, Permit{}, false
}

// overHalfUsed reports whether more than half of the slots that this instance may use now are in use.
func (h *share) overHalfUsed() bool { return h.inFlight > h.counts.freeOwned+h.counts.freeBorrowed }

// lessLoaded reports whether h has fewer requests in flight and slots lent than o, relative to their limits.
func (h *share) lessLoaded(o *share) bool {
	return (h.inFlight+h.lent)*o.limit < (o.inFlight+o.lent)*h.limit
}

// RequestResult is the outcome of a request, as far as it concerns the upstream.
type RequestResult struct {
	Event Event
	// Latency is the time to the complete response, and Expected the usual latency of the template, or zero.
	Latency  time.Duration
	Expected time.Duration
}

// Finish releases a permit and updates the health and the concurrency limit of its upstream with the result of the request.
func (r *Router) Finish(now time.Time, p Permit, result RequestResult) {
	s, h := r.shares, p.share
	s.advance(now)
	loaded := h != nil && h.overHalfUsed()
	if !s.release(now, p) {
		return
	}
	if h.listed {
		h.health.Observe(now, result.Event, p.trial)
	}
	if result.Event == EventSuccess {
		h.limiter.Observe(now, result.Latency, result.Expected, loaded)
		r.updateLimit(h)
	}
	s.refresh(now, h)
	s.discardUnused(h)
}

// HandleProbeResult updates the health of an upstream with the result of a probe. ok reports whether the probe got
// a response.
func (r *Router) HandleProbeResult(now time.Time, id medlarwheel.UpstreamID, ok bool) {
	h, known := r.shares.shares[id]
	if !known || !h.listed {
		return
	}
	event := EventProbeFailure
	if ok {
		event = EventProbeSuccess
	}
	h.health.Observe(now, event, false)
	r.shares.refresh(now, h)
}

// Tick raises concurrency limits that have had no full window of latencies lately. Call it about once per second.
func (r *Router) Tick(now time.Time) {
	r.limited = slices.DeleteFunc(r.limited, func(h *share) bool {
		h.limited = h.listed && h.limiter.Recover(now)
		h.limit = int(h.limiter.Limit())
		r.shares.refresh(now, h)
		return !h.limited
	})
}

func (r *Router) updateLimit(h *share) {
	h.limit = int(h.limiter.Limit())
	if h.limit < int(h.spec.Slots) && !h.limited {
		h.limited = true
		r.limited = append(r.limited, h)
	}
}

// State is the state of one upstream, as shown to operators.
type State struct {
	medlarwheel.Upstream
	Ejected  bool              `json:"ejected"`
	Limit    medlarwheel.Slots `json:"limit"`
	InFlight int               `json:"in-flight"`
	Owned    int               `json:"owned-slots"`
	Lent     int               `json:"lent-slots"`
	Borrowed int               `json:"borrowed-slots"`
}

// States returns the state of every upstream, sorted by id.
func (r *Router) States() []State {
	states := make([]State, 0, len(r.shares.shares))
	for _, h := range r.shares.sortedShares() {
		states = append(states, State{Upstream: h.upstream, Ejected: h.health.ejected, Limit: medlarwheel.Slots(h.limit),
			InFlight: h.inFlight, Owned: h.counts.owned, Lent: h.lent, Borrowed: len(h.borrowed)})
	}
	return states
}
