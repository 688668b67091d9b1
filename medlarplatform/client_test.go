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

// ignoredGoroutines lists the goroutines that the HTTP library keeps for good, or for an idle period after its last connection.
var ignoredGoroutines = []goleak.Option{
	goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
	goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
	goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
}

// manualClock is moved by hand.
type manualClock struct{ nanos atomic.Int64 }

func (c *manualClock) Now() time.Time { return time.Unix(1000, c.nanos.Load()) }

func (c *manualClock) advance(d time.Duration) { c.nanos.Add(int64(d)) }

// startPlatform runs a stand-in platform and returns it with a client and its clock.
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

// Guards against the HTTP library sending a request a second time when the connection closes without an answer, which
// could apply a write twice.
func TestClosedConnectionIsNotRetried(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var seen atomic.Int64
	served := make(chan struct{})
	go func() {
		defer close(served)
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			request := &fasthttp.Request{}
			if request.Read(bufio.NewReader(connection)) == nil {
				seen.Add(1)
			}
			_ = connection.Close()
		}
	}()
	client := newClient(t, listener.Addr().String(), &manualClock{}, nil)
	if _, err := client.Row(t.Context(), "a"); !errors.Is(err, medlarwheel.ErrUnavailable) || medlarplatform.MayHaveApplied(err) {
		t.Errorf("row: %v, want unavailable without effect, because a read changes nothing", err)
	}
	if err := client.PutObject(t.Context(), "a", []byte("x")); !errors.Is(err, medlarwheel.ErrUnavailable) || !medlarplatform.MayHaveApplied(err) {
		t.Errorf("put: %v, want unavailable with an unknown effect", err)
	}
	_ = listener.Close()
	<-served
	if n := seen.Load(); n != 2 {
		t.Errorf("server saw %d requests, want 2", n)
	}
}

// Guards against double application and false failures when answers are lost after the write took effect: a counter
// that is raised under random losses must end at the number of successes.
func TestLostResponsesAreResolved(t *testing.T) {
	server, client, _ := startPlatform(t, func(c *medlarplatform.Config) { c.Breaker.FailureThreshold = 1 << 20 })
	const seed, raises = 11, 60
	t.Logf("seed %d", seed)
	server.SetFaults(medlarplatformserver.Faults{DropProbability: 0.5, Seed: seed})
	operations := medlarplatform.NewOperationIDGenerator("entry-1", 1)
	version := medlarwheel.RowVersion(0)
	for i := range raises {
		commit, err := client.Transact(t.Context(), operations.Next(), singleWrite("counter/a b%2F", version, i+1))
		if err != nil {
			t.Fatalf("raise %d: %v", i, err)
		}
		version = commit.Version
	}
	row, err := client.Row(t.Context(), "counter/a b%2F")
	if err != nil || string(row.Value) != strconv.Itoa(raises) || row.Version != raises {
		t.Errorf("row %+v, %v; want value and version %d", row, err, raises)
	}
	if lost := server.Counters().DroppedResponses; lost < raises/4 {
		t.Errorf("only %d answers were lost; the fault did not act", lost)
	}
}

// Guards against a conflict being lost with its answer, and against its rows being left out.
func TestConflictIsResolvedAfterLostResponse(t *testing.T) {
	server, client, _ := startPlatform(t, nil)
	if _, err := client.Transact(t.Context(), "a:1:1", singleWrite("k", 0, 1)); err != nil {
		t.Fatal(err)
	}
	server.SetFaults(medlarplatformserver.Faults{DropResponses: 1})
	_, err := client.Transact(t.Context(), "b:1:1", singleWrite("k", 0, 2))
	var conflict *medlarwheel.ConflictError
	if !errors.As(err, &conflict) || len(conflict.Rows) != 1 || conflict.Rows[0].Version != 1 {
		t.Errorf("error %v, want a conflict with the row of version 1", err)
	}
}

