package medlarupstream

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwheel"
)

// newRouter returns a Router of the only member with a number of upstreams.
func newRouter(upstreams int, spec Spec) *Router {
	s := NewShares(DefaultSharesConfig("a", "north", 1))
	s.SetRoster(at(0), Roster{DataCentre: "north", Epoch: 1, Members: []medlarwheel.InstanceID{"a"}, First: true})
	r := NewRouter(s)
	var live []medlarwheel.Upstream
	for i := range upstreams {
		live = append(live, testUpstream(medlarwheel.UpstreamID(fmt.Sprint("u", i))))
	}
	r.SetUpstreams(at(0), "s", live, spec)
	return r
}

// countAvailable is the naive choice: it looks at every upstream.
func countAvailable(s *Shares, now time.Time, exclude []medlarwheel.UpstreamID) int {
	n := 0
	for _, h := range s.shares {
		free := slices.ContainsFunc(h.slots[:min(h.limit, len(h.slots))], func(sl slot) bool { return sl.isFree(now) })
		if free && h.healthLimit(now) > 0 && !slices.Contains(exclude, h.upstream.ID) {
			n++
		}
	}
	return n
}

// Guards against requests that are turned away beside a free and healthy upstream, sent to a full, ejected or excluded
// one, and against more than half of the upstreams being ejected, by comparison with a full scan.
func TestPickMatchesFullScan(t *testing.T) {
	events := []Event{EventSuccess, EventNone, EventConnectFailure, EventIncomplete, EventStalled}
	rapid.Check(t, func(t *rapid.T) {
		spec := Spec{Slots: 2, Connections: 2, MaxRequest: time.Minute}
		r, now := newRouter(rapid.IntRange(1, 6).Draw(t, "upstreams"), spec), at(0)
		var permits []Permit
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(t *rapid.T) {
				var exclude []medlarwheel.UpstreamID
				for range rapid.IntRange(0, 3).Draw(t, "excluded") {
					exclude = append(exclude, medlarwheel.UpstreamID(fmt.Sprint("u", rapid.IntRange(0, 5).Draw(t, "id"))))
				}
				possible := countAvailable(r.shares, now, exclude)
				u, p, ok := r.Pick(now, "s", rapid.Uint64().Draw(t, "hash"), now.Add(time.Second), exclude)
				if ok != (possible > 0) || (ok && slices.Contains(exclude, u.ID)) {
					t.Fatalf("picked %v %v, %d possible, excluded %v", u.ID, ok, possible, exclude)
				}
				if ok {
					permits = append(permits, p)
				}
			},
			"finish": func(t *rapid.T) {
				if len(permits) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(permits)-1).Draw(t, "permit")
				r.Finish(now, permits[i], RequestResult{Event: rapid.SampledFrom(events).Draw(t, "event"), Latency: time.Second})
				permits = slices.Delete(permits, i, i+1)
			},
			"probe": func(t *rapid.T) {
				r.HandleProbeResult(now, "u0", rapid.Bool().Draw(t, "answered"))
			},
			"upstreams": func(t *rapid.T) {
				var live []medlarwheel.Upstream
				for i := range 6 {
					if rapid.Bool().Draw(t, "live") {
						live = append(live, testUpstream(medlarwheel.UpstreamID(fmt.Sprint("u", i))))
					}
				}
				r.SetUpstreams(now, "s", live, spec)
			},
			"slow": func(t *rapid.T) {
				for _, h := range r.shares.sortedShares() {
					h.limiter.limit = 1
					r.updateLimit(h)
					r.shares.refresh(now, h)
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * ms)
				r.Tick(now)
			},
			"": func(t *rapid.T) {
				if got := int(r.shares.Capacity(now, "s")); got < len(permits) {
					t.Fatalf("capacity %d with %d in flight", got, len(permits))
				}
				var total slotCounts
				for _, h := range r.shares.shares {
					total.freeOwned += h.counts.freeOwned
					total.owned += h.counts.owned
					total.inFlight += h.counts.inFlight
				}
				if got := r.shares.localPool("s").total; got != total || total.inFlight != len(permits) {
					t.Fatalf("the pool counts %+v, its upstreams %+v, with %d in flight", got, total, len(permits))
				}
				if g := r.shares.localPool("s").group; 2*len(g.ejected) > g.members {
					t.Fatalf("%d of %d ejected", len(g.ejected), g.members)
				}
			},
		})
	})
}

