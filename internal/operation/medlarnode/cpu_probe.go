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

// cpuProbe tells a throttled machine from a busy one: a short fixed computation takes longer only on the throttled one.
type cpuProbe struct {
	clock   medlarwheel.Clock
	fastest time.Duration
	sink    uint64
}

// newCPUProbe returns a probe with a first measurement.
func newCPUProbe(clock medlarwheel.Clock) *cpuProbe {
	s := &cpuProbe{clock: clock}
	s.fastest = s.measure()
	return s
}

// measure returns the shortest time that the computation takes now.
func (s *cpuProbe) measure() time.Duration {
	least := time.Duration(0)
	for range probeRuns {
		began := s.clock.Now()
		for i := range uint64(probeIterations) {
			s.sink += i * s.sink
		}
		if took := s.clock.Now().Sub(began); least == 0 || took < least {
			least = took
		}
	}
	return least
}

// isThrottled reports whether the machine is much slower than at its fastest so far. Only one goroutine may call it.
func (s *cpuProbe) isThrottled() bool {
	took := s.measure()
	s.fastest = min(s.fastest, took)
	return float64(took) >= throttledFactor*float64(s.fastest)
}
