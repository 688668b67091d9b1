package medlarproof

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"medlarwheel"
)

// Guards against a retry through another instance that runs the request again, or that gets another answer than the one
// that the first caller got.
func TestRetryGetsSameResponse(t *testing.T) {
	s := sharedSystem(t)
	v := service{name: "holds", runners: 2, slots: 8, serviceTime: 20 * time.Millisecond}
	runners := s.addService(t, v)
	s.awaitCapacity(t, v)
	for i, key := range []medlarwheel.RequestKey{"dc-1:retry", "dc-2:retry", "plain-retry"} {
		path := fmt.Sprint("holds/", i)
		first := call(s.entries[0], "POST", v.name, path, key, maxDeadline)
		if first.outcome != medlarwheel.OutcomeDone || first.runnerReply().Key != key {
			t.Fatalf("%s: first call: %+v", key, first)
		}
		for _, e := range s.entries {
			again := call(e, "POST", v.name, path, key, maxDeadline)
			if again.outcome != medlarwheel.OutcomeDone || again.body != first.body || again.status != first.status {
				t.Errorf("%s through %s: %+v, want the first answer %s", key, e.id, again, first.body)
			}
		}
		if n := appliedCounts(t, runners)[key]; n != 1 {
			t.Errorf("%s was applied %d times, want once", key, n)
		}
	}
}

// Guards against a duplicate that is turned away, or gets another answer, while the first attempt is being claimed or
// runs: both callers wait for the same answer within their deadline.
func TestConcurrentDuplicatesGetSameResponse(t *testing.T) {
	s := sharedSystem(t)
	v := service{name: "duplicates", runners: 2, slots: 8, serviceTime: 50 * time.Millisecond}
	runners := s.addService(t, v)
	s.awaitCapacity(t, v)
	refused := 0
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
				refused++
				t.Logf("%s through %s: %s %s after %s", key, s.entries[(i+j)%4].id, r.outcome, r.reason, r.took.Round(100*time.Microsecond))
			}
		}
		if results[0].outcome == results[1].outcome && results[0].body != results[1].body {
			t.Errorf("%s: different answers %s and %s", key, results[0].body, results[1].body)
		}
		if n := appliedCounts(t, runners)[key]; n != 1 {
			t.Errorf("%s was applied %d times, want once", key, n)
		}
	}
	if refused > 0 {
		t.Errorf("%d of 80 calls did not get the answer", refused)
	}
}

// Guards against a second run of a request whose instance was killed while the request ran, and against a refusal that
// says not-run of such a request.
func TestRetryAfterInstanceKillDoesNotRunTwice(t *testing.T) {
	s := newSystem(t, "")
	v := service{name: "holds", runners: 2, slots: 8, serviceTime: 300 * time.Millisecond}
	runners := s.addService(t, v)
	s.awaitCapacity(t, v)
	keys := []medlarwheel.RequestKey{"dc-1:a", "dc-1:b", "dc-2:a", "dc-2:b", "plain-a", "plain-b"}
	victim := s.entries[0]
	var group sync.WaitGroup
	for _, key := range keys {
		group.Go(func() { call(victim, "POST", v.name, "kill", key, maxDeadline) })
	}
	await(t, 5*time.Second, "a request at a runner", func() bool { return len(appliedCounts(t, runners)) >= len(keys)/2 })
	before := appliedCounts(t, runners)
	victim.kill()
	group.Wait()
	for _, e := range s.entries[1:] {
		for _, key := range keys {
			group.Go(func() {
				r := call(e, "POST", v.name, "kill", key, maxDeadline)
				t.Logf("%s through %s: %s %s after %s", key, e.id, r.outcome, r.reason, r.took.Round(time.Millisecond))
				switch {
				case r.err != nil || r.outcome == "":
					t.Errorf("%s through %s: no answer: %+v", key, e.id, r)
				case r.outcome == medlarwheel.OutcomeNotRun && before[key] > 0:
					t.Errorf("%s through %s: reported as not run, but it ran before the kill", key, e.id)
				case r.outcome == medlarwheel.OutcomeDone && r.runnerReply().Key != key:
					t.Errorf("%s through %s: answer of another request: %s", key, e.id, r.body)
				}
			})
		}
	}
	group.Wait()
	for key, n := range appliedCounts(t, runners) {
		if n > 1 {
			t.Errorf("%s was applied %d times", key, n)
		}
	}
}
