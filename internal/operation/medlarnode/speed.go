package medlarnode

import (
	"time"

	"medlarwheel"
)

const (
	// probeIterations is the number of rounds of the work whose duration is the speed of the machine, some tens of microseconds: a
	// longer one would be interrupted by other goroutines.
	probeIterations = 20_000
	// probeRuns is the number of tries of which the fastest counts.
	probeRuns = 3
	// throttledFactor is how much longer than ever before the work must take on a machine that counts as slowed.
	throttledFactor = 2.0
)

// cpuProbe tells a machine that is slowed from one that is loaded: a fixed work takes longer only on the first.
type cpuProbe struct {
	clock   medlarwheel.Clock
	fastest time.Duration
	sink    uint64
}

// newCPUProbe measures the machine for the first time.
func newCPUProbe(clock medlarwheel.Clock) *cpuProbe {
	s := &cpuProbe{clock: clock}
	s.fastest = s.measure()
	return s
}

// measure returns the least time that the work takes now.
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

// isThrottled reports whether the machine is much slower than it was before. Only one goroutine may call it.
func (s *cpuProbe) isThrottled() bool {
	took := s.measure()
	s.fastest = min(s.fastest, took)
	return float64(took) >= throttledFactor*float64(s.fastest)
}
