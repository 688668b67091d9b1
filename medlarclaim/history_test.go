package medlarclaim_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"medlarwheel/medlarclaim"
)

type eventKind string

const (
	eventRun     eventKind = "run"
	eventNotRun  eventKind = "not-run"
	eventSeenRun eventKind = "seen-completed"
)

type event struct {
	kind    eventKind
	attempt medlarclaim.AttemptHash
	arrived int64
	at      int64
}

// keyState is the state of one key in the model.
type keyState struct {
	ran        bool
	attempt    medlarclaim.AttemptHash
	lastNotRun int64
}

// keyModel allows at most one run per key, a "not run" only before it, and after a "not run" only runs of attempts that
// arrived later.
var keyModel = porcupine.Model{
	Init: func() any { return keyState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, e := state.(keyState), input.(event)
		switch e.kind {
		case eventRun:
			return !s.ran && e.arrived > s.lastNotRun, keyState{ran: true, attempt: e.attempt, lastNotRun: s.lastNotRun}
		case eventNotRun:
			return !s.ran, keyState{lastNotRun: e.at}
		default:
			return s.ran && s.attempt == e.attempt, s
		}
	},
}

type history struct{ operations []porcupine.Operation }

func (h *history) add(e event, from, to int64) {
	h.operations = append(h.operations, porcupine.Operation{ClientId: len(h.operations), Input: e, Call: from, Return: to})
}

func (h *history) run(a *attempt, now time.Time) {
	e := event{kind: eventRun, attempt: medlarclaim.HashAttempt(a.id), arrived: a.arrived.UnixNano()}
	h.add(e, now.UnixNano(), now.UnixNano())
}

func (h *history) notRun(a *attempt, now time.Time) {
	h.add(event{kind: eventNotRun, at: now.UnixNano()}, now.UnixNano(), now.UnixNano())
}

func (h *history) seenRun(a *attempt, holder medlarclaim.AttemptHash, now time.Time) {
	h.add(event{kind: eventSeenRun, attempt: holder}, now.UnixNano(), now.UnixNano())
}

func (h *history) valid() bool { return porcupine.CheckOperations(keyModel, h.operations) }

const stepsPerHistory = 150

func runSimulation(choose chooser, p profile, f injectedFaults) *simulation {
	sim := newSimulation(choose, p, f)
	for range stepsPerHistory {
		sim.step()
	}
	return sim
}

// Guards against a second run of a key, and against a "not run" that is false for the key, when messages are lost,
// delayed or repeated and voters restart.
func TestDrawnHistoriesAreLinearisable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		sim := runSimulation(choose, randomProfile(choose), injectedFaults{})
		if !sim.history.valid() {
			t.Fatalf("history is not linearisable: %+v", sim.history.operations)
		}
	})
}

// Guards against a second run of a key and a false "not run" in interleavings that are too rare for the histories
// that rapid draws, and against a simulation that does not reach them: each kind of event must occur.
func TestSeededHistoriesAreLinearisable(t *testing.T) {
	seeds := *histories
	counts := map[eventKind]int{}
	for seed := range seeds {
		choose := rand.New(rand.NewPCG(seed, 1)).IntN
		sim := runSimulation(choose, randomProfile(choose), injectedFaults{})
		if !sim.history.valid() {
			t.Fatalf("seed %d: history is not linearisable: %+v", seed, sim.history.operations)
		}
		for _, o := range sim.history.operations {
			counts[o.Input.(event).kind]++
		}
	}
	t.Logf("seeds 0 to %d, number of events %v", seeds-1, counts)
	if counts[eventRun] == 0 || counts[eventNotRun] == 0 || counts[eventSeenRun] == 0 {
		t.Fatalf("an event kind never occurred, number of events %v", counts)
	}
}

// Guards against a checker that accepts every history: each injected fault of the protocol must lead to a history that
// is not linearisable.
func TestCheckerDetectsInjectedFaults(t *testing.T) {
	injected := []struct {
		name    string
		faults  injectedFaults
		profile profile
	}{
		{"voter does not recover its votes on restart", injectedFaults{skipRecovery: true}, profile{voters: 3, restarts: true}},
		{"requests do not carry the time waited", injectedFaults{omitWaited: true}, profile{voters: 3}},
		{"responses carry no incarnation vector", injectedFaults{ownIncarnationOnly: true}, profile{voters: 3, restarts: true, smallSteps: true}},
		{"fence lasts one ballot timeout", injectedFaults{shortFence: true}, profile{voters: 1}},
		{"timed-out ballots are used", injectedFaults{ignoreTimeout: true}, profile{voters: 3}},
		{"voter continues to vote in an old epoch", injectedFaults{oldEpochVotes: true}, profile{voters: 3, replacements: true, smallSteps: true}},
		{"lost votes of a majority cause no quarantine", injectedFaults{noQuarantine: true}, profile{voters: 2, restarts: true}},
	}
	const seeds = 200_000
	for _, fault := range injected {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				if !runSimulation(rand.New(rand.NewPCG(seed, 1)).IntN, fault.profile, fault.faults).history.valid() {
					t.Logf("detected with seed %d", seed)
					return
				}
			}
			t.Fatalf("fault not detected with seeds 0 to %d", seeds-1)
		})
	}
}
