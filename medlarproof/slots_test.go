package medlarproof

import (
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/standin/medlarload"
)

// Guards against more concurrent requests or connections at a runner than its limits, which the audit checks. Every instance
// receives more requests than its slots can serve, so that instances borrow slots from each other.
func TestOverloadKeepsSlotAndConnectionLimits(t *testing.T) {
	s := sharedSystem(t)
	v := service{name: "slots", runners: 4, slots: 4, serviceTime: 40 * time.Millisecond}
	runners := s.addService(t, v)
	s.awaitCapacity(t, v)
	capacity := float64(v.runners*v.slots) / v.serviceTime.Seconds()
	config := s.loadConfig(v, runners, 4*capacity, 6*time.Second)
	config.Retries = 0
	report := runLoad(t, config)
	if done := countFinals(&report, medlarwheel.OutcomeDone, ""); float64(done) < capacity*report.SendDuration.Std().Seconds()/2 {
		t.Errorf("%d requests done, less than half of the capacity, so the limits were not exercised", done)
	}
	for _, r := range runners {
		c := r.counters(t)
		t.Logf("%s: peak of %d requests and %d connections", r.id, c.PeakBusy, c.PeakConnections)
	}
}

// Guards against a duplicate of a refused request that is reported as unknown because of an unreachable key group, although
// every voter responded that the key is sealed, which means that the request was not run.
func TestRefusedDuplicateIsReportedAsNotRun(t *testing.T) {
	s := sharedSystem(t)
	v := service{name: "refused", runners: 2, slots: 2, serviceTime: 40 * time.Millisecond}
	runners := s.addService(t, v)
	s.awaitCapacity(t, v)
	config := s.loadConfig(v, runners, 400, 4*time.Second)
	config.Retries = 0
	config.Mix = []medlarload.RequestKind{{
		Template: medlarwheel.TemplateName(v.name), Account: "double", Method: "POST", Keys: medlarload.KeysDuplicated, Weight: 1,
	}}
	report := runLoad(t, config)
	if n := countCalls(&report, medlarwheel.OutcomeUnknown, medlarwheel.ReasonNoMajority); n > 0 {
		t.Errorf("%d of %d calls ended with an unreachable key group although all instances are running, want none", n, countRequests(&report))
	}
}

// Guards against a concurrency limiter that stops using an idle upstream because its latency, still far below a millisecond,
// rose by microseconds. A single client must never be refused.
func TestSingleClientOfFastUpstreamIsNotRefused(t *testing.T) {
	s := sharedSystem(t)
	v := service{name: "fast", runners: 2, slots: 64}
	s.addService(t, v)
	s.awaitCapacity(t, v)
	for _, method := range []string{"GET", "POST"} {
		client := &keepAliveClient{address: s.entries[0].clientAddress, path: "/v1/call/fast/", method: method, prefix: "dc-1:fast"}
		for i := range 2000 {
			if err := client.send(); err != nil {
				t.Fatalf("%s request %d of a single client: %v; capacity of the instance: %d", method, i, err, s.entries[0].gauge("capacity.fast"))
			}
		}
	}
}

// Guards against a broken guarantee while background requests flood the instances. The log shows the goodput, the tail
// latency of the protected class and the time of refusals; BenchmarkPath compares them with their targets.
func TestFloodKeepsGuarantees(t *testing.T) {
	s := sharedSystem(t)
	f := startFlood(t, s)
	f.run(t, 1, 3*time.Second)
	f.run(t, 10, 5*time.Second)
}

// flood holds an urgent and a background template that share runners. The class of the urgent one is protected.
type flood struct {
	system   *system
	urgent   service
	runners  []*runner
	capacity float64
}

const (
	floodBackground medlarwheel.TemplateName = "flood-background"
	// protectedShare is the load of the protected class as a share of the capacity.
	protectedShare = 0.4
)

func startFlood(t testing.TB, s *system) *flood {
	t.Helper()
	f := &flood{system: s, urgent: service{
		name: "flood", class: medlarwheel.ClassUrgent, runners: 4, slots: 8, serviceTime: 50 * time.Millisecond,
	}}
	f.capacity = float64(f.urgent.runners*f.urgent.slots) / f.urgent.serviceTime.Seconds()
	f.runners = s.addService(t, f.urgent)
	background := f.urgent.template()
	background.Name, background.Class = floodBackground, medlarwheel.ClassBackground
	publish(t, s.entries[0], background, 0)
	s.awaitCapacity(t, f.urgent)
	return f
}

// run sends a load of the given multiple of the capacity: the protected class at its share, the rest as background requests.
func (f *flood) run(t testing.TB, multiple float64, duration time.Duration) medlarload.Report {
	t.Helper()
	config := f.system.loadConfig(f.urgent, f.runners, multiple*f.capacity, duration)
	config.Retries = 0
	protected := int(1000 * protectedShare / multiple)
	config.Mix = []medlarload.RequestKind{
		{Template: medlarwheel.TemplateName(f.urgent.name), Account: "default", Method: "POST", Keys: medlarload.KeysPlain, Weight: protected},
		{Template: floodBackground, Account: "default", Method: "POST", Keys: medlarload.KeysPlain, Weight: 1000 - protected},
	}
	t.Logf("%.2g times the capacity of %.0f requests a second, seed %d", multiple, f.capacity, config.Seed)
	return runLoad(t, config)
}
