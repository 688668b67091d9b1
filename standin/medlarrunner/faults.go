package medlarrunner

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"medlarwheel"
)

// FaultMode is a way in which an answer goes wrong after the request was applied.
type FaultMode string

// The modes.
const (
	// ModeTruncated closes the connection in the middle of the body.
	ModeTruncated FaultMode = "cut-short"
	// ModeMalformed sends bytes that are no HTTP answer.
	ModeMalformed FaultMode = "garbage"
	// ModeWrongResponse sends the answer of an earlier request.
	ModeWrongResponse FaultMode = "wrong-echo"
	// ModeClose closes the connection without an answer.
	ModeClose FaultMode = "close"
	// ModeNoResponse keeps the connection open without an answer.
	ModeNoResponse FaultMode = "no-answer"
	// ModeLarge sends a body of LargeBody bytes.
	ModeLarge FaultMode = "large"
)

// LargeBodyBytes is the length in bytes of an absurdly large answer.
const LargeBodyBytes = 1 << 30

// ResponseFault gives a mode a probability.
type ResponseFault struct {
	Mode FaultMode `json:"mode"`
	// Probability is the share of requests that the mode affects.
	Probability float64 `json:"probability"`
}

// Faults are the switches of POST /faults. They replace the earlier ones.
type Faults struct {
	// Responses lists the ways in which answers go wrong. At most one of them affects a request.
	Responses []ResponseFault `json:"answers,omitempty"`
	// ResponseDelay postpones answers after the work is done and the slot is free again.
	ResponseDelay medlarwheel.Duration `json:"late,omitempty"`
	// Slowdown multiplies the service time. Zero stands for one.
	Slowdown float64 `json:"slow,omitempty"`
	// CloseConnections closes every new connection at once.
	CloseConnections bool `json:"close-connections,omitempty"`
	// Unhealthy makes /healthz answer 503.
	Unhealthy bool `json:"unhealthy,omitempty"`
	// Leaving announces that the runner leaves, in its answers and in the platform's list. It is final.
	Leaving bool `json:"leaving,omitempty"`
	// Duration ends all other faults after this time. Zero keeps them.
	Duration medlarwheel.Duration `json:"for,omitempty"`
}

// Check reports every fault of f.
func (f *Faults) Check() medlarwheel.Faults {
	var faults medlarwheel.Faults
	total := 0.0
	for i, a := range f.Responses {
		switch a.Mode {
		case ModeTruncated, ModeMalformed, ModeWrongResponse, ModeClose, ModeNoResponse, ModeLarge:
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
	if f.Slowdown < 0 {
		faults = faults.Add("slow", f.Slowdown, "0 or more")
	}
	faults = faults.CheckDurationRange("late", f.ResponseDelay, 0, medlarwheel.Duration(time.Hour))
	return faults.CheckDurationRange("for", f.Duration, 0, medlarwheel.Duration(time.Hour))
}

// faultState holds the present faults.
type faultState struct {
	mu     sync.Mutex
	clock  medlarwheel.Clock
	random *rand.Rand
	faults Faults
	ends   time.Time
	// changed is closed when the faults are replaced, so that requests without an answer end.
	changed chan struct{}
}

func newFaultState(clock medlarwheel.Clock, seed uint64) *faultState {
	return &faultState{clock: clock, random: rand.New(rand.NewPCG(seed, 1)), changed: make(chan struct{})}
}

func (s *faultState) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.ends = f, time.Time{}
	if f.Duration > 0 {
		s.ends = s.clock.Now().Add(f.Duration.Std())
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *faultState) get() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ends.IsZero() && !s.clock.Now().Before(s.ends) {
		s.faults, s.ends = Faults{}, time.Time{}
	}
	return s.faults, s.changed
}

// pickMode chooses what goes wrong with one answer. Empty stands for nothing.
func (s *faultState) pickMode(answers []ResponseFault) FaultMode {
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
func (s *faultState) serviceTime(mean time.Duration, spread, slow float64) time.Duration {
	if slow == 0 {
		slow = 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(float64(mean) * slow * (1 + spread*(2*s.random.Float64()-1)))
}
