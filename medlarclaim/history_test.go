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
	w := newSimulation(choose, p, f)
	for range stepsPerHistory {
		w.step()
	}
	return w
}

// Guards against a second run of a key, and against a "not run" that is false for the key, under loss, delay, repetition
// and restarts of seats.
func TestDrawnHistoriesAreLinearisable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		w := runSimulation(choose, randomProfile(choose), injectedFaults{})
		if !w.history.valid() {
			t.Fatalf("history breaks a promise: %+v", w.history.operations)
		}
	})
}

// Guards against a simulation that does not reach the interesting interleavings: the same promises over many more
// histories than rapid draws, and each result must occur.
func TestSeededHistoriesAreLinearisable(t *testing.T) {
	seeds := *histories
	counts := map[eventKind]int{}
	for seed := range seeds {
		choose := rand.New(rand.NewPCG(seed, 1)).IntN
		w := runSimulation(choose, randomProfile(choose), injectedFaults{})
		if !w.history.valid() {
			t.Fatalf("seed %d breaks a promise: %+v", seed, w.history.operations)
		}
		for _, o := range w.history.operations {
			counts[o.Input.(event).kind]++
		}
	}
	t.Logf("seeds 0 to %d, events %v", seeds-1, counts)
	if counts[eventRun] == 0 || counts[eventNotRun] == 0 || counts[eventSeenRun] == 0 {
		t.Fatalf("some results never occur: %v", counts)
	}
}

// Guards against a checker that accepts anything: every planted fault must show up as a broken promise.
func TestCheckerDetectsInjectedFaults(t *testing.T) {
	planted := []struct {
		name    string
		faults  injectedFaults
		profile profile
	}{
		{"seat forgets its votes on restart", injectedFaults{skipRecovery: true}, profile{voters: 3, restarts: true}},
		{"seal ignores the time waited", injectedFaults{omitWaited: true}, profile{voters: 3}},
		{"no incarnation vector in answers", injectedFaults{ownIncarnationOnly: true}, profile{voters: 3, restarts: true, smallSteps: true}},
		{"fence lasts one validity", injectedFaults{shortFence: true}, profile{voters: 1}},
		{"late ballots are used", injectedFaults{ignoreTimeout: true}, profile{voters: 3}},
		{"seat votes on in an old epoch", injectedFaults{oldEpochVotes: true}, profile{voters: 3, replacements: true, smallSteps: true}},
		{"loss of a majority goes unnoticed", injectedFaults{noQuarantine: true}, profile{voters: 2, restarts: true}},
	}
	const seeds = 200_000
	for _, p := range planted {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				if !runSimulation(rand.New(rand.NewPCG(seed, 1)).IntN, p.profile, p.faults).history.valid() {
					t.Logf("found with seed %d", seed)
					return
				}
			}
			t.Fatalf("not found with seeds 0 to %d", seeds-1)
		})
	}
}
