package medlarupstream

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"medlarwheel"
)

// BenchmarkPick measures Pick and Finish for one request, compared with a full scan for the least loaded upstream. The
// cost of the Router must not grow with the number of upstreams, except for cache misses.
func BenchmarkPick(b *testing.B) {
	for _, upstreams := range []int{65, 650, 2800} {
		r, random := newRouter(upstreams, testSpec), rand.New(rand.NewPCG(1, 1))
		shares := r.shares.sortedShares()
		exclude := []medlarwheel.UpstreamID{"u1"}
		b.Run(fmt.Sprintf("two-choices/upstreams=%d", upstreams), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, p, _ := r.Pick(at(0), "s", random.Uint64(), at(time.Second), exclude)
				r.Finish(at(0), p, RequestResult{Event: EventSuccess, Latency: 100 * ms})
			}
		})
		b.Run(fmt.Sprintf("full-scan/upstreams=%d", upstreams), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				least := shares[0]
				for _, h := range shares {
					if h.healthLimit(at(0)) > 0 && h.lessLoaded(least) {
						least = h
					}
				}
				p, _ := r.shares.acquire(at(0), least, at(time.Second))
				r.Finish(at(0), p, RequestResult{Event: EventSuccess, Latency: 100 * ms})
			}
		})
	}
}

// BenchmarkDecisions measures the other operations with 2,800 upstreams.
func BenchmarkDecisions(b *testing.B) {
	const upstreams = 2800
	run := func(name string, f func(i int)) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				f(i)
			}
		})
	}
	list := medlarwheel.InstanceList{}
	for i := range upstreams {
		list.Upstreams = append(list.Upstreams, testUpstream(medlarwheel.UpstreamID(fmt.Sprint("u", i))))
	}
	d := NewDirectory(DefaultDirectoryConfig())
	run("apply-list", func(int) { list.Version++; d.ApplyList(at(0), list) })
	run("observe-known", func(int) { d.Observe(at(0), Observation{Upstream: "u1"}) })
	run("live-after-change", func(int) { d.invalidateLive(); d.Live("s") })
	members := []medlarwheel.InstanceID{"a", "b", "c", "d", "e", "f", "g", "h", "i"}
	run("owner-of-9", func(i int) { Owner("u1", i%8, members) })
	s := newMember("a", members...)
	for _, u := range list.Upstreams {
		s.SetUpstream(at(0), u, testSpec)
	}
	run("lend-and-return", func(i int) {
		response := s.Lend(at(0), "b", LoanRequest{Nonce: uint64(i + 1), Service: "s", Slots: 1, MaxRunTime: time.Second})
		for _, l := range response.Loans {
			s.Return(at(0), "b", Return{Loan: l.ID})
		}
	})
	run("contact", func(int) { s.HandleConfirmation(at(0), Confirmation{Peer: "b", Epoch: s.roster.Epoch, Sent: at(0)}) })
	run("set-roster", func(i int) {
		s.SetRoster(at(0), Roster{DataCentre: "north", Epoch: medlarwheel.Epoch(i + 2), Members: members[:8+i%2]})
	})
	limiter := NewConcurrencyLimiter(DefaultConcurrencyLimiterConfig(), 8)
	run("gradient", func(int) { limiter.Observe(at(0), 100*ms, 0, true) })
}

// completion is the end of a simulated request.
type completion struct {
	at     time.Duration
	took   time.Duration
	permit Permit
}

type completions []completion

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].at < c[j].at }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(x any)        { *c = append(*c, x.(completion)) }
func (c *completions) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// BenchmarkBalance compares round robin with the Router, with and without the concurrency limit, on 65 upstreams. The
// latency of each upstream grows by 15% of its base with each concurrent request, and every tenth upstream is eight
// times slower for a third of the time.
func BenchmarkBalance(b *testing.B) {
	const upstreams, seed, base, length = 65, 5, 100 * ms, 60 * time.Second
	for _, load := range []float64{0.2, 0.3} {
		for _, policy := range []string{"round-robin", "two-choices", "two-choices-and-gradient"} {
			b.Run(fmt.Sprintf("load=%g/%s", load, policy), func(b *testing.B) {
				for range b.N {
					r, random := newRouter(upstreams, testSpec), rand.New(rand.NewPCG(seed, 1))
					shares := r.shares.sortedShares()
					var running completions
					var latencies []time.Duration
					rejected := 0
					rate := load * upstreams * 8 / base.Seconds()
					for now, i := time.Duration(0), 0; now < length; i++ {
						now += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
						for len(running) > 0 && running[0].at <= now {
							e := heap.Pop(&running).(completion)
							result := RequestResult{Event: EventSuccess, Latency: e.took}
							if policy != "two-choices-and-gradient" {
								result.Event = EventNone
							}
							r.Finish(at(e.at), e.permit, result)
							latencies = append(latencies, e.took)
						}
						if i%int(rate) == 0 {
							r.Tick(at(now))
						}
						p, ok := Permit{}, false
						if policy == "round-robin" {
							for j := 0; j < upstreams && !ok; j++ {
								p, ok = r.shares.acquire(at(now), shares[(i+j)%upstreams], at(now+time.Second))
							}
						} else {
							_, p, ok = r.Pick(at(now), "s", random.Uint64(), at(now+time.Second), nil)
						}
						if !ok {
							rejected++
							continue
						}
						took := time.Duration(float64(base) * random.ExpFloat64() * (1 + 0.15*float64(p.share.inFlight-1)))
						if slices.Index(shares, p.share)%10 == 0 && now > length/3 && now < length*2/3 {
							took *= 8
						}
						heap.Push(&running, completion{at: now + took, took: took, permit: p})
					}
					slices.Sort(latencies)
					b.ReportMetric(float64(latencies[len(latencies)/2])/1e6, "p50-ms")
					b.ReportMetric(float64(latencies[len(latencies)*99/100])/1e6, "p99-ms")
					b.ReportMetric(float64(latencies[len(latencies)*999/1000])/1e6, "p99.9-ms")
					b.ReportMetric(float64(rejected), "turned-away")
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}