// Guards against reporting "not applied" for a write whose fate is open, and "unknown" for one that was never sent.
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
		var step *medlarwheel.OperationError
		if !errors.Is(err, medlarwheel.ErrUnavailable) || !errors.As(err, &step) || medlarplatform.MayHaveApplied(err) != c.want {
			t.Errorf("%s: %v; want an unavailable step with may-have-applied %v", c.name, err, c.want)
		}
	}
}

// Guards against an outage costing a time-out per call: after a few failures calls must not reach the platform, but for
// one probe per pause, and one success must end it.
func TestBreakerFailsFastDuringOutage(t *testing.T) {
	server, client, now := startPlatform(t, nil)
	server.SetFaults(medlarplatformserver.Faults{Outage: medlarplatformserver.OutageRefuse})
	for range 100 {
		if _, err := client.Row(t.Context(), "a"); !errors.Is(err, medlarwheel.ErrUnavailable) {
			t.Fatal(err)
		}
	}
	if n := server.Counters().Rejected; n != 3 || client.Available() {
		t.Errorf("%d calls reached the platform, want 3; available %v", n, client.Available())
	}
	now.advance(150 * time.Millisecond) // the longest first pause
	for range 100 {
		_, err := client.Row(t.Context(), "a")
		if medlarplatform.RetryAfter(err) < 0 {
			t.Fatal(err)
		}
	}
	if n := server.Counters().Rejected; n != 4 {
		t.Errorf("%d calls reached the platform, want one probe more", n)
	}
	server.SetFaults(medlarplatformserver.Faults{})
	now.advance(300 * time.Millisecond)
	for range 2 {
		if _, err := client.Row(t.Context(), "a"); !errors.Is(err, medlarwheel.ErrNotFound) {
			t.Errorf("after the outage: %v, want not found", err)
		}
	}
}

// Guards against the caller's own lack of connections being taken for an outage, which would suspend all calls.
func TestConnectionLimitDoesNotOpenBreaker(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	address := startServer(t, func(*fasthttp.RequestCtx) { arrived <- struct{}{}; <-release })
	client := newClient(t, address, &manualClock{}, func(c *medlarplatform.Config) { c.MaxConnections = 1 })
	done := make(chan error, 1)
	go func() { done <- client.DeleteObject(context.Background(), "a") }()
	<-arrived
	for range 10 {
		if err := client.DeleteObject(t.Context(), "a"); !errors.Is(err, fasthttp.ErrNoFreeConns) {
			t.Fatalf("second call: %v, want no free connection", err)
		}
	}
	if !client.Available() {
		t.Error("calls are suspended although the platform works")
	}
	close(release)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Guards against readers seeing the list before its lag, or again without a change.
func TestInstanceListHasLagAndVersions(t *testing.T) {
	_, client, now := startPlatform(t, nil)
	entry := medlarwheel.EntryInstance{
		ID: "e1", DataCentre: "d1", PeerAddress: "127.0.0.1:7000", Incarnation: 2, State: medlarwheel.StateLive,
	}
	if err := client.RegisterEntry(t.Context(), entry); err != nil {
		t.Fatal(err)
	}
	if _, changed, err := client.Instances(t.Context(), 0); err != nil || changed {
		t.Errorf("before the lag: changed %v, %v", changed, err)
	}
	now.advance(2 * time.Second)
	list, changed, err := client.Instances(t.Context(), 0)
	if err != nil || !changed || list.Version != 1 || len(list.Entries) != 1 || list.Entries[0] != entry {
		t.Errorf("after the lag: %+v, changed %v, %v", list, changed, err)
	}
	if _, changed, err := client.Instances(t.Context(), 1); err != nil || changed {
		t.Errorf("unchanged list: changed %v, %v", changed, err)
	}
	entry.Incarnation = 1
	if err := client.RegisterEntry(t.Context(), entry); !errors.Is(err, medlarwheel.ErrStale) {
		t.Errorf("lower incarnation: %v, want stale", err)
	}
}
