package medlarproof

import (
	"crypto/rand"
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
	// capacityTimeout covers the start and the cooldown of reassigned slots, which is 10 s plus the longest deadline.
	capacityTimeout = 30 * time.Second
	// maxDeadline is the longest deadline of the templates. It extends the cooldown of reassigned slots.
	maxDeadline = time.Second
)

// entry is an entry instance.
type entry struct {
	*process
	id                         medlarwheel.InstanceID
	dataCentre                 medlarwheel.DataCentreID
	clientAddress, peerAddress string
}

// runner is a test double of an upstream of a service.
type runner struct {
	*process
	id                            medlarwheel.UpstreamID
	dataCentre                    medlarwheel.DataCentreID
	listenAddress, controlAddress string
}

// system is the system under test with its processes.
type system struct {
	// key is the system key. It differs between systems, because their instances have the same names: an instance that is
	// called at an address that a stopped instance of another system used must reject the call.
	key             string
	platformAddress string
	entries         []*entry
	processes       []*process
	// relayedInstance is the instance that reaches the platform through the relay at relayAddress. It is empty without a
	// relay.
	relayedInstance                   medlarwheel.InstanceID
	relayAddress, relayControlAddress string
}

// shared is the system of the tests that keep every entry instance running.
var shared *system

// sharedSystem returns the shared system and starts it on the first call.
func sharedSystem(t testing.TB) *system {
	t.Helper()
	if shared != nil {
		shared.reportLogs(t)
		return shared
	}
	s := newStoppedSystem("")
	t.Cleanup(func() {
		if shared != s {
			s.stop()
		}
	})
	s.reportLogs(t)
	s.start(t)
	shared = s
	return s
}

// newSystem starts a system that is stopped at the end of the test. The instance named relayed, if any, reaches the platform
// through a relay.
func newSystem(t testing.TB, relayed medlarwheel.InstanceID) *system {
	t.Helper()
	s := newStoppedSystem(relayed)
	t.Cleanup(s.stop)
	s.reportLogs(t)
	s.start(t)
	return s
}

// newStoppedSystem returns a system without processes.
func newStoppedSystem(relayed medlarwheel.InstanceID) *system {
	return &system{key: "medlarproof-" + rand.Text(), relayedInstance: relayed}
}

// start starts the processes of the system and waits until every instance is ready and votes.
func (s *system) start(t testing.TB) {
	t.Helper()
	s.startPlatform(t)
	s.addEntries(t)
	s.startEntries(t)
}

// startPlatform starts the platform, and the relay if an instance is relayed.
func (s *system) startPlatform(t testing.TB) {
	t.Helper()
	s.platformAddress = freeAddress(t)
	s.add(startProcess(t, "platform", "medlarstandin", "platform", "--listen", s.platformAddress))
	await(t, 5*time.Second, "response of the platform", func() bool {
		var counters struct{}
		return medlarprocess.GetJSON(s.platformAddress, "/v1/counters", readTimeout, &counters) == nil
	})
	if s.relayedInstance != "" {
		s.relayAddress, s.relayControlAddress = freeAddress(t), freeAddress(t)
		s.startRelay(t, []string{s.relayAddress}, []string{s.platformAddress}, s.relayControlAddress)
	}
}

// addEntries adds two entry instances in each data centre, which are not started yet.
func (s *system) addEntries(t testing.TB) {
	t.Helper()
	for i, dc := range []medlarwheel.DataCentreID{dataCentreOne, dataCentreOne, dataCentreTwo, dataCentreTwo} {
		s.entries = append(s.entries, &entry{
			id: medlarwheel.InstanceID(fmt.Sprintf("entry-%d", i+1)), dataCentre: dc,
			clientAddress: freeAddress(t), peerAddress: freeAddress(t),
		})
	}
}

// startEntries starts the entry instances and waits until every one is ready and votes. It fails the test as soon as one
// exits: if another process serves its address, the readiness probe succeeds but the instance never votes.
func (s *system) startEntries(t testing.TB) {
	t.Helper()
	for _, e := range s.entries {
		s.startEntry(t, e)
	}
	for _, e := range s.entries {
		s.awaitRunning(t, 10*time.Second, string(e.id)+" ready", e.isReady)
	}
	s.awaitVoters(t)
}

// awaitRunning polls a condition until it holds, as await does. It also fails the test if an entry instance has exited.
func (s *system) awaitRunning(t testing.TB, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	await(t, limit, what, func() bool {
		t.Helper()
		held := condition()
		for _, e := range s.entries {
			if e.hasExited() {
				t.Fatalf("%s exited while the test waited for: %s; exit error %v, last log lines:\n%s", e.id, what, e.err, e.logs.tail(3))
			}
		}
		return held
	})
}

