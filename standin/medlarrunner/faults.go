package medlarrunner

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"medlarwheel"
)

// Mode is a way in which an answer goes wrong after the request was applied.
type Mode string

// The modes.
const (
	// ModeCutShort closes the connection in the middle of the body.
	ModeCutShort Mode = "cut-short"
	// ModeGarbage sends bytes that are no HTTP answer.
	ModeGarbage Mode = "garbage"
	// ModeWrongEcho sends the answer of an earlier request.
	ModeWrongEcho Mode = "wrong-echo"
	// ModeClose closes the connection without an answer.
	ModeClose Mode = "close"
	// ModeNoAnswer keeps the connection open without an answer.
	ModeNoAnswer Mode = "no-answer"
	// ModeLarge sends a body of LargeBody bytes.
	ModeLarge Mode = "large"
)

// LargeBody is the length in bytes of an absurdly large answer.
const LargeBody = 1 << 30

// Answer gives a mode a probability.
type Answer struct {
	Mode Mode `json:"mode"`
	// Probability is the share of requests that the mode affects.
	Probability float64 `json:"probability"`
}

// Faults are the switches of POST /faults. They replace the earlier ones.
type Faults struct {
	// Answers lists the ways in which answers go wrong. At most one of them affects a request.
	Answers []Answer `json:"answers,omitempty"`
	// Late postpones answers after the work is done and the slot is free again.
	Late medlarwheel.Duration `json:"late,omitempty"`
	// Slow multiplies the service time. Zero stands for one.
	Slow float64 `json:"slow,omitempty"`
	// CloseConnections closes every new connection at once.
	CloseConnections bool `json:"close-connections,omitempty"`
	// Unhealthy makes /healthz answer 503.
	Unhealthy bool `json:"unhealthy,omitempty"`
	// Leaving announces that the runner leaves, in its answers and in the platform's list. It is final.
	Leaving bool `json:"leaving,omitempty"`
	// For ends all other faults after this time. Zero keeps them.
	For medlarwheel.Duration `json:"for,omitempty"`
}

// Check reports every fault of f.
func (f *Faults) Check() medlarwheel.Faults {
	var faults medlarwheel.Faults
	total := 0.0
	for i, a := range f.Answers {
		switch a.Mode {
		case ModeCutShort, ModeGarbage, ModeWrongEcho, ModeClose, ModeNoAnswer, ModeLarge:
		default:
			faults = faults.Add(fmt.Sprintf("answers[%d].mode", i), string(a.Mode),
				"cut-short, garbage, wrong-echo, close, no-answer or large")
		}
		if a.Probability < 0 {
			faults = faults.Add(fmt.Sprintf("answers[%d].probability", i), a.Probability, "0 to 1")
		}
		total += a.Probability
	}
	if total > 1 {
		faults = faults.Add("answers", total, "probabilities that add up to 1 or less")
	}
	if f.Slow < 0 {
		faults = faults.Add("slow", f.Slow, "0 or more")
	}
	faults = faults.CheckDurationRange("late", f.Late, 0, medlarwheel.Duration(time.Hour))
	return faults.CheckDurationRange("for", f.For, 0, medlarwheel.Duration(time.Hour))
}

// switches holds the present faults.
type switches struct {
	mu     sync.Mutex
	clock  medlarwheel.Clock
	random *rand.Rand
	faults Faults
	ends   time.Time
	// changed is closed when the faults are replaced, so that requests without an answer end.
	changed chan struct{}
}

func newSwitches(clock medlarwheel.Clock, seed uint64) *switches {
	return &switches{clock: clock, random: rand.New(rand.NewPCG(seed, 1)), changed: make(chan struct{})}
}

func (s *switches) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.ends = f, time.Time{}
	if f.For > 0 {
		s.ends = s.clock.Now().Add(f.For.Std())
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *switches) get() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ends.IsZero() && !s.clock.Now().Before(s.ends) {
		s.faults, s.ends = Faults{}, time.Time{}
	}
	return s.faults, s.changed
}

// pick chooses what goes wrong with one answer. Empty stands for nothing.
func (s *switches) pick(answers []Answer) Mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(answers) == 0 {
		return ""
	}
	draw := s.random.Float64()
	for _, a := range answers {
		if draw < a.Probability {
			return a.Mode
		}
		draw -= a.Probability
	}
	return ""
}

// serviceTime draws the time to serve one request.
func (s *switches) serviceTime(mean time.Duration, spread, slow float64) time.Duration {
	if slow == 0 {
		slow = 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(float64(mean) * slow * (1 + spread*(2*s.random.Float64()-1)))
}
