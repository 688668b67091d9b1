package medlarjob_test

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"medlarwheel/internal/testing/medlarseed"
)

// TestMain fixes the seed of the random tests unless the command line names one.
func TestMain(m *testing.M) {
	medlarseed.Main(m, medlarseed.Flags{"rapid.seed": "20260304", "rapid.checks": "10", "rapid.steps": "100"})
}

// Guards against commitments beyond a worker, two running attempts of one task, checkpoints that are resumed twice or
// not at all, admissions beyond a quota, and jobs that never end, with owners that freeze, restart, hold stale views and
// lose answers, and workers that restart or are cut off.
func TestJobLifecycleUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }, "", "")
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
		if err := s.runToCompletion(); err != nil {
			t.Fatal(err)
		}
	})
}

// runSeed drives the state machine from a seed. It goes deeper than the runs of rapid.
func runSeed(seed uint64, planted injectedFault, only checker) error {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := newSim(rng.IntN, planted, only)
	actions := s.actions()
	weighted := []string{"advance", "advance", "round", "round", "round", "step", "deliver", "flush", "flush"}
	for step := 0; step < 800 && s.err == nil; step++ {
		name := weighted[rng.IntN(len(weighted))]
		if rng.IntN(25) == 0 {
			name = "fault"
		}
		actions[name]()
	}
	return s.runToCompletion()
}

// Guards against the same as TestStateMachine.
func TestJobLifecycleUnderFaultsWithFixedSeeds(t *testing.T) {
	for seed := range uint64(8) {
		if err := runSeed(seed, "", ""); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// Guards against checkers that pass everything: each must find the fault that is planted for it.
func TestCheckersDetectInjectedFaults(t *testing.T) {
	for _, c := range []struct {
		planted injectedFault
		only    checker
		// from is a seed shortly before the first that shows the fault. Later ones are tried, too.
		from uint64
	}{
		{faultBlindWorkerWrite, checkCapacity, 7},
		{faultBlindWorkerWrite, checkWorkerRow, 7},
		{faultBlindJobWrite, checkCommitments, 0},
		{faultStartWithoutProof, checkOneRunAtATime, 0},
		{faultRunPastLease, checkHistory, 6},
		{faultReusedAttemptNumber, checkStartedOnce, 0},
		{faultNoResume, checkResume, 0},
		{faultIgnoredLeaseExpiry, checkFinal, 3},
		{faultNoLedger, checkQuota, 0},
	} {
		t.Run(string(c.planted+" / "+injectedFault(c.only)), func(t *testing.T) {
			for seed := c.from; seed < c.from+100; seed++ {
				if err := runSeed(seed, c.planted, c.only); err != nil {
					t.Logf("found with seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("not found")
		})
	}
}
