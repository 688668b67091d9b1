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
	eventRun    eventKind = "run"
	eventNotRun eventKind = "not-run"
	eventSeen   eventKind = "seen-completed"
)

type event struct {
	kind    eventKind
	attempt medlarclaim.AttemptHash
	arrived int64
	at      int64
}

// keyState is the state of one key in the model.
type keyState struct {
	ran     bool
	attempt medlarclaim.AttemptHash
	notRun  int64
}

// keyModel allows at most one run per key, a "not run" only before it, and after a "not run" only runs of attempts that
// arrived later.
var keyModel = porcupine.Model{
	Init: func() any { return keyState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, e := state.(keyState), input.(event)
		switch e.kind {
		case eventRun:
			return !s.ran && e.arrived > s.notRun, keyState{ran: true, attempt: e.attempt, notRun: s.notRun}
		case eventNotRun:
			return !s.ran, keyState{notRun: e.at}
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

func (h *history) seen(a *attempt, holder medlarclaim.AttemptHash, now time.Time) {
	h.add(event{kind: eventSeen, attempt: holder}, now.UnixNano(), now.UnixNano())
}

func (h *history) valid() bool { return porcupine.CheckOperations(keyModel, h.operations) }

const stepsPerHistory = 150

func simulate(choose choose, p profile, f faults) *world {
	w := newWorld(choose, p, f)
	for range stepsPerHistory {
		w.step()
	}
	return w
}

// Guards against a second run of a key, and against a "not run" that is false for the key, under loss, delay, repetition
// and restarts of seats.
func TestHistoriesKeepThePromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		w := simulate(choose, anyProfile(choose), faults{})
		if !w.history.valid() {
			t.Fatalf("history breaks a promise: %+v", w.history.operations)
		}
	})
}

// Guards against a simulation that does not reach the interesting interleavings: the same promises over many more
// histories than rapid draws, and each result must occur.
func TestManyHistoriesKeepThePromises(t *testing.T) {
	seeds := *histories
	counts := map[eventKind]int{}
	for seed := range seeds {
		choose := rand.New(rand.NewPCG(seed, 1)).IntN
		w := simulate(choose, anyProfile(choose), faults{})
		if !w.history.valid() {
			t.Fatalf("seed %d breaks a promise: %+v", seed, w.history.operations)
		}
		for _, o := range w.history.operations {
			counts[o.Input.(event).kind]++
		}
	}
	t.Logf("seeds 0 to %d, events %v", seeds-1, counts)
	if counts[eventRun] == 0 || counts[eventNotRun] == 0 || counts[eventSeen] == 0 {
		t.Fatalf("some results never occur: %v", counts)
	}
}

// Guards against a checker that accepts anything: every planted fault must show up as a broken promise.
func TestCheckerFindsPlantedFaults(t *testing.T) {
	planted := []struct {
		name    string
		faults  faults
		profile profile
	}{
		{"seat forgets its votes on restart", faults{forgetVotes: true}, profile{seats: 3, restarts: true}},
		{"seal ignores the time waited", faults{ignoreWait: true}, profile{seats: 3}},
		{"no incarnation vector in answers", faults{plainIncarnation: true}, profile{seats: 3, restarts: true, quick: true}},
		{"fence lasts one validity", faults{shortFence: true}, profile{seats: 1}},
		{"late ballots are used", faults{useLate: true}, profile{seats: 3}},
		{"seat votes on in an old epoch", faults{oldEpochVotes: true}, profile{seats: 3, replaces: true, quick: true}},
		{"loss of a majority goes unnoticed", faults{noQuarantine: true}, profile{seats: 2, restarts: true}},
	}
	const seeds = 200_000
	for _, p := range planted {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				if !simulate(rand.New(rand.NewPCG(seed, 1)).IntN, p.profile, p.faults).history.valid() {
					t.Logf("found with seed %d", seed)
					return
				}
			}
			t.Fatalf("not found with seeds 0 to %d", seeds-1)
		})
	}
}
