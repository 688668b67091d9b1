package medlarproof

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"medlarwheel"
	"medlarwheel/medlaroperator"
	"medlarwheel/standin/medlarprocess"
	"medlarwheel/standin/medlarrunner"
)

const (
	dataCentreOne medlarwheel.DataCentreID = "dc-1"
	dataCentreTwo medlarwheel.DataCentreID = "dc-2"

	readTimeout = 2 * time.Second
	// capacityTimeout covers the rest of slots that change their owner, 10 s plus the longest deadline, and the start.
	capacityTimeout = 30 * time.Second
	// maxDeadline is the longest deadline of the templates. Slots that change their owner rest that much longer.
	maxDeadline = time.Second
)

// entry is an entry instance.
type entry struct {
	*process
	id                         medlarwheel.InstanceID
	dataCentre                 medlarwheel.DataCentreID
	clientAddress, peerAddress string
}

// runner is a runner of a service.
type runner struct {
	*process
	id                            medlarwheel.UpstreamID
	dataCentre                    medlarwheel.DataCentreID
	listenAddress, controlAddress string
}

// system is a running system.
type system struct {
	platformAddress string
	entries         []*entry
	processes       []*process
	// relayedInstance is the instance that reaches the platform through a relay, if any, at relay with its control address.
	relayedInstance                   medlarwheel.InstanceID
	relayAddress, relayControlAddress string
}

// shared is the system of the tests that leave every entry instance running.
var shared *system

// sharedSystem returns the shared system, started by its first user.
func sharedSystem(t testing.TB) *system {
	t.Helper()
	if shared == nil {
		shared = startSystem(t, "")
	}
	shared.reportLogs(t)
	return shared
}

// newSystem starts a system that ends with the test. The instance named relayed reaches the platform through a relay.
func newSystem(t testing.TB, relayed medlarwheel.InstanceID) *system {
	t.Helper()
	s := startSystem(t, relayed)
	t.Cleanup(s.stop)
	s.reportLogs(t)
	return s
}

func startSystem(t testing.TB, relayed medlarwheel.InstanceID) *system {
	t.Helper()
	s := &system{platformAddress: freeAddress(t), relayedInstance: relayed}
	s.add(startProcess(t, "platform", "medlarstandin", "platform", "--listen", s.platformAddress))
	await(t, 5*time.Second, "platform answers", func() bool {
		var counters struct{}
		return medlarprocess.GetJSON(s.platformAddress, "/v1/counters", readTimeout, &counters) == nil
	})
	if relayed != "" {
		s.relayAddress, s.relayControlAddress = freeAddress(t), freeAddress(t)
		s.startRelay(t, []string{s.relayAddress}, []string{s.platformAddress}, s.relayControlAddress)
	}
	for i, dc := range []medlarwheel.DataCentreID{dataCentreOne, dataCentreOne, dataCentreTwo, dataCentreTwo} {
		s.entries = append(s.entries, &entry{
			id: medlarwheel.InstanceID(fmt.Sprintf("entry-%d", i+1)), dataCentre: dc,
			clientAddress: freeAddress(t), peerAddress: freeAddress(t),
		})
	}
	for _, e := range s.entries {
		s.startEntry(t, e)
	}
	for _, e := range s.entries {
		await(t, 10*time.Second, string(e.id)+" ready", e.isReady)
	}
	s.awaitVoters(t)
	return s
}

func (s *system) add(p *process) *process {
	s.processes = append(s.processes, p)
	return p
}

// startEntry starts an entry instance, also again after its end.
func (s *system) startEntry(t testing.TB, e *entry) {
	t.Helper()
	var seeds []string
	for _, other := range s.entries {
		if other != e {
			seeds = append(seeds, other.peerAddress)
		}
	}
	arguments := []string{
		"entry", "--instance", string(e.id), "--data-centre", string(e.dataCentre), "--data-centres", "dc-1,dc-2",
		"--listen", e.clientAddress, "--listen-peer", e.peerAddress, "--platform", s.platformAddress, "--seeds", strings.Join(seeds, ","),
		"--balancer-delay", "500ms",
	}
	if e.id == s.relayedInstance {
		arguments = append(arguments, "--platform", s.relayAddress)
	}
	e.process = s.add(startProcess(t, string(e.id), "medlarwheel", arguments...))
}

