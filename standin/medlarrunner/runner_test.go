package medlarrunner

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"medlarwheel/standin/medlarprocess"
)

func TestMain(m *testing.M) {
	// The HTTP library keeps these goroutines for good, or for an idle period after its last connection.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

// runnerFixture is a running runner whose requests wait in work until the test lets them finish.
type runnerFixture struct {
	runner  *Runner
	address string
	started chan struct{}
	finish  chan struct{}
	stop    context.CancelFunc
	stopped chan error
}

func startRunner(t *testing.T, change func(*Config)) *runnerFixture {
	t.Helper()
	config := DefaultConfig()
	config.ID, config.DrainTime = "r1", 0
	if change != nil {
		change(&config)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &runnerFixture{
		runner: New(config, zerolog.Nop()), address: listener.Addr().String(), stop: cancel,
		started: make(chan struct{}, 100), finish: make(chan struct{}, 100), stopped: make(chan error, 1),
	}
	b.runner.simulateWork = func(time.Duration) { b.started <- struct{}{}; <-b.finish }
	go func() { b.stopped <- b.runner.RunListener(ctx, listener) }()
	return b
}

func (b *runnerFixture) stopAndWait(t *testing.T) {
	t.Helper()
	b.stop()
	if err := <-b.stopped; err != nil {
		t.Error(err)
	}
}

// post sends one request on its own connection.
func (b *runnerFixture) post(key, attempt string) (status int, notRun bool, reply Reply, err error) {
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + b.address + "/work")
	request.Header.Set(HeaderRequestKey, key)
	request.Header.Set(HeaderAttempt, attempt)
	request.SetConnectionClose()
	client := medlarprocess.NewHostClient(b.address, 1)
	if err := client.DoTimeout(request, response, 10*time.Second); err != nil {
		return 0, false, Reply{}, err
	}
	if string(response.Header.Peek(HeaderAttempt)) != attempt {
		return 0, false, Reply{}, fmt.Errorf("echo %q", response.Header.Peek(HeaderAttempt))
	}
	err = json.Unmarshal(response.Body(), &reply)
	return response.StatusCode(), string(response.Header.Peek(HeaderNotRun)) == "true", reply, err
}

// Guards against a runner that serves more than its slots, or whose ledger counts a refused attempt as applied or a
// second application as the first: the ledger is what the other checks rest on.
func TestLedgerRecordsAppliedAndRefusedAttempts(t *testing.T) {
	b := startRunner(t, func(c *Config) { c.Slots = 2 })
	defer b.stopAndWait(t)
	var running sync.WaitGroup
	for i := range 2 {
		running.Go(func() {
			if status, _, _, err := b.post("twice", fmt.Sprint("a", i)); status != 200 || err != nil {
				t.Errorf("attempt %d: status %d, %v", i, status, err)
			}
		})
	}
	<-b.started
	<-b.started
	if status, notRun, _, err := b.post("refused", "a2"); status != 503 || !notRun || err != nil {
		t.Errorf("without a free slot: status %d, not run %v, %v", status, notRun, err)
	}
	b.finish <- struct{}{}
	b.finish <- struct{}{}
	running.Wait()
	report := b.runner.Report()
	if report.Counters.SlotViolations != 1 || report.Counters.Requests != 2 || len(report.Keys) != 2 {
		t.Fatalf("report %+v", report)
	}
	refused, twice := report.Keys[0], report.Keys[1]
	if refused.Applied != 0 || len(refused.Attempts) != 1 || refused.Attempts[0].Applied {
		t.Errorf("refused key: %+v, want one attempt that was not applied", refused)
	}
	if twice.Applied != 2 || len(twice.Attempts) != 2 {
		t.Errorf("key sent twice: %+v, want two applied attempts", twice)
	}
}

// Guards against faults that do not act, so that a test with them would prove nothing: every bad answer must follow the
// application of its request and must not reach the caller as a good one.
func TestFaultyResponsesFollowAppliedRequests(t *testing.T) {
	b := startRunner(t, nil)
	defer b.stopAndWait(t)
	b.finish <- struct{}{}
	if _, _, _, err := b.post("good", "a0"); err != nil {
		t.Fatal(err)
	}
	for i, mode := range []FaultMode{ModeTruncated, ModeMalformed, ModeWrongResponse, ModeClose} {
		b.runner.SetFaults(Faults{Responses: []ResponseFault{{Mode: mode, Probability: 1}}})
		b.finish <- struct{}{}
		if status, _, reply, err := b.post("key-"+string(mode), fmt.Sprint("b", i)); err == nil {
			t.Errorf("%s: status %d, reply %+v; want an error", mode, status, reply)
		}
	}
	for _, e := range b.runner.Report().Keys {
		if e.Applied != 1 {
			t.Errorf("key %s applied %d times, want once", e.Key, e.Applied)
		}
	}
	b.runner.SetFaults(Faults{CloseConnections: true})
	if status, _, _, err := b.post("unserved", "c"); err == nil {
		t.Errorf("closed connection: status %d, want an error", status)
	}
}

// Guards against connections above the limit being served, and against closed ones being counted for ever.
func TestConnectionAboveLimitIsClosed(t *testing.T) {
	b := startRunner(t, func(c *Config) { c.MaxConnections = 1 })
	defer b.stopAndWait(t)
	first := make(chan error, 1)
	go func() { _, _, _, err := b.post("k1", "a1"); first <- err }()
	<-b.started
	if status, _, _, err := b.post("k2", "a2"); err == nil {
		t.Errorf("second connection: status %d, want an error", status)
	}
	b.finish <- struct{}{}
	if err := <-first; err != nil {
		t.Fatal(err)
	}
	if n := b.runner.Report().Counters.ConnectionViolations; n != 1 {
		t.Errorf("%d violations, want 1", n)
	}
}

// Guards against a graceful stop that cuts off a request under way.
func TestStopFinishesRequestInFlight(t *testing.T) {
	b := startRunner(t, nil)
	last := make(chan error, 1)
	go func() { _, _, _, err := b.post("k", "a"); last <- err }()
	<-b.started
	b.stop()
	for connection, err := net.Dial("tcp", b.address); err == nil; connection, err = net.Dial("tcp", b.address) {
		_ = connection.Close()
	}
	select {
	case err := <-b.stopped:
		t.Fatalf("the runner ended with a request under way: %v", err)
	default:
	}
	b.finish <- struct{}{}
	if err := <-last; err != nil {
		t.Errorf("request under way at the stop: %v", err)
	}
	b.stopAndWait(t)
}
