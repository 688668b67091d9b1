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
	// The HTTP library keeps these goroutines for good, or for an idle period after its last connection.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

// manualClock is moved by hand.
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

// Guards against work that is lost or done twice over a checkpoint, and against a task that stops although its
// checkpoint was not written. It also runs every message of the protocol through its client.
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
	save := medlaragentapi.CheckpointRequest{Command: r.Command, Task: r.Task, Object: "checkpoint/t1/1"}
	platform.SetUnavailable(true)
	_, err := client.Checkpoint(t.Context(), save)
	wantRefusal(t, "checkpoint without the platform", err, medlaragentapi.RefusedCheckpointFailed)
	renewal := medlaragentapi.RenewRequest{Command: r.Command, Tasks: []medlaragentapi.TaskRef{r.Task}, Lease: leaseTerm}
	if answer, err := client.Renew(t.Context(), renewal); err != nil || answer.Tasks[0].State != medlaragentapi.StateRunning {
		t.Errorf("after a failed checkpoint: %+v, %v; want the task to run on", answer, err)
	}
	platform.SetUnavailable(false)
	for range 2 {
		answer, err := client.Checkpoint(t.Context(), save)
		if err != nil || answer.Status.State != medlaragentapi.StateCheckpointed || answer.Status.Progress.Std() != 2*time.Second {
			t.Fatalf("checkpoint: %+v, %v; want 2 s of progress", answer, err)
		}
	}
	r.Task.Attempt, r.Checkpoint = 2, save.Object
	if answer, err := client.Start(t.Context(), r); err != nil || answer.Status.Progress.Std() != 2*time.Second {
		t.Fatalf("resumed: %+v, %v; want 2 s of progress", answer, err)
	}
	now.nanos.Add(int64(3*time.Second + time.Millisecond))
	list, err := client.Tasks(t.Context())
	if err != nil || len(list.Tasks) != 1 || list.Tasks[0].State != medlaragentapi.StateDone {
		t.Errorf("after the rest of the work: %+v, %v; want it done", list, err)
	}
	now.nanos.Add(int64(10 * time.Second))
	if report, err := client.Usage(t.Context()); err != nil || report.Sequence == 0 {
		t.Errorf("usage: %+v, %v", report, err)
	}
	if answer, err := client.Stop(t.Context(), stopRequest(r)); err != nil || answer.Status.State != medlaragentapi.StateDone {
		t.Errorf("stop of a task that is done: %+v, %v", answer, err)
	}
	_, err = client.Start(t.Context(), startRequest("t2", 1, 0))
	var faults medlarwheel.Faults
	if !errors.As(err, &faults) {
		t.Errorf("start without a token: %v, want faults", err)
	}
}
