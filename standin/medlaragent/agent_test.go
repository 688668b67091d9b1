package medlaragent

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"medlarwheel"
	"medlarwheel/medlaragentapi"
	"medlarwheel/medlarplatform/medlarfake"
	"medlarwheel/standin/medlarprocess"
)

func TestMain(m *testing.M) {
	// fasthttp never stops these goroutines, or only some time after its last connection was closed.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

// manualClock is a clock that only the test advances.
type manualClock struct{ nanos atomic.Int64 }

func (c *manualClock) Now() time.Time { return time.Unix(1000, c.nanos.Load()) }

func serve(t *testing.T, a *Agent) *medlaragentapi.Client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- medlarprocess.ServeListener(ctx, listener, a.Handle) }()
	config := medlaragentapi.DefaultConfig(listener.Addr().String())
	config.Timeout = 10 * time.Second
	client := medlaragentapi.NewClient(config)
	t.Cleanup(func() {
		client.Close()
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return client
}

// Guards against progress that is lost or counted twice when an attempt resumes from a checkpoint, and against a task that
// stops although its checkpoint was not written. It also sends every request of the protocol through the client.
func TestStartResumesFromCheckpoint(t *testing.T) {
	now := &manualClock{}
	platform := medlarfake.New(now)
	config := DefaultConfig()
	config.ID, config.Clock = "w1", now
	a := New(config, platform, zerolog.Nop())
	client := serve(t, a)
	r := startRequest("t1", 1, 1)
	r.Work = medlarwheel.Duration(5 * time.Second)
	if _, err := client.Start(t.Context(), r); err != nil {
		t.Fatal(err)
	}
	throttle := medlaragentapi.ThrottleRequest{Command: r.Command, Task: r.Task, Share: medlaragentapi.FullSpeed / 2}
	if _, err := client.Throttle(t.Context(), throttle); err != nil {
		t.Fatal(err)
	}
	now.nanos.Add(int64(4 * time.Second))
	checkpoint := medlaragentapi.CheckpointRequest{Command: r.Command, Task: r.Task, Object: "checkpoint/t1/1"}
	platform.SetUnavailable(true)
	_, err := client.Checkpoint(t.Context(), checkpoint)
	wantRefusal(t, "checkpoint without the platform", err, medlaragentapi.RefusedCheckpointFailed)
	renewal := medlaragentapi.RenewRequest{Command: r.Command, Tasks: []medlaragentapi.TaskRef{r.Task}, Lease: leaseTerm}
	if response, err := client.Renew(t.Context(), renewal); err != nil || response.Tasks[0].State != medlaragentapi.StateRunning {
		t.Errorf("after a failed checkpoint: %+v, %v; want the task still running", response, err)
	}
	platform.SetUnavailable(false)
	for range 2 {
		response, err := client.Checkpoint(t.Context(), checkpoint)
		if err != nil || response.Status.State != medlaragentapi.StateCheckpointed || response.Status.Progress.Std() != 2*time.Second {
			t.Fatalf("checkpoint: %+v, %v; want 2 s of progress", response, err)
		}
	}
	r.Task.Attempt, r.Checkpoint = 2, checkpoint.Object
	if response, err := client.Start(t.Context(), r); err != nil || response.Status.Progress.Std() != 2*time.Second {
		t.Fatalf("resumed: %+v, %v; want 2 s of progress", response, err)
	}
	now.nanos.Add(int64(3*time.Second + time.Millisecond))
	list, err := client.Tasks(t.Context())
	if err != nil || len(list.Tasks) != 1 || list.Tasks[0].State != medlaragentapi.StateDone {
		t.Errorf("after the remaining run time: %+v, %v; want the task done", list, err)
	}
	now.nanos.Add(int64(10 * time.Second))
	if report, err := client.Usage(t.Context()); err != nil || report.Sequence == 0 {
		t.Errorf("usage: %+v, %v; want a report with a sequence number", report, err)
	}
	if response, err := client.Stop(t.Context(), stopRequest(r)); err != nil || response.Status.State != medlaragentapi.StateDone {
		t.Errorf("stop of a task that is done: %+v, %v; want it to stay done", response, err)
	}
	_, err = client.Start(t.Context(), startRequest("t2", 1, 0))
	var faults medlarwheel.Faults
	if !errors.As(err, &faults) {
		t.Errorf("start without a fencing token: %v, want validation faults", err)
	}
}
