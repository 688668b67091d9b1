package medlarentry_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"medlarwheel"
	"medlarwheel/medlarentry"
	"medlarwheel/medlaroperator"
	"medlarwheel/medlarsetting"
	"medlarwheel/standin/medlarplatformserver"
	"medlarwheel/standin/medlarrunner"
)

// waitLimit bounds every wait of the tests.
const waitLimit = 20 * time.Second

// testCluster runs daemons and stand-ins in this process, on loopback.
type testCluster struct {
	t                 *testing.T
	platformAddress   string
	upstreamAddresses []string
	entries           []*entryProcess
}

type entryProcess struct {
	address string
	stop    context.CancelFunc
	done    chan error
}

func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	w := &testCluster{t: t, platformAddress: freeAddress(t)}
	w.runStandIn(medlarplatformserver.Command(), "--listen", w.platformAddress, "--list-lag", "0s")
	w.waitFor("the platform", func() bool { return statusCode(w.platformAddress, "/v1/instances?after=0") != 0 })
	return w
}

// runStandIn runs a stand-in until the test ends.
func (w *testCluster) runStandIn(command *cobra.Command, arguments ...string) {
	ctx, cancel := context.WithCancel(context.Background())
	command.SetArgs(arguments)
	command.SetErr(io.Discard)
	command.SetOut(io.Discard)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = command.ExecuteContext(ctx)
	}()
	w.t.Cleanup(func() {
		cancel()
		<-done
	})
}

func (w *testCluster) startUpstream(dataCentre string) {
	address := freeAddress(w.t)
	id := fmt.Sprintf("runner-%d", len(w.upstreamAddresses)+1)
	w.runStandIn(medlarrunner.Command(), "--listen", address, "--id", id, "--service", "hut-booking", "--data-centre", dataCentre,
		"--platform", w.platformAddress, "--service-time", "5ms", "--drain", "0s")
	w.upstreamAddresses = append(w.upstreamAddresses, address)
	w.waitFor(id, func() bool { return statusCode(address, "/healthz") == fasthttp.StatusOK })
}

func (w *testCluster) startEntry(dataCentre string, seeds ...string) *entryProcess {
	e := &entryProcess{address: freeAddress(w.t), done: make(chan error, 1)}
	peer := freeAddress(w.t)
	settings := medlarsetting.Settings{
		Instance: medlarwheel.InstanceID(fmt.Sprintf("entry-%d", len(w.entries)+1)), DataCentre: medlarwheel.DataCentreID(dataCentre),
		DataCentres: []medlarwheel.DataCentreID{"dc-1", "dc-2"}, Listen: e.address, ListenPeer: peer, AdvertisePeer: peer,
		Platform: w.platformAddress, Seeds: seeds, SystemKey: "test-system-key-0123", ListInterval: 100 * time.Millisecond,
		ConfigInterval: 200 * time.Millisecond, ExchangeInterval: 100 * time.Millisecond, PlatformTimeout: time.Second,
		PeerTimeout: 200 * time.Millisecond, StopTimeout: 10 * time.Second, ReadTimeout: 5 * time.Second,
		MaxHeader: 16 << 10, MaxBody: 1 << 20, MaxConnections: 1000,
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	daemon := medlarentry.New(settings, zerolog.Nop(), medlarwheel.SystemClock{})
	go func() { e.done <- daemon.Run(ctx) }()
	w.entries = append(w.entries, e)
	w.t.Cleanup(func() { w.stopEntry(e) })
	w.waitFor("entry", func() bool { return statusCode(e.address, "/readyz") == fasthttp.StatusOK })
	return e
}

// stopEntry stops an instance and waits until it has ended.
func (w *testCluster) stopEntry(e *entryProcess) {
	e.stop()
	select {
	case err := <-e.done:
		if err != nil {
			w.t.Errorf("entry ended with %v", err)
		}
		e.done <- nil
	case <-time.After(waitLimit):
		w.t.Error("entry did not stop")
	}
}

func (w *testCluster) waitFor(what string, ready func() bool) {
	w.t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !ready() {
		if time.Now().After(deadline) {
			w.t.Fatalf("%s is not ready after %s", what, waitLimit)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// submitHold sends one non-idempotent request.
func (w *testCluster) submitHold(e *entryProcess, account, key string) *fasthttp.Response {
	w.t.Helper()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + e.address + medlarentry.CallPrefix + "hut-hold/holds/h-1")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set(medlarentry.HeaderAccount, account)
	request.Header.Set("Medlar-Request-Key", key)
	request.SetBodyString("{}")
	response := &fasthttp.Response{}
	if err := fasthttp.DoTimeout(request, response, waitLimit); err != nil {
		w.t.Fatal(err)
	}
	return response
}

func (w *testCluster) publishTemplate(e *entryProcess, template string, expected medlarwheel.ConfigVersion) (medlaroperator.WriteResult, error) {
	client := medlaroperator.NewClient(medlaroperator.ClientConfig{Addresses: []string{e.address}})
	return client.Put(medlaroperator.PathTemplates, "hut-hold", []byte(template), medlaroperator.WriteOptions{Author: "ada", ExpectedVersion: expected})
}

func outcomeHeader(r *fasthttp.Response) string {
	return string(r.Header.Peek(medlarentry.HeaderOutcome))
}

func statusCode(address, path string) int {
	code, _, err := fasthttp.GetTimeout(nil, "http://"+address+path, time.Second)
	if err != nil {
		return 0
	}
	return code
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}
