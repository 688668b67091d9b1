package medlaraccount_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/medlaraccount"
)

const (
	urgent     = medlarwheel.ClassUrgent
	standard   = medlarwheel.ClassStandard
	background = medlarwheel.ClassBackground
)

const simSeed = 7

// moderateLoad returns a load of 30% of the capacity for each class.
func moderateLoad() []arrivalStream {
	return []arrivalStream{{urgent, 0.3, 5}, {standard, 0.3, 5}, {background, 0.3, 5}}
}

// floodOf returns the moderate load with one class raised to ten times the capacity.
func floodOf(class medlarwheel.Class) []arrivalStream {
	streams := moderateLoad()
	streams[class.Rank()].load = 10
	return streams
}

// goodput returns the part of the capacity that completed requests of any class within their deadline.
func goodput(classes map[medlarwheel.Class]*classStats) float64 {
	return classes[urgent].share() + classes[standard].share() + classes[background].share()
}

// Guards against missing the overload targets of the design page: the goodput, the tail latency of the protected class, and
// the share that the other classes retain. The simulation floods the system once with background and once with urgent work.
func TestFloodMeetsGoodputAndIsolationTargets(t *testing.T) {
	t.Logf("seed %d", simSeed)
	run := func(streams []arrivalStream) map[medlarwheel.Class]*classStats {
		p := newAdmissionPolicy(medlaraccount.DefaultAdmissionConfig(), 0)
		return simulate(simSeed, p, false, fixedDeadline, streams...)
	}
	calm, fromBelow, fromAbove := run(moderateLoad()), run(floodOf(background)), run(floodOf(urgent))
	peak := goodput(run([]arrivalStream{{urgent, 0.4, 5}, {standard, 0.4, 5}, {background, 0.4, 5}}))
	for name, got := range map[string]float64{"background": goodput(fromBelow), "urgent": goodput(fromAbove)} {
		if got < 0.95*peak {
			t.Errorf("goodput in a flood of %s work: got %.3f of the capacity, want at least 95%% of %.3f", name, got, peak)
		}
	}
	before, during := percentile(calm[urgent].latencies, 0.99), percentile(fromBelow[urgent].latencies, 0.99)
	if during > before*3/2 {
		t.Errorf("99th percentile of the latency of urgent requests in a flood of background work: got %v, want at most 1.5 times %v", during, before)
	}
	if got := fromBelow[urgent].share(); got < 0.95*calm[urgent].share() {
		t.Errorf("share of urgent work in a flood of background work: got %.3f, want at least 95%% of %.3f", got, calm[urgent].share())
	}
	floor := medlaraccount.DefaultAdmissionConfig().ClassFloor
	if got := fromAbove[standard].share(); got < 0.95*floor.Standard {
		t.Errorf("share of standard work in a flood of urgent work: got %.3f, want at least 95%% of its floor %.3f", got, floor.Standard)
	}
	if got := fromAbove[background].share(); got < 0.95*floor.Background {
		t.Errorf("share of background work in a flood of urgent work: got %.3f, want at least 95%% of its floor %.3f", got, floor.Background)
	}
	if got := percentile(fromAbove[urgent].refusalDelays, 0.5); got != 0 {
		t.Errorf("median delay of a refusal in a flood of urgent work: got %v, want 0", got)
	}
}

func reportMetrics(b *testing.B, classes map[medlarwheel.Class]*classStats, protected medlarwheel.Class) {
	b.ReportMetric(goodput(classes), "goodput")
	b.ReportMetric(float64(percentile(classes[protected].latencies, 0.99))/1e6, "protected-p99-ms")
	for _, c := range medlarwheel.Classes() {
		b.ReportMetric(classes[c].share(), string(c)+"-share")
	}
	b.ReportMetric(0, "ns/op")
}

