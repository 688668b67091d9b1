package medlarrunner

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"medlarwheel"
)

// FaultMode selects how a response fails after its request was applied.
type FaultMode string

// The fault modes.
const (
	// ModeTruncated closes the connection after half of the body.
	ModeTruncated FaultMode = "cut-short"
	// ModeMalformed sends bytes that are not an HTTP response.
	ModeMalformed FaultMode = "garbage"
	// ModeWrongResponse sends the response to an earlier request.
	ModeWrongResponse FaultMode = "wrong-echo"
	// ModeClose closes the connection without a response.
	ModeClose FaultMode = "close"
	// ModeNoResponse keeps the connection open without a response until the faults change or the server stops.
	ModeNoResponse FaultMode = "no-answer"
	// ModeLarge sends a body of LargeBodyBytes bytes.
	ModeLarge FaultMode = "large"
)

// LargeBodyBytes is the length of the body that ModeLarge sends.
const LargeBodyBytes = 1 << 30

// ResponseFault is a fault mode with its probability.
type ResponseFault struct {
	Mode FaultMode `json:"mode"`
	// Probability is the fraction of requests that the mode affects.
	Probability float64 `json:"probability"`
}

// Faults is the body of POST /faults. Each request replaces the faults that were set before.
type Faults struct {
	// Responses lists the fault modes of responses. At most one of them affects a request.
	Responses []ResponseFault `json:"answers,omitempty"`
	// ResponseDelay delays the response after the slot was released.
	ResponseDelay medlarwheel.Duration `json:"late,omitempty"`
	// Slowdown multiplies the service time. Zero means one.
	Slowdown float64 `json:"slow,omitempty"`
	// CloseConnections closes new connections immediately.
	CloseConnections bool `json:"close-connections,omitempty"`
	// Unhealthy makes /healthz respond with status 503.
	Unhealthy bool `json:"unhealthy,omitempty"`
	// Leaving announces that the runner leaves, in its responses and in the instance registry. It cannot be undone.
	Leaving bool `json:"leaving,omitempty"`
	// Duration is the time after which all other faults end. Zero keeps them until the next change.
	Duration medlarwheel.Duration `json:"for,omitempty"`
}

// Check reports all invalid fields of f.
func (f *Faults) Check() medlarwheel.Faults {
	var faults medlarwheel.Faults
	total := 0.0
	for i, r := range f.Responses {
		switch r.Mode {
		case ModeTruncated, ModeMalformed, ModeWrongResponse, ModeClose, ModeNoResponse, ModeLarge:
		default:
			faults = faults.Add(fmt.Sprintf("answers[%d].mode", i), string(r.Mode),
				"cut-short, garbage, wrong-echo, close, no-answer or large")
		}
		if r.Probability < 0 {
			faults = faults.Add(fmt.Sprintf("answers[%d].probability", i), r.Probability, "0 to 1")
		}
		total += r.Probability
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

// faultState holds the current faults and the random choices. It is safe for concurrent use.
type faultState struct {
	mu     sync.Mutex
	clock  medlarwheel.Clock
	random *rand.Rand
	faults Faults
	endsAt time.Time
	// changed is closed and replaced when the faults are replaced, to end the requests in ModeNoResponse.
	changed chan struct{}
}

func newFaultState(clock medlarwheel.Clock, seed uint64) *faultState {
	return &faultState{clock: clock, random: rand.New(rand.NewPCG(seed, 1)), changed: make(chan struct{})}
}

func (s *faultState) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.endsAt = f, time.Time{}
	if f.Duration > 0 {
		s.endsAt = s.clock.Now().Add(f.Duration.Std())
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *faultState) get() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.endsAt.IsZero() && !s.clock.Now().Before(s.endsAt) {
		s.faults, s.endsAt = Faults{}, time.Time{}
	}
	return s.faults, s.changed
}

// pickMode draws the fault mode of one response. Empty means no fault.
func (s *faultState) pickMode(faults []ResponseFault) FaultMode {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(faults) == 0 {
		return ""
	}
	draw := s.random.Float64()
	for _, f := range faults {
		if draw < f.Probability {
			return f.Mode
		}
		draw -= f.Probability
	}
	return ""
}

// serviceTime draws the service time of one request.
func (s *faultState) serviceTime(mean time.Duration, spread, slowdown float64) time.Duration {
	if slowdown == 0 {
		slowdown = 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(float64(mean) * slowdown * (1 + spread*(2*s.random.Float64()-1)))
}