// stop ends all processes, each by its id.
func (s *system) stop() {
	for _, p := range s.processes {
		p.kill()
	}
}

// reportLogs prints the ends of the logs when the test fails.
func (s *system) reportLogs(t testing.TB) {
	t.Cleanup(func() {
		if t.Failed() {
			for _, e := range s.entries {
				t.Logf("log of %s:\n%s", e.id, e.logs.tail(12))
			}
		}
	})
}

// clientAddresses returns the addresses for callers.
func (s *system) clientAddresses() []string {
	addresses := make([]string, 0, len(s.entries))
	for _, e := range s.entries {
		addresses = append(addresses, e.clientAddress)
	}
	return addresses
}

func (e *entry) isReady() bool {
	status, _, err := fasthttp.GetTimeout(nil, "http://"+e.clientAddress+medlaroperator.PathReady, readTimeout)
	return err == nil && status == fasthttp.StatusOK
}

func (e *entry) operator() *medlaroperator.Client {
	return medlaroperator.NewClient(medlaroperator.ClientConfig{Addresses: []string{e.clientAddress}})
}

// upstream returns what the instance knows of an upstream.
func (e *entry) upstream(id medlarwheel.UpstreamID) (medlaroperator.UpstreamStatus, bool) {
	list, err := medlaroperator.Get[medlaroperator.UpstreamList](e.operator(), medlaroperator.PathUpstreams)
	if err != nil {
		return medlaroperator.UpstreamStatus{}, false
	}
	for _, u := range list.Upstreams {
		if u.ID == id {
			return u, true
		}
	}
	return medlaroperator.UpstreamStatus{}, false
}

// gauge returns a gauge of the instance, or zero.
func (e *entry) gauge(name string) int {
	var values map[string]struct {
		Value int `json:"value"`
	}
	if medlarprocess.GetJSON(e.clientAddress, medlaroperator.PathMetrics, readTimeout, &values) != nil {
		return 0
	}
	return values[name].Value
}

// service describes the runners and the template that a test adds.
type service struct {
	name        string
	class       medlarwheel.Class
	runners     int
	slots       int
	serviceTime time.Duration
	deadline    time.Duration
	flags       []string
	// unregistered leaves the runners out of the platform's list.
	unregistered bool
}

func (s *service) template() medlarwheel.Template {
	if s.class == "" {
		s.class = medlarwheel.ClassUrgent
	}
	if s.deadline == 0 {
		s.deadline = maxDeadline
	}
	deadline := medlarwheel.Duration(s.deadline)
	return medlarwheel.Template{
		Name: medlarwheel.TemplateName(s.name), Kind: medlarwheel.KindService, Class: s.class,
		Service: &medlarwheel.ServiceSpec{
			Upstream: medlarwheel.ServiceName(s.name), IdempotentMethods: []string{"GET", "HEAD"},
			Slots: medlarwheel.Slots(s.slots), Connections: medlarwheel.Connections(8 * s.slots),
			QueueTimeout: medlarwheel.Duration(400 * time.Millisecond), DefaultDeadline: deadline, MaxDeadline: deadline,
			RequireEcho: true,
		},
		Defaults: medlarwheel.Parameters{Weight: 1, GuaranteedSlots: 2, QueueLimit: 200},
	}
}

// addService starts the runners of a service, half of them in each data centre, and publishes its template.
func (s *system) addService(t testing.TB, v service) []*runner {
	t.Helper()
	var runners []*runner
	for i := range v.runners {
		r := &runner{
			id:            medlarwheel.UpstreamID(fmt.Sprintf("%s-%d", v.name, i+1)),
			dataCentre:    []medlarwheel.DataCentreID{dataCentreOne, dataCentreTwo}[i%2],
			listenAddress: freeAddress(t), controlAddress: freeAddress(t),
		}
		arguments := []string{
			"runner", "--listen", r.listenAddress, "--control", r.controlAddress, "--id", string(r.id), "--service", v.name,
			"--data-centre", string(r.dataCentre), "--slots", fmt.Sprint(v.slots), "--connections", fmt.Sprint(8 * v.slots),
			"--service-time", v.serviceTime.String(),
		}
		if !v.unregistered {
			arguments = append(arguments, "--platform", s.platformAddress)
		}
		r.process = s.add(startProcess(t, string(r.id), "medlarstandin", append(arguments, v.flags...)...))
		runners = append(runners, r)
	}
	for _, r := range runners {
		await(t, 5*time.Second, string(r.id)+" answers", func() bool { _, err := r.report(); return err == nil })
	}
	publish(t, s.entries[0], v.template(), 0)
	return runners
}

