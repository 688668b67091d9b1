package medlarnode

import (
	"time"

	"medlarwheel"
)

const (
	// probeIterations is the number of loop iterations in one measurement, which takes some tens of microseconds. A
	// longer one would be interrupted by other goroutines.
	probeIterations = 20_000
	// probeRuns is the number of measurements of which the fastest counts.
	probeRuns = 3
	// throttledFactor is how much longer than the fastest measurement so far the loop must take for the machine to count
	// as throttled.
	throttledFactor = 2.0
)

// cpuProbe distinguishes a throttled machine from a busy one: a short fixed computation takes longer
// only on the throttled one.
type cpuProbe struct {
	clock   medlarwheel.Clock
	fastest time.Duration
	sink    uint64
}

// newCPUProbe returns a probe with a first measurement.
func newCPUProbe(clock medlarwheel.Clock) *cpuProbe {
	p := &cpuProbe{clock: clock}
	p.fastest = p.measure()
	return p
}

// measure returns the shortest time that the computation takes now.
func (p *cpuProbe) measure() time.Duration {
	least := time.Duration(0)
	for range probeRuns {
		began := p.clock.Now()
		for i := range uint64(probeIterations) {
			p.sink += i * p.sink
		}
		if took := p.clock.Now().Sub(began); least == 0 || took < least {
			least = took
		}
	}
	return least
}

// isThrottled reports whether the machine is much slower than at its fastest so far. Only one goroutine may call it.
func (p *cpuProbe) isThrottled() bool {
	took := p.measure()
	p.fastest = min(p.fastest, took)
	return float64(took) >= throttledFactor*float64(p.fastest)
}