func (s *system) add(p *process) *process {
	s.processes = append(s.processes, p)
	return p
}

// startEntry starts or restarts an entry instance.
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
	environment := []string{"MEDLARWHEEL_SYSTEM_KEY=" + s.key}
	e.process = s.add(startProcessWith(t, environment, string(e.id), "medlarwheel", arguments...))
}

// stop kills all processes of the system, each by its process id.
func (s *system) stop() {
	for _, p := range s.processes {
		p.kill()
	}
}

// reportLogs prints the last log lines of every entry instance if the test fails.
func (s *system) reportLogs(t testing.TB) {
	t.Cleanup(func() {
		if !t.Failed() {
			return
		}
		for _, e := range s.entries {
			if e.process != nil {
				t.Logf("log of %s:\n%s", e.id, e.logs.tail(12))
			}
		}
	})
}

// clientAddresses returns the addresses for client requests of all entry instances.
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

// upstream returns the status of an upstream as seen by the instance. It returns false if the instance does not respond or
// does not know the upstream.
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

// metric is the value of a metric. Value is set for gauges and Count for counters.
type metric struct {
	Value int `json:"value"`
	Count int `json:"count"`
}

// metric returns the value of a metric of the instance, or zero if it cannot be read.
func (e *entry) metric(name string) metric {
	var values map[string]metric
	if medlarprocess.GetJSON(e.clientAddress, medlaroperator.PathMetrics, readTimeout, &values) != nil {
		return metric{}
	}
	return values[name]
}

// gauge returns the value of a gauge of the instance, or zero if it cannot be read.
func (e *entry) gauge(name string) int { return e.metric(name).Value }

// counter returns the value of a counter of the instance, or zero if it cannot be read.
func (e *entry) counter(name string) int { return e.metric(name).Count }

// service describes the runners and the template of a service that a test adds.
type service struct {
	name        string
	class       medlarwheel.Class
	runners     int
	slots       int
	serviceTime time.Duration
	deadline    time.Duration
	flags       []string
	// unregistered starts the runners without registering them in the platform's list of instances.
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

// addService starts the runners of a service, alternating between the data centres, and publishes its template.
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
		await(t, 5*time.Second, string(r.id)+": response of the runner", func() bool { _, err := r.report(); return err == nil })
	}
	publish(t, s.entries[0], v.template(), 0)
	return runners
}

// awaitVoters waits until every instance is a voter of its claim group and votes. In a group of two, no key can be decided
// while one instance is joining, and requests end with an unknown outcome, which a test that starts earlier would report as
// failures.
func (s *system) awaitVoters(t testing.TB) {
	t.Helper()
	voters := map[medlarwheel.DataCentreID]int{}
	for _, e := range s.entries {
		voters[e.dataCentre]++
	}
	for _, e := range s.entries {
		s.awaitRunning(t, capacityTimeout, "votes by "+string(e.id), func() bool {
			return e.gauge("seats") == voters[e.dataCentre] && e.gauge("seat-votes") == 1
		})
	}
}

// awaitCapacity waits until the capacities of all instances for the service add up to all of its slots.
func (s *system) awaitCapacity(t testing.TB, v service) {
	t.Helper()
	took := await(t, capacityTimeout, "capacity of "+v.name, func() bool {
		total := 0
		for _, e := range s.entries {
			total += e.gauge("capacity." + v.name)
		}
		return total >= v.runners*v.slots
	})
	t.Logf("service %s has its full capacity after %s", v.name, took.Round(time.Millisecond))
}

// publish publishes a template and returns its version. It retries while the platform is reported as unavailable.
func publish(t testing.TB, e *entry, template medlarwheel.Template, expected medlarwheel.ConfigVersion) medlarwheel.ConfigVersion {
	t.Helper()
	var published medlaroperator.WriteResult
	await(t, 10*time.Second, "publication of "+string(template.Name), func() bool {
		var err error
		published, err = tryPublish(e, template, expected, "medlarproof")
		var responseErr *medlaroperator.Error
		if err != nil && (!errors.As(err, &responseErr) || responseErr.Code != medlaroperator.CodeUnavailable) {
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

// appliedCounts returns how often each key was applied, summed over the runners.
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

// postJSON sends a JSON value to a control path of a test double.
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
		t.Fatalf("POST %s%s: status %d, error %v, body %s; want status 200", address, path, response.StatusCode(), err, response.Body())
	}
}
