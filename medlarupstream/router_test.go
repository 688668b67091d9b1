package medlarupstream

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwheel"
)

// newRouter returns a Router of a sole member with the given number of upstreams.
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

// countAvailable counts the upstreams that Pick may return, by a scan of all of them.
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

// Guards against requests that are rejected although a healthy upstream has a free slot, requests that are sent to a full,
// ejected or excluded upstream, totals of a pool that differ from the sum over its upstreams, and ejection of more than half
// of the upstreams. Compares each pick with a full scan.
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
				available := countAvailable(r.shares, now, exclude)
				u, p, ok := r.Pick(now, "s", rapid.Uint64().Draw(t, "hash"), now.Add(time.Second), exclude)
				if ok != (available > 0) || (ok && slices.Contains(exclude, u.ID)) {
					t.Fatalf("picked %q, %v, with %d available upstreams and %v excluded", u.ID, ok, available, exclude)
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
					t.Fatalf("capacity %d with %d requests in flight, want at least as much", got, len(permits))
				}
				var total slotCounts
				for _, h := range r.shares.shares {
					total.freeOwned += h.counts.freeOwned
					total.owned += h.counts.owned
					total.inFlight += h.counts.inFlight
				}
				if got := r.shares.localPool("s").total; got != total || total.inFlight != len(permits) {
					t.Fatalf("the pool counts %+v, its upstreams %+v, with %d requests in flight", got, total, len(permits))
				}
				if g := r.shares.localPool("s").group; 2*len(g.ejected) > g.members {
					t.Fatalf("%d of %d upstreams ejected, want at most half", len(g.ejected), g.members)
				}
			},
		})
	})
}

// Guards against use of another data centre while the local one has a free slot or may lend one, and against requests
// that are rejected although only the local data centre has no free slot.
func TestPickPrefersLocalDataCentre(t *testing.T) {
	s := NewShares(DefaultSharesConfig("a", "north", 1))
	s.SetRoster(at(0), Roster{DataCentre: "north", Epoch: 1, Members: []medlarwheel.InstanceID{"a", "b"}, First: true})
	s.HandleConfirmation(at(0), Confirmation{Epoch: 1, Sent: at(0)})
	remote := testUpstream("far")
	remote.DataCentre = "south"
	s.SetUpstream(at(0), remote, testSpec)
	s.SetUpstream(at(0), testUpstream("u1"), testSpec)
	s.SetRoster(at(0), Roster{DataCentre: "south", Epoch: 1, Members: []medlarwheel.InstanceID{"z"}})
	s.SetDemand(at(0), "s", 1, time.Second)
	localRequests := s.NextLoanRequests(at(0))
	s.SetDemand(at(0), "s", 2, time.Second)
	if len(localRequests) != 1 || localRequests[0].Lender != "b" || len(s.NextLoanRequests(at(0))) != 0 {
		t.Fatalf("requests %+v, want one to the local data centre and none to others", localRequests)
	}
	s.HandleLoanResponse(at(0), LoanResponse{Nonce: localRequests[0].Nonce, Lender: "b"})
	remoteRequests := s.NextLoanRequests(at(0))
	if len(remoteRequests) != 1 || remoteRequests[0].Lender != "z" {
		t.Fatalf("requests %+v, want one to the other data centre", remoteRequests)
	}
	s.HandleLoanResponse(at(0), LoanResponse{Nonce: remoteRequests[0].Nonce, Lender: "z", Loans: []Loan{{Upstream: "far", MaxRunTime: time.Second}}})
	r, own := NewRouter(s), s.localPool("s").total.freeOwned
	for i := range own + 2 {
		u, _, ok := r.Pick(at(0), "s", uint64(i), at(time.Second), nil)
		if ok != (i <= own) || (u.ID == "far") != (i == own) {
			t.Fatalf("request %d with %d owned slots went to %q", i, own, u.ID)
		}
	}
}

// Guards against routing that ignores the results of earlier requests: load, failures, successful trials and latency.
func TestRequestResultsChangeRouting(t *testing.T) {
	spec := Spec{Slots: 8, Connections: 64, MaxRequest: time.Minute}
	r := newRouter(2, spec)
	pick := func(now time.Time, hash uint64) Permit {
		_, p, ok := r.Pick(now, "s", hash, now.Add(time.Second), nil)
		if !ok {
			t.Fatal("Pick returned no permit")
		}
		return p
	}
	const first, both = 0, 1 << 32 // hashes that select the first upstream twice, and both upstreams
	held := []Permit{pick(at(0), first), pick(at(0), both)}
	if held[0].share == held[1].share {
		t.Error("the more loaded of two upstreams was selected")
	}
	for range 3 {
		r.Finish(at(0), pick(at(0), first), RequestResult{Event: EventConnectFailure})
	}
	if got := r.shares.Capacity(at(0), "s"); got != 9 {
		t.Errorf("capacity %d with one of two upstreams ejected, want 8 plus one request in flight", got)
	}
	if got := r.shares.Capacity(at(time.Second), "s"); got != 10 {
		t.Errorf("capacity %d with a trial due, want 10", got)
	}
	for _, p := range held {
		if s := p.share; !s.health.ejected {
			r.shares.RemoveUpstream(at(time.Second), s.upstream.ID)
		}
	}
	if got := r.shares.Capacity(at(time.Second), "s"); got != 9 {
		t.Errorf("capacity %d after the available upstream was removed, want 8 of the readmitted one plus one request in flight", got)
	}
	r = newRouter(4, spec)
	late := pick(at(0), first)
	r.shares.RemoveUpstream(at(0), late.share.upstream.ID)
	for range 3 {
		r.HandleProbeResult(at(0), late.share.upstream.ID, false)
	}
	if got := len(r.shares.localPool("s").group.ejected); got != 0 {
		t.Errorf("%d upstreams ejected after probe failures of a removed one, want 0", got)
	}
	r = newRouter(1, spec)
	var busy []Permit // keeps all slots in use, because the limit falls only while most are
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
		t.Errorf("limit %d, capacity %d after two slow windows, want 2", got, r.shares.Capacity(at(0), "s"))
	}
	if r.Tick(at(time.Minute)); r.States()[0].Limit != 3 {
		t.Errorf("limit %d after a minute without samples, want 3", r.States()[0].Limit)
	}
}

// Guards against a limit that takes slots away from a client that sends one request at a time. Its latency does not rise
// because of concurrency but for another reason, such as other work on the machine, and a lower limit would not help.
func TestSequentialClientKeepsFullLimit(t *testing.T) {
	spec := Spec{Slots: 8, Connections: 8, MaxRequest: time.Second}
	r, now := newRouter(2, spec), at(0)
	for i := range 40 * limiterWindow {
		now = now.Add(ms)
		_, p, ok := r.Pick(now, "s", uint64(i)*7919, now.Add(time.Second), nil)
		if !ok {
			t.Fatalf("request %d of a sequential client got no slot; states %+v", i, r.States())
		}
		latency := time.Duration(100+i) * time.Microsecond * time.Duration(1+i/limiterWindow%2*9)
		r.Finish(now, p, RequestResult{Event: EventSuccess, Latency: latency})
		if got := r.shares.Capacity(now, "s"); got != 16 {
			t.Fatalf("capacity %d after request %d of a sequential client, want all 16 slots; states %+v", got, i, r.States())
		}
	}
}