// BenchmarkFlood compares Admission with two baselines at moderate load and in floods of background and urgent work,
// with the same seed. It reports the shares of the capacity that completed requests within their deadline.
func BenchmarkFlood(b *testing.B) {
	policies := []struct {
		name string
		make func() policy
	}{
		{"admission", func() policy { return newAdmissionPolicy(medlaraccount.DefaultAdmissionConfig(), 0) }},
		{"fixed-split", func() policy { return &fifoPolicy{split: true} }},
		{"unlimited-fifo", func() policy { return &fifoPolicy{} }},
	}
	loads := []struct {
		name      string
		streams   []arrivalStream
		protected medlarwheel.Class
	}{
		{"calm", moderateLoad(), urgent}, {"background-flood", floodOf(background), urgent}, {"urgent-flood", floodOf(urgent), standard},
	}
	for _, load := range loads {
		for _, p := range policies {
			b.Run(load.name+"/"+p.name, func(b *testing.B) {
				for range b.N {
					reportMetrics(b, simulate(simSeed, p.make(), false, fixedDeadline, load.streams...), load.protected)
				}
			})
		}
	}
}

// BenchmarkQueueOrder compares the queue orders under overload with deadlines from 200 ms to 2 s, at constant capacity and
// with drops of the capacity.
func BenchmarkQueueOrder(b *testing.B) {
	varied := func(r *rand.Rand) time.Duration { return time.Duration(200+r.IntN(1800)) * time.Millisecond }
	for _, load := range []float64{1.2, 3, 10} {
		for _, drops := range []bool{false, true} {
			for order, name := range []string{"oldest-first", "newest-first"} {
				b.Run(fmt.Sprintf("load=%g/drops=%v/%s", load, drops, name), func(b *testing.B) {
					c := medlaraccount.DefaultAdmissionConfig()
					c.Order = medlaraccount.Order(order)
					for range b.N {
						classes := simulate(simSeed, newAdmissionPolicy(c, 0), drops, varied, arrivalStream{standard, load, 8})
						got := classes[standard]
						b.ReportMetric(got.share(), "goodput")
						b.ReportMetric(float64(percentile(got.latencies, 0.5))/1e6, "p50-ms")
						b.ReportMetric(float64(percentile(got.latencies, 0.99))/1e6, "p99-ms")
						b.ReportMetric(float64(percentile(got.refusalDelays, 0.99))/1e6, "refusal-p99-ms")
						b.ReportMetric(float64(len(got.latencies)-got.onTime), "wasted")
						b.ReportMetric(0, "ns/op")
					}
				})
			}
		}
	}
}

// BenchmarkOffer measures the cost of one request at ten times the capacity: nine of ten requests are refused, the tenth is
// queued, granted and completed. The cost must not grow with the number of lanes.
func BenchmarkOffer(b *testing.B) {
	for _, lanes := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("lanes=%d", lanes), func(b *testing.B) {
			a := medlaraccount.NewAdmission(medlaraccount.DefaultAdmissionConfig())
			now := simStart
			a.SetCapacity(now, simCapacity)
			keys := make([]medlaraccount.Lane, lanes)
			for i := range keys {
				keys[i] = medlaraccount.Lane{Template: "t", Account: medlarwheel.AccountID(fmt.Sprint(i)),
					Class: medlarwheel.Classes()[i%3]}
				a.SetShare(keys[i], medlaraccount.Share{Guaranteed: 1, Weight: 1, QueueLimit: 10})
			}
			running := make([]medlaraccount.Grant, 0, simCapacity)
			const step = 150 * time.Microsecond // ten times 65 slots of 100 ms
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(step)
				key := keys[(i*7919)%lanes]
				r := medlaraccount.Request{ID: medlaraccount.RequestID(i + 1), Lane: key, Deadline: now.Add(time.Second)}
				if a.Offer(now, r).Decision == medlaraccount.Admitted {
					running = append(running, medlaraccount.Grant{ID: r.ID, Lane: key})
				}
				if i%10 == 0 && len(running) == simCapacity {
					a.Done(now, running[0].ID, running[0].Lane)
					running = append(running[:0], running[1:]...)
				}
				running = append(running, a.Next(now)...)
				a.Expire(now)
			}
		})
	}
}
