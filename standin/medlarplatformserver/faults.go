package medlarplatformserver

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"medlarwheel"
)

// Outage selects how the platform fails during an outage.
type Outage string

// The kinds of outage.
const (
	OutageNone         Outage = ""
	OutageRefuse       Outage = "refuse" // responds with status 503
	OutageClose        Outage = "close"  // reads the request and closes the connection
	OutageUnresponsive Outage = "silent" // reads the request and never responds
)

// Faults is the body of POST /v1/faults. Each request replaces the faults that were set before. All faults act before a
// call takes effect, except for dropped responses, which follow the effect.
type Faults struct {
	// Outage makes all calls fail without effect.
	Outage Outage `json:"outage,omitempty"`
	// Delay delays all calls.
	Delay medlarwheel.Duration `json:"delay,omitempty"`
	// DropResponses is the number of next transactions whose connection is closed in place of a response.
	DropResponses int `json:"lose-answers,omitempty"`
	// DropProbability is the probability that the connection is closed in place of the response to a transaction.
	DropProbability float64 `json:"lose-probability,omitempty"`
	// Seed seeds the random choice of dropped responses.
	Seed uint64 `json:"seed,omitempty"`
	// Reject rejects all calls with status 429.
	Reject bool `json:"reject,omitempty"`
}

// Check reports all invalid fields of f.
func (f *Faults) Check() medlarwheel.Faults {
	var faults medlarwheel.Faults
	switch f.Outage {
	case OutageNone, OutageRefuse, OutageClose, OutageUnresponsive:
	default:
		faults = faults.Add("outage", string(f.Outage), "refuse, close, silent or nothing")
	}
	faults = faults.CheckDurationRange("delay", f.Delay, 0, medlarwheel.Duration(time.Hour))
	if f.DropProbability < 0 || f.DropProbability > 1 {
		faults = faults.Add("lose-probability", fmt.Sprint(f.DropProbability), "0 to 1")
	}
	return faults
}

// faultState holds the current faults. It is safe for concurrent use.
type faultState struct {
	mu     sync.Mutex
	faults Faults
	random *rand.Rand
	// changed is closed and replaced when the faults change, to end the calls that wait in an outage.
	changed chan struct{}
}

func newFaultState() *faultState { return &faultState{changed: make(chan struct{})} }

func (s *faultState) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.random = f, rand.New(rand.NewPCG(f.Seed, 0))
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *faultState) get() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed
}

// shouldDropResponse reports whether the response to this transaction is dropped.
func (s *faultState) shouldDropResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DropResponses > 0 {
		s.faults.DropResponses--
		return true
	}
	return s.faults.DropProbability > 0 && s.random.Float64() < s.faults.DropProbability
}
