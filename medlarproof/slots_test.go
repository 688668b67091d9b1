package medlarproof

import (
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/standin/medlarload"
)

// Guards against more requests or connections at a runner than it has, while every instance has more to send than it owns
// and borrows from the others.
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
		t.Errorf("%d requests done, less than half of the capacity, so the limits were not tested", done)
	}
	for _, r := range runners {
		c := r.counters(t)
		t.Logf("%s: at most %d requests and %d connections at a time", r.id, c.PeakBusy, c.PeakConnections)
	}
}

// Guards against a refused key whose other attempt is told that the key group is unreachable although every seat answered
// that the key is sealed, which means that it was not run.
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
		t.Errorf("%d of %d calls were told that the key group is unreachable; all instances were up", n, countRequests(&report))
	}
}

// Guards against a concurrency limit that closes an idle upstream because its answers, still far below a millisecond,
// became slower by microseconds: one caller alone must never be refused.
func TestSingleClientOfFastUpstreamIsNotRefused(t *testing.T) {
	s := sharedSystem(t)
	v := service{name: "fast", runners: 2, slots: 64}
	s.addService(t, v)
	s.awaitCapacity(t, v)
	for _, method := range []string{"GET", "POST"} {
		c := &keepAliveClient{address: s.entries[0].clientAddress, path: "/v1/call/fast/", method: method, prefix: "dc-1:fast"}
		for i := range 2000 {
			if err := c.send(); err != nil {
				t.Fatalf("%s %d of one caller: %v; capacity of the instance: %d", method, i, err, s.entries[0].gauge("capacity.fast"))
			}
		}
	}
}

// Guards against a flood that makes an instance break a guarantee. It also prints what the flood leaves of the goodput,
// the tail latency of the protected class and the time of refusals; BenchmarkPath compares them with their targets.
func TestFloodKeepsGuarantees(t *testing.T) {
	s := sharedSystem(t)
	f := startFlood(t, s)
	f.run(t, 1, 3*time.Second)
	f.run(t, 10, 5*time.Second)
}

// flood is an urgent and a background template on the same runners.
type flood struct {
	system   *system
	urgent   service
	runners  []*runner
	capacity float64
}

const (
	floodBackground medlarwheel.TemplateName = "flood-background"
	// protectedShare is the part of the capacity that the protected class asks for.
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

// run sends the protected class at its share, and background requests up to the given multiple of the capacity.
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
