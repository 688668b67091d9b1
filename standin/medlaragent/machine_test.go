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

// The seed is fixed so that CI is reproducible. The flag -rapid.seed overrides it, and failures print it.
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

// wantRefusal checks that err is a refusal with the given reason.
func wantRefusal(t *testing.T, what string, err error, reason medlaragentapi.RefusalReason) {
	t.Helper()
	var refused *medlaragentapi.RefusedError
	if !errors.As(err, &refused) || refused.Reason != reason {
		t.Errorf("%s: %v, want %s", what, err, reason)
	}
}

// Guards against commands of a previous owner after a new owner took over, for the same task and for other tasks of the
// shard.
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

// Guards against a task that runs after its lease expired, and against a lease that expires early although it was renewed.
func TestTaskEndsWithItsLease(t *testing.T) {
	m := newTestMachine("w1")
	r := startRequest("t1", 1, 1)
	if _, err := m.start(r, 0); err != nil {
		t.Fatal(err)
	}
	m.advance(6 * time.Second)
	renewal := medlaragentapi.RenewRequest{Command: r.Command, Tasks: []medlaragentapi.TaskRef{r.Task}, Lease: leaseTerm}
	if response, err := m.renew(renewal); err != nil || response.Tasks[0].State != medlaragentapi.StateRunning {
		t.Fatalf("renewal: %+v, %v; want the task running", response, err)
	}
	m.advance(16*time.Second - 1)
	if state := m.tasks["t1"].state; state != medlaragentapi.StateRunning {
		t.Errorf("task is %s before its lease expires, want running", state)
	}
	m.advance(time.Hour)
	last := m.events[len(m.events)-1]
	if last.State != medlaragentapi.StateExpired || !last.At.Equal(m.started.Add(16*time.Second)) {
		t.Errorf("last event %+v, want the expiry of the lease after 16 s", last)
	}
	if response, err := m.renew(renewal); err != nil || response.Tasks[0].State != medlaragentapi.StateExpired {
		t.Errorf("renewal of an ended task: %+v, %v; want it to stay ended", response, err)
	}
	_, err := m.start(r, 0)
	wantRefusal(t, "start of the same attempt", err, medlaragentapi.RefusedStaleAttempt)
}

// Guards against two runs of a task: a repeated start must have no effect, a newer attempt must be refused while the older
// one runs, and a start that arrives after the stop of its attempt must be refused.
func TestTaskRunsOnce(t *testing.T) {
	m := newTestMachine("w1")
	first, second := startRequest("t1", 1, 1), startRequest("t1", 2, 1)
	for range 2 {
		if _, err := m.start(first, 0); err != nil {
			t.Fatal(err)
		}
	}
	_, err := m.start(second, 0)
	wantRefusal(t, "second attempt while the first runs", err, medlaragentapi.RefusedAttemptRunning)
	if response, err := m.stop(stopRequest(second)); err != nil || response.Status.State != medlaragentapi.StateStopped {
		t.Errorf("stop of an attempt that was never started: %+v, %v; want it stopped", response, err)
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
		t.Errorf("history %v, want start, end, start", m.events)
	}
}

// Guards against duplicate runs caused by delayed commands: when the owner starts a task on another worker as soon as it
// considers the lease expired, the first worker must have ended the task, however late it got the start or a renewal.
func TestDelayedCommandsCauseNoOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := newTestMachine("w1"), newTestMachine("w2")
		delay := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 30_000).Draw(t, name)) * time.Millisecond
		}
		// The clocks of the owner and the worker both start at zero. The clock reading in the last response was delayed,
		// so the owner's estimate of the worker's clock lags by this delay.
		lag := medlarwheel.Duration(delay("clock reading") / 10)
		issue := func(at time.Duration) *medlaragentapi.ClockReading {
			return &medlaragentapi.ClockReading{Incarnation: first.incarnation, Uptime: max(0, medlarwheel.Duration(at)-lag)}
		}
		r := startRequest("t1", 1, 1)
		sent := time.Duration(lag) + time.Second
		r.Command.IssuedAt = issue(sent)
		arrival := sent + delay("start")
		first.advance(arrival)
		_, _ = first.start(r, 0)
		expiry := sent + leaseTerm.Std()
		if rapid.Bool().Draw(t, "renew") {
			sent += delay("pause") / 5
			renewal := medlaragentapi.RenewRequest{Command: r.Command, Tasks: []medlaragentapi.TaskRef{r.Task}, Lease: leaseTerm}
			renewal.Command.IssuedAt = issue(sent)
			first.advance(max(arrival, sent+delay("renewal")))
			_, _ = first.renew(renewal)
			expiry = sent + leaseTerm.Std()
		}
		second.advance(expiry)
		if _, err := second.start(startRequest("t1", 2, 1), 0); err != nil {
			t.Fatal(err)
		}
		first.advance(2 * time.Hour)
		for _, e := range first.events {
			if e.At.After(second.events[0].At) {
				t.Errorf("%s of the first run at %s, after the second run began at %s", e.Kind, e.At, second.events[0].At)
			}
		}
	})
}
