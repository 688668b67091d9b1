package medlarproof

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"medlarwheel"
)

// Guards against a request that waits for its deadline on a stalled connection, and against an upstream that is ejected
// because its existing connections are stalled although new ones work.
func TestRequestsSurviveStalledConnections(t *testing.T) {
	checkStalledConnections(t, service{name: "silent", runners: 4})
}

// Guards against the same failures if the only other upstream is in the other data centre, so that a retry first has to
// borrow a slot there.
func TestRequestsSurviveStalledConnectionsOfOnlyLocalUpstream(t *testing.T) {
	checkStalledConnections(t, service{name: "silent-lone", runners: 2})
}

// checkStalledConnections stalls the open connections to the first runner while the instances use them. Requests must end
// well before their deadline, and requests that may be retried must succeed.
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
		t.Fatal("no connection through the relay is open, so the stall cannot be tested")
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
				t.Errorf("%s through %s took %s, error %v, want a response within %s", method, e.id, r.took, r.err, deadline/2)
			}
			if method == "GET" && r.outcome != medlarwheel.OutcomeDone {
				t.Errorf("GET through %s ended with outcome %s, reason %s, want a retry with outcome done", e.id, r.outcome, r.reason)
			}
		})
	}
	group.Wait()
	for _, e := range s.entries {
		if u, ok := e.upstream(runners[0].id); !ok || !u.Healthy {
			t.Errorf("%s reports the upstream as %+v, want it healthy", e.id, u)
		}
	}
	if status := relayStatus(t, control)[0]; status.Stalled == 0 {
		t.Logf("the stalled connections were closed: %+v", status)
	}
	before := runners[0].counters(t).Requests
	s.warmUp(t, v, 40)
	if after := runners[0].counters(t).Requests; after == before {
		t.Error("the upstream received no request over new connections")
	}
}

// warmUp sends GET requests through all instances. All of them must succeed.
func (s *system) warmUp(t *testing.T, v service, n int) {
	t.Helper()
	var group sync.WaitGroup
	for client := range 8 {
		group.Go(func() {
			for i := range n / 8 {
				r := call(s.entries[(client+i)%len(s.entries)], "GET", v.name, "warm", "", maxDeadline)
				if r.outcome != medlarwheel.OutcomeDone {
					t.Errorf("warm-up request: %+v, want outcome done", r)
				}
			}
		})
	}
	group.Wait()
}
