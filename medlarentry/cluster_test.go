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

// waitLimit bounds each wait in the tests.
const waitLimit = 20 * time.Second

// testCluster runs daemons and the stand-ins of their environment in this process, on loopback.
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
	c := &testCluster{t: t, platformAddress: freeAddress(t)}
	c.runTestDouble(medlarplatformserver.Command(), "--listen", c.platformAddress, "--list-lag", "0s")
	c.waitFor("the platform", func() bool { return statusCode(c.platformAddress, "/v1/instances?after=0") != 0 })
	return c
}

// runTestDouble runs the command of a stand-in until the test ends.
func (c *testCluster) runTestDouble(command *cobra.Command, arguments ...string) {
	ctx, cancel := context.WithCancel(context.Background())
	command.SetArgs(arguments)
	command.SetErr(io.Discard)
	command.SetOut(io.Discard)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = command.ExecuteContext(ctx)
	}()
	c.t.Cleanup(func() {
		cancel()
		<-done
	})
}

func (c *testCluster) startUpstream(dataCentre string) {
	address := freeAddress(c.t)
	id := fmt.Sprintf("runner-%d", len(c.upstreamAddresses)+1)
	c.runTestDouble(medlarrunner.Command(), "--listen", address, "--id", id, "--service", "hut-booking", "--data-centre", dataCentre,
		"--platform", c.platformAddress, "--service-time", "5ms", "--drain", "0s")
	c.upstreamAddresses = append(c.upstreamAddresses, address)
	c.waitFor(id, func() bool { return statusCode(address, "/healthz") == fasthttp.StatusOK })
}

func (c *testCluster) startEntry(dataCentre string, seeds ...string) *entryProcess {
	e := &entryProcess{address: freeAddress(c.t), done: make(chan error, 1)}
	peer := freeAddress(c.t)
	settings := medlarsetting.Settings{
		Instance: medlarwheel.InstanceID(fmt.Sprintf("entry-%d", len(c.entries)+1)), DataCentre: medlarwheel.DataCentreID(dataCentre),
		DataCentres: []medlarwheel.DataCentreID{"dc-1", "dc-2"}, Listen: e.address, ListenPeer: peer, AdvertisePeer: peer,
		Platform: c.platformAddress, Seeds: seeds, SystemKey: "test-system-key-0123", ListInterval: 100 * time.Millisecond,
		ConfigInterval: 200 * time.Millisecond, ExchangeInterval: 100 * time.Millisecond, PlatformTimeout: time.Second,
		PeerTimeout: 200 * time.Millisecond, StopTimeout: 10 * time.Second, ReadTimeout: 5 * time.Second,
		MaxHeader: 16 << 10, MaxBody: 1 << 20, MaxConnections: 1000,
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	daemon := medlarentry.New(settings, zerolog.Nop(), medlarwheel.SystemClock{})
	go func() { e.done <- daemon.Run(ctx) }()
	c.entries = append(c.entries, e)
	c.t.Cleanup(func() { c.stopEntry(e) })
	c.waitFor("entry", func() bool { return statusCode(e.address, "/readyz") == fasthttp.StatusOK })
	return e
}

// stopEntry shuts an entry instance down and waits until it has ended.
func (c *testCluster) stopEntry(e *entryProcess) {
	e.stop()
	select {
	case err := <-e.done:
		if err != nil {
			c.t.Errorf("entry %s ended with %v, want no error", e.address, err)
		}
		e.done <- nil
	case <-time.After(waitLimit):
		c.t.Errorf("entry %s did not stop within %s", e.address, waitLimit)
	}
}

func (c *testCluster) waitFor(what string, ready func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !ready() {
		if time.Now().After(deadline) {
			c.t.Fatalf("%s is not ready after %s", what, waitLimit)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// submitHold sends one non-idempotent request, which books a hold in the example template.
func (c *testCluster) submitHold(e *entryProcess, account, key string) *fasthttp.Response {
	c.t.Helper()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + e.address + medlarentry.CallPrefix + "hut-hold/holds/h-1")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set(medlarentry.HeaderAccount, account)
	request.Header.Set("Medlar-Request-Key", key)
	request.SetBodyString("{}")
	response := &fasthttp.Response{}
	if err := fasthttp.DoTimeout(request, response, waitLimit); err != nil {
		c.t.Fatal(err)
	}
	return response
}

func (c *testCluster) publishTemplate(e *entryProcess, template string, expected medlarwheel.ConfigVersion) (medlaroperator.WriteResult, error) {
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