// awaitVoters waits until every instance has its seat and votes. Of a group of two, neither can decide on a key while the
// other joins, and answers that its outcome is unknown; a test that begins earlier sees these answers as faults of its own.
func (s *system) awaitVoters(t testing.TB) {
	t.Helper()
	seats := map[medlarwheel.DataCentreID]int{}
	for _, e := range s.entries {
		seats[e.dataCentre]++
	}
	for _, e := range s.entries {
		await(t, capacityTimeout, "votes of "+string(e.id), func() bool {
			return e.gauge("seats") == seats[e.dataCentre] && e.gauge("seat-votes") == 1
		})
	}
}

// awaitCapacity waits until the instances together may use every slot of the service, and each of them some.
func (s *system) awaitCapacity(t testing.TB, v service) {
	t.Helper()
	took := await(t, capacityTimeout, "capacity of "+v.name, func() bool {
		sum := 0
		for _, e := range s.entries {
			sum += e.gauge("capacity." + v.name)
		}
		return sum >= v.runners*v.slots
	})
	t.Logf("service %s has its capacity after %s", v.name, took.Round(time.Millisecond))
}

// publish publishes a template and returns its version. It comes back while the platform is reported as unavailable.
func publish(t testing.TB, e *entry, template medlarwheel.Template, expected medlarwheel.ConfigVersion) medlarwheel.ConfigVersion {
	t.Helper()
	var published medlaroperator.WriteResult
	await(t, 10*time.Second, "publication of "+string(template.Name), func() bool {
		var err error
		published, err = tryPublish(e, template, expected, "medlarproof")
		var failure *medlaroperator.Error
		if err != nil && (!errors.As(err, &failure) || failure.Code != medlaroperator.CodeUnavailable) {
			t.Fatalf("publish %s: %v", template.Name, err)
		}
		return err == nil
	})
	return published.Version
}

func tryPublish(e *entry, template medlarwheel.Template, expected medlarwheel.ConfigVersion, author medlarwheel.Author) (medlaroperator.WriteResult, error) {
	data, err := json.Marshal(template)
	if err != nil {
		return medlaroperator.WriteResult{}, err
	}
	return e.operator().Put(medlaroperator.PathTemplates, string(template.Name), data,
		medlaroperator.WriteOptions{Author: author, ExpectedVersion: expected})
}

func (r *runner) report() (medlarrunner.Report, error) {
	var report medlarrunner.Report
	err := medlarprocess.GetJSON(r.controlAddress, "/ledger", readTimeout, &report)
	return report, err
}

func (r *runner) counters(t testing.TB) medlarrunner.Counters {
	t.Helper()
	report, err := r.report()
	if err != nil {
		t.Fatal(err)
	}
	return report.Counters
}

// appliedCounts returns how often each key was applied over the runners.
func appliedCounts(t testing.TB, runners []*runner) map[medlarwheel.RequestKey]int {
	t.Helper()
	counts := map[medlarwheel.RequestKey]int{}
	for _, r := range runners {
		report, err := r.report()
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range report.Keys {
			counts[e.Key] += e.Applied
		}
	}
	return counts
}

// postJSON sends a JSON value to a control path of a stand-in.
func postJSON(t testing.TB, address, path string, value any) {
	t.Helper()
	body, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + path)
	request.SetBody(body)
	if err := fasthttp.DoTimeout(request, response, readTimeout); err != nil || response.StatusCode() != fasthttp.StatusOK {
		t.Fatalf("post %s%s: status %d, %v, %s", address, path, response.StatusCode(), err, response.Body())
	}
}
