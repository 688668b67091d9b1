package medlarupstream

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against more requests in flight at one upstream than it has slots, over all instances, whatever happens to
// messages, clocks, processes and the roster.
func TestRequestsWithinSlotsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choice := rapid.Uint64()
		const spread = 0x9e3779b97f4a7c15 // rapid prefers small numbers
		w := newSimulation(func(n int) int { return int(choice.Draw(t, "choice") * spread >> 32 % uint64(n)) }, func(*SharesConfig) {})
		for range 1000 {
			if err := w.step(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// injectedFault is a rule that is taken out.
type injectedFault struct {
	config                    func(*SharesConfig)
	omitUnclean, claimDrained bool
}

// simulate takes random steps and returns the first violation.
func simulate(seed uint64, steps int, f injectedFault) (*simulation, error) {
	r := rand.New(rand.NewPCG(seed, 0))
	w := newSimulation(r.IntN, f.config)
	w.omitUnclean, w.claimDrained = f.omitUnclean, f.claimDrained
	for range steps {
		if err := w.step(); err != nil {
			return w, err
		}
	}
	return w, nil
}

// Guards against a check that would not notice a broken rule: with the guard, the rest of moved slots or the stop without
// contact taken out, the same check must find a violation; with the rules in place it must see loans, moves and full
// upstreams.
func TestSimulationDetectsInjectedFaults(t *testing.T) {
	const seeds, steps = 100, 40000
	unchanged := func(*SharesConfig) {}
	faults := map[string]injectedFault{
		"none":             {config: unchanged},
		"no guard":         {config: func(c *SharesConfig) { c.SafetyMargin = 0 }},
		"early reuse":      {config: func(c *SharesConfig) { c.ReuseDelay = -simSpec.MaxRequest }},
		"no stop":          {config: func(c *SharesConfig) { c.ConfirmationTimeout = time.Hour }},
		"unmarked removal": {config: unchanged, omitUnclean: true},
		"false drained":    {config: unchanged, claimDrained: true},
	}
	for name, f := range faults {
		borrowed, moved, crowded, drained, left := 0, 0, 0, 0, 0
		var found error
		seed := uint64(0)
		for ; seed < seeds && found == nil; seed++ {
			w, err := simulate(seed, steps, f)
			borrowed, moved, crowded = borrowed+w.loans, moved+w.rosterChanges, crowded+w.full
			drained, left = drained+w.drained, left+w.cleanRemovals
			found = err
		}
		t.Logf("%s: %d seeds, %d loans, %d roster changes seen, %d times full, %d times drained, %d clean ends; %v",
			name, seed, borrowed, moved, crowded, drained, left, found)
		if (found == nil) != (name == "none") {
			t.Errorf("%s: violation %v", name, found)
		}
		if name == "none" && (min(borrowed, moved, crowded, drained) < 1000 || left < 200) {
			t.Errorf("the walk saw too little: %d loans, %d roster changes, %d times full, %d times drained, %d clean ends",
				borrowed, moved, crowded, drained, left)
		}
	}
}
