package medlarplatform_test

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"medlarwheel"
	"medlarwheel/medlarplatform"
	"medlarwheel/standin/medlarplatformserver"
	"medlarwheel/standin/medlarprocess"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m, ignoredGoroutines...) }

// ignoredGoroutines lists goroutines that the HTTP library never stops, or stops only some time after its last connection.
var ignoredGoroutines = []goleak.Option{
	goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
	goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
	goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
}

// manualClock is a clock that tests advance explicitly.
type manualClock struct{ nanos atomic.Int64 }

func (c *manualClock) Now() time.Time { return time.Unix(1000, c.nanos.Load()) }

func (c *manualClock) advance(d time.Duration) { c.nanos.Add(int64(d)) }

// startPlatform runs a test double of the platform and returns it with a client and its clock.
func startPlatform(t *testing.T, change func(*medlarplatform.Config)) (*medlarplatformserver.Server, *medlarplatform.Client, *manualClock) {
	t.Helper()
	now := &manualClock{}
	config := medlarplatformserver.DefaultConfig()
	config.Clock, config.WritesPerSecond, config.ReadsPerSecond = now, 0, 0
	server := medlarplatformserver.New(config, zerolog.Nop())
	return server, newClient(t, startServer(t, server.Handle), now, change), now
}

func startServer(t *testing.T, handler fasthttp.RequestHandler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- medlarprocess.ServeListener(ctx, listener, handler) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

func newClient(t *testing.T, address string, now medlarwheel.Clock, change func(*medlarplatform.Config),
) *medlarplatform.Client {
	t.Helper()
	config := medlarplatform.DefaultConfig(address)
	config.Clock, config.Timeout, config.ResolveBackoff = now, 5*time.Second, time.Millisecond
	if change != nil {
		change(&config)
	}
	client := medlarplatform.New(config)
	t.Cleanup(client.Close)
	return client
}

func singleWrite(key string, expect medlarwheel.RowVersion, value int) []medlarwheel.Write {
	return []medlarwheel.Write{{Key: key, ExpectedVersion: expect, Value: json.RawMessage(strconv.Itoa(value))}}
}

// Guards against the HTTP library retrying a request after the connection closed without a response, which could apply a
// write twice. The server counts the requests and closes each connection without a response.
func TestClosedConnectionIsNotRetried(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var received atomic.Int64
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			request := &fasthttp.Request{}
			if request.Read(bufio.NewReader(connection)) == nil {
				received.Add(1)
			}
			_ = connection.Close()
		}
	}()
	client := newClient(t, listener.Addr().String(), &manualClock{}, nil)
	if _, err := client.Row(t.Context(), "a"); !errors.Is(err, medlarwheel.ErrUnavailable) || medlarplatform.MayHaveApplied(err) {
		t.Errorf("Row: %v, want ErrUnavailable without effect", err)
	}
	if err := client.PutObject(t.Context(), "a", []byte("x")); !errors.Is(err, medlarwheel.ErrUnavailable) || !medlarplatform.MayHaveApplied(err) {
		t.Errorf("PutObject: %v, want ErrUnavailable with an unknown effect", err)
	}
	_ = listener.Close()
	<-stopped
	if n := received.Load(); n != 2 {
		t.Errorf("server received %d requests, want 2", n)
	}
}

// Guards against a write that is applied twice or reported as failed when its response is lost. A counter is incremented
// while half of the responses are dropped, and must end at the number of increments.
func TestLostResponsesAreResolved(t *testing.T) {
	server, client, _ := startPlatform(t, func(c *medlarplatform.Config) { c.Breaker.FailureThreshold = 1 << 20 })
	const seed, increments = 11, 60
	t.Logf("seed %d", seed)
	server.SetFaults(medlarplatformserver.Faults{DropProbability: 0.5, Seed: seed})
	operations := medlarplatform.NewOperationIDGenerator("entry-1", 1)
	version := medlarwheel.RowVersion(0)
	for i := range increments {
		commit, err := client.Transact(t.Context(), operations.Next(), singleWrite("counter/a b%2F", version, i+1))
		if err != nil {
			t.Fatalf("increment %d: %v", i, err)
		}
		version = commit.Version
	}
	row, err := client.Row(t.Context(), "counter/a b%2F")
	if err != nil || string(row.Value) != strconv.Itoa(increments) || row.Version != increments {
		t.Errorf("row %+v, %v, want value and version %d", row, err, increments)
	}
	if dropped := server.Counters().DroppedResponses; dropped < increments/4 {
		t.Errorf("%d responses were dropped, want at least %d, so the fault was not exercised", dropped, increments/4)
	}
}

// Guards against a conflict that is reported as unknown, or without its rows, when its response is lost.
func TestConflictIsResolvedAfterLostResponse(t *testing.T) {
	server, client, _ := startPlatform(t, nil)
	if _, err := client.Transact(t.Context(), "a:1:1", singleWrite("k", 0, 1)); err != nil {
		t.Fatal(err)
	}
	server.SetFaults(medlarplatformserver.Faults{DropResponses: 1})
	_, err := client.Transact(t.Context(), "b:1:1", singleWrite("k", 0, 2))
	var conflict *medlarwheel.ConflictError
	if !errors.As(err, &conflict) || len(conflict.Rows) != 1 || conflict.Rows[0].Version != 1 {
		t.Errorf("Transact: %v, want a conflict with one row of version 1", err)
	}
}

