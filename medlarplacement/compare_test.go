package medlarplacement

import (
	"testing"
	"time"
)

// The targets of the design page, against the naive version of the same run.
const (
	targetThroughput = 1.5
	targetEvictions  = 0.5
	targetTail       = 1.0
	// minTemplateShare is not on the page: the least served kind gets a quarter of an equal share of the batch work.
	minTemplateShare = 0.25
)

// Guards against a change that gives up what the package is for: at least 1.5 times the batch throughput of the naive
// version with at most half of its evictions and no worse a tail latency of services, and without starving a kind. The
// seeds are not those with which the defaults were chosen (1 to 4).
func TestColocationMeetsTargetsAgainstNaivePolicy(t *testing.T) {
	for _, seed := range []uint64{31, 32} {
		naive, full := compare(seed, 120, time.Hour, nil)
		t.Logf("seed %d naive %+v", seed, naive)
		t.Logf("seed %d full  %+v", seed, full)
		if full.leastServed < minTemplateShare {
			t.Errorf("seed %d: a kind gets %.2f of an equal share", seed, full.leastServed)
		}
		if ratio := full.throughput / naive.throughput; ratio < targetThroughput {
			t.Errorf("seed %d: batch throughput is %.2f of the naive version's", seed, ratio)
		}
		if ratio := full.evictions / naive.evictions; ratio > targetEvictions {
			t.Errorf("seed %d: evictions are %.2f of the naive version's", seed, ratio)
		}
		if ratio := full.tail / naive.tail; ratio > targetTail {
			t.Errorf("seed %d: tail latency is %.2f of the naive version's", seed, ratio)
		}
	}
}

func compare(seed uint64, workers int, length time.Duration, change func(*fullPolicy)) (naive, full results) {
	w := newSimulation(seed, workers)
	naive = w.run(newNaivePolicy(w), length)
	w = newSimulation(seed, workers)
	return naive, w.run(newFullPolicy(w, seed, change), length)
}

// BenchmarkColocation reports each figure with its ratio to the naive version of the same run. The variants replace one
// part at a time by its naive version.
func BenchmarkColocation(b *testing.B) {
	variants := []struct {
		name    string
		workers int
		length  time.Duration
		change  func(*fullPolicy)
	}{
		{"full-280", 280, 2 * time.Hour, nil},
		{"first-fit-280", 280, 2 * time.Hour, func(p *fullPolicy) { p.firstFit = true }},
		{"no-learning-280", 280, 2 * time.Hour, func(p *fullPolicy) { p.noLearning = true }},
		{"immediate-eviction-280", 280, 2 * time.Hour, func(p *fullPolicy) { p.immediate = true }},
		{"no-lending-280", 280, 2 * time.Hour, func(p *fullPolicy) { p.noOvercommit = true }},
		{"full-2800", 2800, time.Hour, nil},
	}
	for _, v := range variants {
		b.Run(v.name, func(b *testing.B) {
			const seed = 21
			for range b.N {
				naive, full := compare(seed, v.workers, v.length, v.change)
				b.ReportMetric(seed, "seed")
				b.ReportMetric(full.tail, "service-p99-slowdown")
				b.ReportMetric(full.tail/naive.tail, "service-p99/naive")
				b.ReportMetric(full.throughput, "batch-hours/worker-hour")
				b.ReportMetric(full.throughput/naive.throughput, "batch/naive")
				b.ReportMetric(full.evictions, "evictions/1000h")
				b.ReportMetric(full.evictions/naive.evictions, "evictions/naive")
				b.ReportMetric(full.leastServed, "least-served-kind")
				b.ReportMetric(naive.leastServed, "least-served-kind-naive")
			}
		})
	}
}