// Guards against other data centres being used while the own one has or may have a free slot, or not used when it has none.
func TestPickPrefersLocalDataCentre(t *testing.T) {
	s := NewShares(DefaultSharesConfig("a", "north", 1))
	s.SetRoster(at(0), Roster{DataCentre: "north", Epoch: 1, Members: []medlarwheel.InstanceID{"a", "b"}, First: true})
	s.HandleConfirmation(at(0), Confirmation{Epoch: 1, Sent: at(0)})
	far := testUpstream("far")
	far.DataCentre = "south"
	s.SetUpstream(at(0), far, testSpec)
	s.SetUpstream(at(0), testUpstream("u1"), testSpec)
	s.SetRoster(at(0), Roster{DataCentre: "south", Epoch: 1, Members: []medlarwheel.InstanceID{"z"}})
	s.SetDemand(at(0), "s", 1, time.Second)
	near := s.NextLoanRequests(at(0))
	s.SetDemand(at(0), "s", 2, time.Second)
	if len(near) != 1 || near[0].Lender != "b" || len(s.NextLoanRequests(at(0))) != 0 {
		t.Fatalf("requests %+v, want one to the own data centre", near)
	}
	s.HandleLoanResponse(at(0), LoanResponse{Nonce: near[0].Nonce, Lender: "b"})
	ask := s.NextLoanRequests(at(0))
	if len(ask) != 1 || ask[0].Lender != "z" {
		t.Fatalf("requests %+v, want one to the other data centre", ask)
	}
	s.HandleLoanResponse(at(0), LoanResponse{Nonce: ask[0].Nonce, Lender: "z", Loans: []Loan{{Upstream: "far", MaxRunTime: time.Second}}})
	r, own := NewRouter(s), s.localPool("s").total.freeOwned
	for i := range own + 2 {
		u, _, ok := r.Pick(at(0), "s", uint64(i), at(time.Second), nil)
		if ok != (i <= own) || (u.ID == "far") != (i == own) {
			t.Fatalf("request %d of %d own slots went to %q", i, own, u.ID)
		}
	}
}

// Guards against results of requests that do not change where the next ones go: failures, latency and load.
func TestRequestResultsChangeRouting(t *testing.T) {
	spec := Spec{Slots: 8, Connections: 64, MaxRequest: time.Minute}
	r := newRouter(2, spec)
	pick := func(now time.Time, hash uint64) Permit {
		_, p, ok := r.Pick(now, "s", hash, now.Add(time.Second), nil)
		if !ok {
			t.Fatal("no permit")
		}
		return p
	}
	const first, both = 0, 1 << 32 // hashes that draw the first upstream twice, and both of them
	held := []Permit{pick(at(0), first), pick(at(0), both)}
	if held[0].share == held[1].share {
		t.Error("of two upstreams, the one with more load was chosen")
	}
	for range 3 {
		r.Finish(at(0), pick(at(0), first), RequestResult{Event: EventConnectFailure})
	}
	if got := r.shares.Capacity(at(0), "s"); got != 9 {
		t.Errorf("capacity %d with one of two upstreams ejected, want 8 and one in flight", got)
	}
	if got := r.shares.Capacity(at(time.Second), "s"); got != 10 {
		t.Errorf("capacity %d with a trial due, want one more", got)
	}
	for _, p := range held {
		if s := p.share; !s.health.ejected {
			r.shares.RemoveUpstream(at(time.Second), s.upstream.ID)
		}
	}
	if got := r.shares.Capacity(at(time.Second), "s"); got != 9 {
		t.Errorf("capacity %d of the one left, which must be readmitted, want 8 and one in flight at the other", got)
	}
	r = newRouter(4, spec)
	late := pick(at(0), first)
	r.shares.RemoveUpstream(at(0), late.share.upstream.ID)
	for range 3 {
		r.HandleProbeResult(at(0), late.share.upstream.ID, false)
	}
	if got := len(r.shares.localPool("s").group.ejected); got != 0 {
		t.Errorf("%d upstreams ejected after a removed one failed", got)
	}
	r = newRouter(1, spec)
	var busy []Permit // the limit falls only while most slots are in use
	for i := range 3 * limiterWindow {
		for {
			_, p, ok := r.Pick(at(0), "s", first, at(time.Minute), nil)
			if !ok {
				break
			}
			busy = append(busy, p)
		}
		r.Finish(at(0), busy[0], RequestResult{Event: EventSuccess, Latency: time.Duration(1+i/limiterWindow*9) * ms})
		busy = busy[1:]
	}
	for _, p := range busy {
		r.Finish(at(0), p, RequestResult{Event: EventNone})
	}
	if got := r.States()[0].Limit; got != 2 || r.shares.Capacity(at(0), "s") != 2 {
		t.Errorf("limit %d, capacity %d after two slow windows", got, r.shares.Capacity(at(0), "s"))
	}
	if r.Tick(at(time.Minute)); r.States()[0].Limit != 3 {
		t.Errorf("limit %d after a minute without samples", r.States()[0].Limit)
	}
}

// Guards against a limit that closes an upstream to its only caller: at one request at a time, slower answers have another
// cause than the number of requests, such as a machine that other work fills.
func TestSequentialCallerKeepsFullLimit(t *testing.T) {
	spec := Spec{Slots: 8, Connections: 8, MaxRequest: time.Second}
	r, now := newRouter(2, spec), at(0)
	for i := range 40 * limiterWindow {
		now = now.Add(ms)
		_, p, ok := r.Pick(now, "s", uint64(i)*7919, now.Add(time.Second), nil)
		if !ok {
			t.Fatalf("request %d of the only caller found no slot; %+v", i, r.States())
		}
		latency := time.Duration(100+i) * time.Microsecond * time.Duration(1+i/limiterWindow%2*9)
		r.Finish(now, p, RequestResult{Event: EventSuccess, Latency: latency})
		if got := r.shares.Capacity(now, "s"); got != 16 {
			t.Fatalf("capacity %d after request %d of the only caller, want all 16 slots; %+v", got, i, r.States())
		}
	}
}
