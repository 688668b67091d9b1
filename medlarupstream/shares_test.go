package medlarupstream

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against more requests in flight at one upstream than it has slots, counted over all instances, when messages are
// lost, delayed or duplicated, clocks drift, and processes freeze, restart, join or leave the roster.
func TestRequestsWithinSlotsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choice := rapid.Uint64()
		const spread = 0x9e3779b97f4a7c15 // spreads the draws, because rapid prefers small numbers
		sim := newSimulation(func(n int) int { return int(choice.Draw(t, "choice") * spread >> 32 % uint64(n)) }, func(*SharesConfig) {})
		for range 1000 {
			if err := sim.step(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// injectedFault disables one of the rules of Shares.
type injectedFault struct {
	config                    func(*SharesConfig)
	omitUnclean, claimDrained bool
}

// simulate performs random operations and returns the first violation.
func simulate(seed uint64, steps int, f injectedFault) (*simulation, error) {
	r := rand.New(rand.NewPCG(seed, 0))
	sim := newSimulation(r.IntN, f.config)
	sim.omitUnclean, sim.claimDrained = f.omitUnclean, f.claimDrained
	for range steps {
		if err := sim.step(); err != nil {
			return sim, err
		}
	}
	return sim, nil
}

// Guards against a simulation that would not detect a broken rule. Without the safety margin, the cooldown of
// reassigned slots, the confirmation timeout, the mark for unclean removals or true drained reports, the same check
// must detect a violation. With all rules in place it must not, and must cover loans, roster changes, full upstreams,
// drained rosters and clean removals.
func TestSimulationDetectsInjectedFaults(t *testing.T) {
	const seeds, steps = 100, 40000
	unchanged := func(*SharesConfig) {}
	faults := map[string]injectedFault{
		"none":                    {config: unchanged},
		"no safety margin":        {config: func(c *SharesConfig) { c.SafetyMargin = 0 }},
		"early reuse":             {config: func(c *SharesConfig) { c.ReuseDelay = -simSpec.MaxRequest }},
		"no confirmation timeout": {config: func(c *SharesConfig) { c.ConfirmationTimeout = time.Hour }},
		"unmarked removal":        {config: unchanged, omitUnclean: true},
		"false drained":           {config: unchanged, claimDrained: true},
	}
	for name, f := range faults {
		loans, rosterChanges, full, drained, cleanRemovals := 0, 0, 0, 0, 0
		var violation error
		seed := uint64(0)
		for ; seed < seeds && violation == nil; seed++ {
			sim, err := simulate(seed, steps, f)
			loans, rosterChanges, full = loans+sim.loans, rosterChanges+sim.rosterChanges, full+sim.full
			drained, cleanRemovals = drained+sim.drained, cleanRemovals+sim.cleanRemovals
			violation = err
		}
		t.Logf("%s: %d seeds, %d loans, %d roster changes seen, %d times full, %d times drained, %d clean removals; violation %v",
			name, seed, loans, rosterChanges, full, drained, cleanRemovals, violation)
		if (violation == nil) != (name == "none") {
			t.Errorf("%s: got violation %v", name, violation)
		}
		if name == "none" && (min(loans, rosterChanges, full, drained) < 1000 || cleanRemovals < 200) {
			t.Errorf("the simulation covered too little: %d loans, %d roster changes, %d times full, %d times drained, %d clean removals",
				loans, rosterChanges, full, drained, cleanRemovals)
		}
	}
}
