package medlarproof

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"medlarwheel"
)

// Guards against a retry that runs the request again or gets another response than the first call. Each key is retried
// through every instance.
func TestRetryGetsSameResponse(t *testing.T) {
	s := sharedSystem(t)
	v := service{name: "holds", runners: 2, slots: 8, serviceTime: 20 * time.Millisecond}
	runners := s.addService(t, v)
	s.awaitCapacity(t, v)
	for i, key := range []medlarwheel.RequestKey{"dc-1:retry", "dc-2:retry", "plain-retry"} {
		path := fmt.Sprint("holds/", i)
		first := call(s.entries[0], "POST", v.name, path, key, maxDeadline)
		if first.outcome != medlarwheel.OutcomeDone || first.runnerReply().Key != key {
			t.Fatalf("key %s: first call: %+v, want outcome done with this key", key, first)
		}
		for _, e := range s.entries {
			again := call(e, "POST", v.name, path, key, maxDeadline)
			if again.outcome != medlarwheel.OutcomeDone || again.body != first.body || again.status != first.status {
				t.Errorf("key %s through %s: %+v, want the first response %s", key, e.id, again, first.body)
			}
		}
		if n := appliedCounts(t, runners)[key]; n != 1 {
			t.Errorf("key %s was applied %d times, want once", key, n)
		}
	}
}

// Guards against a duplicate that is refused, or gets another response, while its key is being claimed or the first request
// runs. Two clients send the same key at the same time, and both must get the same response within their deadline.
func TestConcurrentDuplicatesGetSameResponse(t *testing.T) {
	s := sharedSystem(t)
	v := service{name: "duplicates", runners: 2, slots: 8, serviceTime: 50 * time.Millisecond}
	runners := s.addService(t, v)
	s.awaitCapacity(t, v)
	notDone := 0
	for i := range 40 {
		key := medlarwheel.RequestKey(fmt.Sprint("dc-1:duplicate-", i))
		results := make([]callResult, 2)
		var group sync.WaitGroup
		for j := range results {
			group.Go(func() { results[j] = call(s.entries[(i+j)%4], "POST", v.name, "duplicate", key, maxDeadline) })
		}
		group.Wait()
		for j, r := range results {
			if r.outcome != medlarwheel.OutcomeDone {
				notDone++
				t.Logf("%s through %s: %s %s after %s", key, s.entries[(i+j)%4].id, r.outcome, r.reason, r.took.Round(100*time.Microsecond))
			}
		}
		if results[0].outcome == results[1].outcome && results[0].body != results[1].body {
			t.Errorf("key %s: different responses %s and %s", key, results[0].body, results[1].body)
		}
		if n := appliedCounts(t, runners)[key]; n != 1 {
			t.Errorf("key %s was applied %d times, want once", key, n)
		}
	}
	if notDone > 0 {
		t.Errorf("%d of 80 calls did not end with outcome done, want none", notDone)
	}
}

// Guards against a second execution of a request whose instance was killed while the request ran, and against a retry that
// reports such a request as not run. The retries go through the remaining instances.
func TestRetryAfterInstanceKillDoesNotRunTwice(t *testing.T) {
	s := newSystem(t, "")
	v := service{name: "holds", runners: 2, slots: 8, serviceTime: 300 * time.Millisecond}
	runners := s.addService(t, v)
	s.awaitCapacity(t, v)
	keys := []medlarwheel.RequestKey{"dc-1:a", "dc-1:b", "dc-2:a", "dc-2:b", "plain-a", "plain-b"}
	killed := s.entries[0]
	var group sync.WaitGroup
	for _, key := range keys {
		group.Go(func() { call(killed, "POST", v.name, "kill", key, maxDeadline) })
	}
	await(t, 5*time.Second, "half of the requests at the runners", func() bool { return len(appliedCounts(t, runners)) >= len(keys)/2 })
	before := appliedCounts(t, runners)
	killed.kill()
	group.Wait()
	for _, e := range s.entries[1:] {
		for _, key := range keys {
			group.Go(func() {
				r := call(e, "POST", v.name, "kill", key, maxDeadline)
				t.Logf("%s through %s: %s %s after %s", key, e.id, r.outcome, r.reason, r.took.Round(time.Millisecond))
				switch {
				case r.err != nil || r.outcome == "":
					t.Errorf("key %s through %s: %+v, want a response with an outcome", key, e.id, r)
				case r.outcome == medlarwheel.OutcomeNotRun && before[key] > 0:
					t.Errorf("key %s through %s: reported as not run, but it was applied before the kill", key, e.id)
				case r.outcome == medlarwheel.OutcomeDone && r.runnerReply().Key != key:
					t.Errorf("key %s through %s: response belongs to another request: %s", key, e.id, r.body)
				}
			})
		}
	}
	group.Wait()
	for key, n := range appliedCounts(t, runners) {
		if n > 1 {
			t.Errorf("key %s was applied %d times, want at most once", key, n)
		}
	}
}
