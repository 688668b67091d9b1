package medlarproof

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"medlarwheel"
)

// Guards against a request that waits for its deadline on a connection that went silent, and against an upstream that is
// ejected because its old connections are silent while new ones work.
func TestRequestsSurviveStalledConnections(t *testing.T) {
	checkStalledConnections(t, service{name: "silent", runners: 4})
}

// Guards against the same where the only other upstream is in the other data centre, so that a retry first has to borrow a
// slot there.
func TestRequestsSurviveStalledConnectionsOfOnlyLocalUpstream(t *testing.T) {
	checkStalledConnections(t, service{name: "silent-lone", runners: 2})
}

// checkStalledConnections silences the open connections to the first runner while the instances use them.
func checkStalledConnections(t *testing.T, v service) {
	t.Helper()
	const deadline = 4 * time.Second
	s := sharedSystem(t)
	v.slots, v.serviceTime, v.deadline, v.unregistered = 8, 20*time.Millisecond, deadline, true
	runners := s.addService(t, v)
	routes, control := s.relayRunners(t, v, runners)
	s.awaitCapacity(t, v)
	s.warmUp(t, v, 200)
	open := relayStatus(t, control)[0].Open
	if open == 0 {
		t.Fatal("no connection through the relay is open")
	}
	postJSON(t, control, "/faults", relayFaults{Route: routes[0], Stall: "existing"})
	var group sync.WaitGroup
	for i, method := range []string{"GET", "GET", "GET", "GET", "POST", "POST", "POST", "POST"} {
		group.Go(func() {
			e := s.entries[i%len(s.entries)]
			key := medlarwheel.RequestKey(fmt.Sprint(v.name, "-", i))
			r := call(e, method, v.name, "silent", key, deadline)
			t.Logf("%s through %s: %s %s after %s", method, e.id, r.outcome, r.reason, r.took.Round(time.Millisecond))
			if r.took > deadline/2 || r.err != nil {
				t.Errorf("%s through %s took %s (%v), want an end well before the deadline", method, e.id, r.took, r.err)
			}
			if method == "GET" && r.outcome != medlarwheel.OutcomeDone {
				t.Errorf("GET through %s ended as %s %s, want a retry that succeeds", e.id, r.outcome, r.reason)
			}
		})
	}
	group.Wait()
	for _, e := range s.entries {
		if u, ok := e.upstream(runners[0].id); !ok || !u.Healthy {
			t.Errorf("%s ejected the upstream: %+v", e.id, u)
		}
	}
	if status := relayStatus(t, control)[0]; status.Stalled == 0 {
		t.Logf("the silenced connections were closed: %+v", status)
	}
	before := runners[0].counters(t).Requests
	s.warmUp(t, v, 40)
	if after := runners[0].counters(t).Requests; after == before {
		t.Error("the upstream got no request over new connections")
	}
}

// warmUp sends GET requests through all instances, all of which must succeed.
func (s *system) warmUp(t *testing.T, v service, n int) {
	t.Helper()
	var group sync.WaitGroup
	for w := range 8 {
		group.Go(func() {
			for i := range n / 8 {
				r := call(s.entries[(w+i)%len(s.entries)], "GET", v.name, "warm", "", maxDeadline)
				if r.outcome != medlarwheel.OutcomeDone {
					t.Errorf("warm-up: %+v", r)
				}
			}
		})
	}
	group.Wait()
}