// Guards against reporting "not applied" for a write that may have been applied, and "unknown" for one that was never
// sent or was rejected. Each case makes a transaction fail in another way.
func TestErrorReportsWhetherWritesMayHaveApplied(t *testing.T) {
	short := func(c *medlarplatform.Config) {
		c.ResolveTimeout, c.Timeout, c.Breaker.FailureThreshold = 50*time.Millisecond, 20*time.Millisecond, 1<<20
	}
	server, client, _ := startPlatform(t, short)
	unreachable := newClient(t, "127.0.0.1:1", &manualClock{}, short)
	for _, c := range []struct {
		name   string
		client *medlarplatform.Client
		faults medlarplatformserver.Faults
		want   bool
	}{
		{"unreachable", unreachable, medlarplatformserver.Faults{}, false},
		{"refused", client, medlarplatformserver.Faults{Outage: medlarplatformserver.OutageRefuse}, false},
		{"rejected", client, medlarplatformserver.Faults{Reject: true}, false},
		{"closed", client, medlarplatformserver.Faults{Outage: medlarplatformserver.OutageClose}, true},
		{"silent", client, medlarplatformserver.Faults{Outage: medlarplatformserver.OutageUnresponsive}, true},
	} {
		server.SetFaults(c.faults)
		_, err := c.client.Transact(t.Context(), medlarwheel.OperationID(c.name), singleWrite(c.name, 0, 1))
		var operationErr *medlarwheel.OperationError
		if !errors.Is(err, medlarwheel.ErrUnavailable) || !errors.As(err, &operationErr) || medlarplatform.MayHaveApplied(err) != c.want {
			t.Errorf("%s: %v, want an OperationError of ErrUnavailable with MayHaveApplied %v", c.name, err, c.want)
		}
	}
}

// Guards against a timeout for every call during an outage. After three failures only one probe per backoff may reach the
// platform, and the first successful probe must close the breaker.
func TestBreakerFailsFastDuringOutage(t *testing.T) {
	server, client, now := startPlatform(t, nil)
	server.SetFaults(medlarplatformserver.Faults{Outage: medlarplatformserver.OutageRefuse})
	for range 100 {
		if _, err := client.Row(t.Context(), "a"); !errors.Is(err, medlarwheel.ErrUnavailable) {
			t.Fatal(err)
		}
	}
	if n := server.Counters().Rejected; n != 3 || client.Available() {
		t.Errorf("%d calls reached the platform, want 3; available %v, want false", n, client.Available())
	}
	now.advance(150 * time.Millisecond) // the longest first backoff with jitter
	for range 100 {
		_, err := client.Row(t.Context(), "a")
		if medlarplatform.RetryAfter(err) < 0 {
			t.Fatal(err)
		}
	}
	if n := server.Counters().Rejected; n != 4 {
		t.Errorf("%d calls reached the platform, want 4 after one probe", n)
	}
	server.SetFaults(medlarplatformserver.Faults{})
	now.advance(300 * time.Millisecond)
	for range 2 {
		if _, err := client.Row(t.Context(), "a"); !errors.Is(err, medlarwheel.ErrNotFound) {
			t.Errorf("Row after the outage: %v, want ErrNotFound", err)
		}
	}
}

// Guards against a breaker that counts a call without a free connection as a failure of the platform, and opens. One call
// occupies the only connection while others fail.
func TestConnectionLimitDoesNotOpenBreaker(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	address := startServer(t, func(*fasthttp.RequestCtx) { arrived <- struct{}{}; <-release })
	client := newClient(t, address, &manualClock{}, func(c *medlarplatform.Config) { c.MaxConnections = 1 })
	done := make(chan error, 1)
	go func() { done <- client.DeleteObject(context.Background(), "a") }()
	<-arrived
	for range 10 {
		if err := client.DeleteObject(t.Context(), "a"); !errors.Is(err, fasthttp.ErrNoFreeConns) {
			t.Fatalf("call without a free connection: %v, want ErrNoFreeConns", err)
		}
	}
	if !client.Available() {
		t.Error("breaker is open although the platform responds")
	}
	close(release)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Guards against a list of instances that is visible before its lag has passed, that is returned again without a change,
// or that accepts a lower incarnation.
func TestInstanceListHasLagAndVersions(t *testing.T) {
	_, client, now := startPlatform(t, nil)
	entry := medlarwheel.EntryInstance{
		ID: "e1", DataCentre: "d1", PeerAddress: "127.0.0.1:7000", Incarnation: 2, State: medlarwheel.StateLive,
	}
	if err := client.RegisterEntry(t.Context(), entry); err != nil {
		t.Fatal(err)
	}
	if _, changed, err := client.Instances(t.Context(), 0); err != nil || changed {
		t.Errorf("Instances before the lag: changed %v, %v, want no change", changed, err)
	}
	now.advance(2 * time.Second)
	list, changed, err := client.Instances(t.Context(), 0)
	if err != nil || !changed || list.Version != 1 || len(list.Entries) != 1 || list.Entries[0] != entry {
		t.Errorf("Instances after the lag: %+v, changed %v, %v, want version 1 with %+v", list, changed, err, entry)
	}
	if _, changed, err := client.Instances(t.Context(), 1); err != nil || changed {
		t.Errorf("Instances with the current version: changed %v, %v, want no change", changed, err)
	}
	entry.Incarnation = 1
	if err := client.RegisterEntry(t.Context(), entry); !errors.Is(err, medlarwheel.ErrStale) {
		t.Errorf("RegisterEntry with a lower incarnation: %v, want ErrStale", err)
	}
}
