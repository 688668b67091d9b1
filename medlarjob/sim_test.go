package medlarjob_test

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// Guards against commitments beyond a worker, two running attempts of one task, checkpoints that are resumed twice or
// not at all, admissions beyond a quota, and jobs that never end, with owners that freeze, restart, hold stale views and
// lose answers, and workers that restart or are cut off.
func TestStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }, plantNone)
		actions := map[string]func(*rapid.T){"": func(t *rapid.T) {
			if s.err != nil {
				t.Fatal(s.err)
			}
		}}
		for name, action := range s.actions() {
			actions[name] = func(*rapid.T) { action() }
		}
		t.Repeat(actions)
		s.pick = rand.New(rand.NewPCG(1, 1)).IntN
		if err := s.settle(); err != nil {
			t.Fatal(err)
		}
	})
}

// runSeed drives the state machine from a seed. It goes deeper than the short runs of rapid.
func runSeed(seed uint64, planted plant, only checker) error {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := newSim(rng.IntN, planted)
	s.only = only
	actions := s.actions()
	weighted := []string{"advance", "advance", "round", "round", "round", "step", "deliver", "flush", "flush"}
	for range 800 {
		if s.err != nil {
			return s.err
		}
		name := weighted[rng.IntN(len(weighted))]
		if rng.IntN(25) == 0 {
			name = "fault"
		}
		actions[name]()
	}
	return s.settle()
}

const seeds = 20

// Guards against the same as TestStateMachine.
func TestStateMachineWithSeeds(t *testing.T) {
	for seed := range uint64(seeds) {
		if err := runSeed(seed, plantNone, ""); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// Guards against checkers that pass everything: each planted fault must be found.
func TestStateMachineFindsPlantedFaults(t *testing.T) {
	for planted, only := range map[plant]checker{
		plantBlind: checkCapacity, plantRawStart: checkSingle, plantOverrun: checkHistory, plantSameNumber: checkOnce,
		plantNoResume: checkResume, plantNoLoss: checkFinal, plantNoLedger: checkQuota, plantBlindJob: checkCommitments,
	} {
		t.Run(string(planted), func(t *testing.T) {
			for seed := range uint64(seeds) {
				if err := runSeed(seed, planted, only); err != nil {
					t.Logf("found with seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("not found")
		})
	}
}
