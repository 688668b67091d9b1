package medlaragent

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"medlarwheel"
	"medlarwheel/medlaragentapi"
)

// The seed is fixed for CI; the flag -rapid.seed overrides it. Failures print it.
func init() { _ = flag.Set("rapid.seed", "7") }

const leaseTerm = medlarwheel.Duration(10 * time.Second)

func newTestMachine(id medlarwheel.WorkerID) *machine {
	config := DefaultConfig()
	config.ID = id
	return newMachine(config, time.Unix(1000, 0))
}

func startRequest(id medlarwheel.TaskID, attempt medlaragentapi.Attempt, token medlarwheel.FencingToken,
) medlaragentapi.StartRequest {
	return medlaragentapi.StartRequest{
		Command: medlaragentapi.Command{Shard: "jobs/d1/1", Token: token}, Template: "batch", Lease: leaseTerm,
		Task: medlaragentapi.TaskRef{ID: id, Attempt: attempt}, Size: medlarwheel.Resources{CPU: 1000, Memory: 1000},
	}
}

func stopRequest(r medlaragentapi.StartRequest) medlaragentapi.StopRequest {
	return medlaragentapi.StopRequest{Command: r.Command, Task: r.Task}
}

// wantRefusal checks that err is a refusal for a reason.
func wantRefusal(t *testing.T, what string, err error, reason medlaragentapi.RefusalReason) {
	t.Helper()
	var refused *medlaragentapi.RefusedError
	if !errors.As(err, &refused) || refused.Reason != reason {
		t.Errorf("%s: %v, want %s", what, err, reason)
	}
}

// Guards against an old owner commanding a task after a new one took over, on the same task and on others of its shard.
func TestLowerTokenIsRefused(t *testing.T) {
	m := newTestMachine("w1")
	if _, err := m.start(startRequest("t1", 1, 5), 0); err != nil {
		t.Fatal(err)
	}
	_, err := m.start(startRequest("t2", 1, 4), 0)
	wantRefusal(t, "start of another task of the shard", err, medlaragentapi.RefusedStaleToken)
	other := stopRequest(startRequest("t1", 1, 4))
	other.Command.Shard = "jobs/d1/2"
	_, err = m.stop(other)
	wantRefusal(t, "stop through another shard", err, medlaragentapi.RefusedStaleToken)
	_, err = m.renew(medlaragentapi.RenewRequest{Command: startRequest("t1", 1, 4).Command, Lease: leaseTerm})
	wantRefusal(t, "renewal", err, medlaragentapi.RefusedStaleToken)
	if state := m.tasks["t1"].state; state != medlaragentapi.StateRunning {
		t.Errorf("task is %s after refused commands, want running", state)
	}
}

// Guards against a task that outlives its lease, and against a lease that ends early although it was renewed.
func TestTaskEndsWithItsLease(t *testing.T) {
	m := newTestMachine("w1")
	r := startRequest("t1", 1, 1)
	if _, err := m.start(r, 0); err != nil {
		t.Fatal(err)
	}
	m.advance(6 * time.Second)
	renewal := medlaragentapi.RenewRequest{Command: r.Command, Tasks: []medlaragentapi.TaskRef{r.Task}, Lease: leaseTerm}
	if answer, err := m.renew(renewal); err != nil || answer.Tasks[0].State != medlaragentapi.StateRunning {
		t.Fatalf("renewal: %+v, %v", answer, err)
	}
	m.advance(16*time.Second - 1)
	if state := m.tasks["t1"].state; state != medlaragentapi.StateRunning {
		t.Errorf("task is %s before the end of its lease", state)
	}
	m.advance(time.Hour)
	last := m.events[len(m.events)-1]
	if last.State != medlaragentapi.StateExpired || !last.At.Equal(m.started.Add(16*time.Second)) {
		t.Errorf("last event %+v, want the end of the lease after 16 s", last)
	}
	if answer, err := m.renew(renewal); err != nil || answer.Tasks[0].State != medlaragentapi.StateExpired {
		t.Errorf("renewal of an ended task: %+v, %v; want it to stay ended", answer, err)
	}
	_, err := m.start(r, 0)
	wantRefusal(t, "start of the same attempt", err, medlaragentapi.RefusedStaleAttempt)
}

// Guards against a second run of a task: a repeated start must change nothing, a newer attempt must wait for the end of
// the older one, and a start that arrives after its stop must not run.
func TestTaskRunsOnce(t *testing.T) {
	m := newTestMachine("w1")
	first, second := startRequest("t1", 1, 1), startRequest("t1", 2, 1)
	for range 2 {
		if _, err := m.start(first, 0); err != nil {
			t.Fatal(err)
		}
	}
	_, err := m.start(second, 0)
	wantRefusal(t, "second attempt beside the first", err, medlaragentapi.RefusedAttemptRunning)
	if answer, err := m.stop(stopRequest(second)); err != nil || answer.Status.State != medlaragentapi.StateStopped {
		t.Errorf("stop of an attempt that never came: %+v, %v", answer, err)
	}
	_, err = m.start(second, 0)
	wantRefusal(t, "start after its stop", err, medlaragentapi.RefusedStaleAttempt)
	if _, err := m.start(startRequest("t1", 3, 1), 0); err != nil {
		t.Error(err)
	}
	kinds := make([]EventKind, 0, len(m.events))
	for _, e := range m.events {
		kinds = append(kinds, e.Kind)
	}
	if !slices.Equal(kinds, []EventKind{EventStart, EventEnd, EventStart}) {
		t.Errorf("history %v", m.events)
	}
}

// Guards against double runs by commands that arrive late: an owner that starts a task elsewhere as soon as it takes the
// lease to be over must never overlap with a worker that got the start or a renewal after any delay.
func TestDelayedCommandsCauseNoOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, fresh := newTestMachine("w1"), newTestMachine("w2")
		delay := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 30_000).Draw(t, name)) * time.Millisecond
		}
		// The owner's clock and the worker's both start at zero here. The stamp of the last answer took some time to
		// arrive, so the owner's estimate of the worker's clock is late by that time.
		late := medlarwheel.Duration(delay("stamp") / 10)
		issue := func(at time.Duration) *medlaragentapi.ClockReading {
			return &medlaragentapi.ClockReading{Incarnation: old.incarnation, Uptime: max(0, medlarwheel.Duration(at)-late)}
		}
		r := startRequest("t1", 1, 1)
		sent := time.Duration(late) + time.Second
		r.Command.IssuedAt = issue(sent)
		arrival := sent + delay("start")
		old.advance(arrival)
		_, _ = old.start(r, 0)
		over := sent + leaseTerm.Std()
		if rapid.Bool().Draw(t, "renew") {
			sent += delay("pause") / 5
			renewal := medlaragentapi.RenewRequest{Command: r.Command, Tasks: []medlaragentapi.TaskRef{r.Task}, Lease: leaseTerm}
			renewal.Command.IssuedAt = issue(sent)
			old.advance(max(arrival, sent+delay("renewal")))
			_, _ = old.renew(renewal)
			over = sent + leaseTerm.Std()
		}
		fresh.advance(over)
		if _, err := fresh.start(startRequest("t1", 2, 1), 0); err != nil {
			t.Fatal(err)
		}
		old.advance(2 * time.Hour)
		for _, e := range old.events {
			if e.At.After(fresh.events[0].At) {
				t.Errorf("%s of the first run at %s, after the second run began at %s", e.Kind, e.At, fresh.events[0].At)
			}
		}
	})
}
