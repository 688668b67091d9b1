package medlarnode

import (
	"time"

	"medlarwheel"
)

const (
	// speedWork is the number of rounds of the work whose duration is the speed of the machine, some tens of microseconds: a
	// longer one would be interrupted by other goroutines.
	speedWork = 20_000
	// speedTries is the number of tries of which the fastest counts.
	speedTries = 3
	// slowedFactor is how much longer than ever before the work must take on a machine that counts as slowed.
	slowedFactor = 2.0
)

// speed tells a machine that is slowed from one that is loaded: a fixed work takes longer only on the first.
type speed struct {
	clock medlarwheel.Clock
	best  time.Duration
	sink  uint64
}

// newSpeed measures the machine for the first time.
func newSpeed(clock medlarwheel.Clock) *speed {
	s := &speed{clock: clock}
	s.best = s.measure()
	return s
}

// measure returns the least time that the work takes now.
func (s *speed) measure() time.Duration {
	least := time.Duration(0)
	for range speedTries {
		began := s.clock.Now()
		for i := range uint64(speedWork) {
			s.sink += i * s.sink
		}
		if took := s.clock.Now().Sub(began); least == 0 || took < least {
			least = took
		}
	}
	return least
}

// isSlowed reports whether the machine is much slower than it was before. Only one goroutine may call it.
func (s *speed) isSlowed() bool {
	took := s.measure()
	s.best = min(s.best, took)
	return float64(took) >= slowedFactor*float64(s.best)
}
