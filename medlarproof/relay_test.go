package medlarproof

import (
	"context"
	"strings"
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/medlarplatform"
	"medlarwheel/standin/medlarprocess"
	"medlarwheel/standin/medlarrelay"
)

type relayFaults = medlarrelay.Faults

// startRelay starts a relay with one route for each listen address and waits until it answers.
func (s *system) startRelay(t testing.TB, listen, to []string, control string) {
	t.Helper()
	s.add(startProcess(t, "relay", "medlarstandin", "relay", "--listen", strings.Join(listen, ","), "--to", strings.Join(to, ","),
		"--control", control))
	await(t, 5*time.Second, "relay answers", func() bool {
		var status []medlarrelay.Status
		return medlarprocess.GetJSON(control, "/faults", readTimeout, &status) == nil
	})
}

// relayRunners starts a relay before unregistered runners and registers its addresses in their place. It returns the
// listen address for each runner, and the control address.
func (s *system) relayRunners(t testing.TB, v service, runners []*runner) (routes []string, control string) {
	t.Helper()
	control = freeAddress(t)
	var targets []string
	for _, r := range runners {
		routes, targets = append(routes, freeAddress(t)), append(targets, r.listenAddress)
	}
	s.startRelay(t, routes, targets, control)
	for i, r := range runners {
		s.registerUpstream(t, medlarwheel.Upstream{
			ID: r.id, Service: medlarwheel.ServiceName(v.name), DataCentre: r.dataCentre, Address: routes[i], Incarnation: 1,
			State: medlarwheel.StateLive,
		})
	}
	return routes, control
}

// registerUpstream puts an upstream into the platform's list.
func (s *system) registerUpstream(t testing.TB, u medlarwheel.Upstream) {
	t.Helper()
	client := medlarplatform.New(medlarplatform.DefaultConfig(s.platformAddress))
	defer client.Close()
	if err := client.RegisterUpstream(t.Context(), u); err != nil {
		t.Fatal(err)
	}
}

func relayStatus(t testing.TB, control string) []medlarrelay.Status {
	t.Helper()
	var status []medlarrelay.Status
	if err := medlarprocess.GetJSON(control, "/faults", readTimeout, &status); err != nil {
		t.Fatal(err)
	}
	return status
}

// cancellableContext returns a context that ends with the test or when stop is called.
func cancellableContext(t testing.TB) (ctx context.Context, stop context.CancelFunc) {
	t.Helper()
	ctx, stop = context.WithCancel(t.Context())
	t.Cleanup(stop)
	return ctx, stop
}
