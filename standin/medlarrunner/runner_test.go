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
	// fasthttp never stops these goroutines, or only some time after its last connection was closed.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

// runnerFixture is a running runner whose requests block in simulateWork until the test sends to finish.
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
	f := &runnerFixture{
		runner: New(config, zerolog.Nop()), address: listener.Addr().String(), stop: cancel,
		started: make(chan struct{}, 100), finish: make(chan struct{}, 100), stopped: make(chan error, 1),
	}
	f.runner.simulateWork = func(time.Duration) { f.started <- struct{}{}; <-f.finish }
	go func() { f.stopped <- f.runner.RunListener(ctx, listener) }()
	return f
}

func (f *runnerFixture) stopAndWait(t *testing.T) {
	t.Helper()
	f.stop()
	if err := <-f.stopped; err != nil {
		t.Error(err)
	}
}

// post sends one request on its own connection.
func (f *runnerFixture) post(key, attempt string) (status int, notRun bool, reply Reply, err error) {
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + f.address + "/work")
	request.Header.Set(HeaderRequestKey, key)
	request.Header.Set(HeaderAttempt, attempt)
	request.SetConnectionClose()
	client := medlarprocess.NewHostClient(f.address, 1)
	if err := client.DoTimeout(request, response, 10*time.Second); err != nil {
		return 0, false, Reply{}, err
	}
	if string(response.Header.Peek(HeaderAttempt)) != attempt {
		return 0, false, Reply{}, fmt.Errorf("response has the attempt %q, want %q",
			response.Header.Peek(HeaderAttempt), attempt)
	}
	err = json.Unmarshal(response.Body(), &reply)
	return response.StatusCode(), string(response.Header.Peek(HeaderNotRun)) == "true", reply, err
}

// Guards against a runner that serves more requests than it has slots, and against a ledger that counts a refused attempt
// as applied or misses the second application of a key: the audits of other tests rely on the ledger.
func TestLedgerRecordsAppliedAndRefusedAttempts(t *testing.T) {
	f := startRunner(t, func(c *Config) { c.Slots = 2 })
	defer f.stopAndWait(t)
	var running sync.WaitGroup
	for i := range 2 {
		running.Go(func() {
			if status, _, _, err := f.post("twice", fmt.Sprint("a", i)); status != 200 || err != nil {
				t.Errorf("attempt %d: status %d, %v; want status 200", i, status, err)
			}
		})
	}
	<-f.started
	<-f.started
	if status, notRun, _, err := f.post("refused", "a2"); status != 503 || !notRun || err != nil {
		t.Errorf("without a free slot: status %d, not run %v, %v; want status 503 and not run", status, notRun, err)
	}
	f.finish <- struct{}{}
	f.finish <- struct{}{}
	running.Wait()
	report := f.runner.Report()
	if report.Counters.SlotViolations != 1 || report.Counters.Requests != 2 || len(report.Keys) != 2 {
		t.Fatalf("report %+v, want 1 slot violation, 2 requests and 2 keys", report)
	}
	refused, twice := report.Keys[0], report.Keys[1]
	if refused.Applied != 0 || len(refused.Attempts) != 1 || refused.Attempts[0].Applied {
		t.Errorf("refused key: %+v, want one attempt that was not applied", refused)
	}
	if twice.Applied != 2 || len(twice.Attempts) != 2 {
		t.Errorf("key sent twice: %+v, want two applied attempts", twice)
	}
}

// Guards against injected faults that have no effect, which would make tests with them meaningless: each faulty response
// must follow an applied request and must not look valid to the client.
func TestFaultyResponsesFollowAppliedRequests(t *testing.T) {
	f := startRunner(t, nil)
	defer f.stopAndWait(t)
	f.finish <- struct{}{}
	if _, _, _, err := f.post("good", "a0"); err != nil {
		t.Fatal(err)
	}
	for i, mode := range []FaultMode{ModeTruncated, ModeMalformed, ModeWrongResponse, ModeClose} {
		f.runner.SetFaults(Faults{Responses: []ResponseFault{{Mode: mode, Probability: 1}}})
		f.finish <- struct{}{}
		if status, _, reply, err := f.post("key-"+string(mode), fmt.Sprint("b", i)); err == nil {
			t.Errorf("%s: status %d, reply %+v; want an error", mode, status, reply)
		}
	}
	for _, e := range f.runner.Report().Keys {
		if e.Applied != 1 {
			t.Errorf("key %s applied %d times, want once", e.Key, e.Applied)
		}
	}
	f.runner.SetFaults(Faults{CloseConnections: true})
	if status, _, _, err := f.post("unserved", "c"); err == nil {
		t.Errorf("closed connection: status %d, want an error", status)
	}
}

// Guards against a runner that serves connections above the limit, and against closed connections that remain counted as
// open.
func TestConnectionAboveLimitIsClosed(t *testing.T) {
	f := startRunner(t, func(c *Config) { c.MaxConnections = 1 })
	defer f.stopAndWait(t)
	first := make(chan error, 1)
	go func() { _, _, _, err := f.post("k1", "a1"); first <- err }()
	<-f.started
	if status, _, _, err := f.post("k2", "a2"); err == nil {
		t.Errorf("second connection: status %d, want an error", status)
	}
	f.finish <- struct{}{}
	if err := <-first; err != nil {
		t.Fatal(err)
	}
	if n := f.runner.Report().Counters.ConnectionViolations; n != 1 {
		t.Errorf("%d connection violations, want 1", n)
	}
}

// Guards against a graceful shutdown that aborts a request in flight.
func TestStopFinishesRequestInFlight(t *testing.T) {
	f := startRunner(t, nil)
	last := make(chan error, 1)
	go func() { _, _, _, err := f.post("k", "a"); last <- err }()
	<-f.started
	f.stop()
	for connection, err := net.Dial("tcp", f.address); err == nil; connection, err = net.Dial("tcp", f.address) {
		_ = connection.Close()
	}
	select {
	case err := <-f.stopped:
		t.Fatalf("the runner stopped with a request in flight: %v", err)
	default:
	}
	f.finish <- struct{}{}
	if err := <-last; err != nil {
		t.Errorf("request in flight at the stop: %v", err)
	}
	f.stopAndWait(t)
}
