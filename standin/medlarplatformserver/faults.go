package medlarplatformserver

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"medlarwheel"
)

// Outage is a way of being down.
type Outage string

// The outages.
const (
	OutageNone         Outage = ""
	OutageRefuse       Outage = "refuse" // answers 503
	OutageClose        Outage = "close"  // reads the request and closes the connection
	OutageUnresponsive Outage = "silent" // reads the request and never answers
)

// Faults are the switches of POST /v1/faults. They replace the earlier ones. Calls are affected before they take effect,
// except that a lost answer follows the effect.
type Faults struct {
	// Outage makes every call fail without effect.
	Outage Outage `json:"outage,omitempty"`
	// Delay postpones every call.
	Delay medlarwheel.Duration `json:"delay,omitempty"`
	// DropResponses closes the connection instead of answering the next transactions.
	DropResponses int `json:"lose-answers,omitempty"`
	// DropProbability closes the connection instead of answering a transaction, with this probability.
	DropProbability float64 `json:"lose-probability,omitempty"`
	// Seed starts the random choice of lost answers.
	Seed uint64 `json:"seed,omitempty"`
	// Reject answers 429 to every call.
	Reject bool `json:"reject,omitempty"`
}

// Check reports every fault of f.
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

// faultState holds the present faults.
type faultState struct {
	mu     sync.Mutex
	faults Faults
	random *rand.Rand
	// changed is closed when the faults change, so that calls held by an outage end.
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

// shouldDropResponse reports whether the answer of this transaction is lost.
func (s *faultState) shouldDropResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DropResponses > 0 {
		s.faults.DropResponses--
		return true
	}
	return s.faults.DropProbability > 0 && s.random.Float64() < s.faults.DropProbability
}
