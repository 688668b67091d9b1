package medlarupstream

import (
	"testing"
	"time"
)

// Guards against ejection for silent connections or single failures, trials with more than one request, a backoff that does not grow, and
// members that stay out when others leave.
func TestHealthEjectsAndReadmits(t *testing.T) {
	g := NewHealthGroup(DefaultHealthConfig())
	a, b, c := g.Add(), g.Add(), g.Add()
	g.Add()
	fail := func(h *Health, now time.Duration, e Event) {
		for range 3 {
			h.Observe(at(now), e, false)
		}
	}
	for range 100 {
		a.Observe(at(0), EventStalled, false)
	}
	for range 20 {
		a.Observe(at(0), EventIncomplete, false)
		a.Observe(at(0), EventSuccess, false)
	}
	fail(b, 0, EventProbeFailure)
	fail(c, 0, EventIncomplete)
	fail(a, 0, EventConnectFailure)
	if a.State(at(0)) != HealthAvailable || b.State(at(0)) != HealthEjected || c.State(at(0)) != HealthEjected {
		t.Fatal("want two of four ejected, and none for silence")
	}
	if b.State(at(999*ms)) != HealthEjected || b.State(at(time.Second)) != HealthTrial {
		t.Error("the first trial must come after one second")
	}
	b.BeginTrial()
	if b.State(at(time.Minute)) != HealthEjected {
		t.Error("a second request was let through during a trial")
	}
	b.Observe(at(time.Second), EventConnectFailure, true)
	if b.State(at(2999*ms)) != HealthEjected || b.State(at(3*time.Second)) != HealthTrial {
		t.Error("the second trial must come after two more seconds")
	}
	b.BeginTrial()
	b.Observe(at(3*time.Second), EventSuccess, true)
	fail(b, 4*time.Second, EventConnectFailure)
	if b.State(at(7999*ms)) != HealthEjected || b.State(at(8*time.Second)) != HealthTrial {
		t.Error("an upstream that fails again soon must wait longer")
	}
	g.Remove(a)
	if len(g.ejected) != 1 || c.State(at(0)) != HealthAvailable {
		t.Error("with three members only one may be out, and the one out longest is readmitted")
	}
}

// Guards against limits that follow one slow request or a change in the mix of requests, do not fall when an upstream
// slows down, or never rise again.
func TestLimiterFollowsLatency(t *testing.T) {
	g, now := NewConcurrencyLimiter(DefaultConcurrencyLimiterConfig(), 8), at(0)
	observe := func(n int, latency time.Duration, slow ...time.Duration) {
		for i := range n {
			now = now.Add(10 * ms)
			sample := latency
			if i%limiterWindow < len(slow) {
				sample = slow[i%limiterWindow]
			}
			g.Observe(now, sample, 0, true)
		}
	}
	observe(10*limiterWindow, 100*ms, 10*time.Second, 10*time.Second)
	if g.Limit() != 8 {
		t.Errorf("limit %d with two slow requests in a window", g.Limit())
	}
	mixed := NewConcurrencyLimiter(DefaultConcurrencyLimiterConfig(), 8)
	for i := range 10 * limiterWindow {
		usual := []time.Duration{100 * ms, time.Second}[i/(5*limiterWindow)]
		mixed.Observe(now, usual, usual, true)
	}
	if mixed.Limit() != 8 {
		t.Errorf("limit %d after longer requests at their usual latency", mixed.Limit())
	}
	observe(2*limiterWindow, 400*ms)
	if g.Limit() > 3 {
		t.Errorf("limit %d after two windows of four times the latency", g.Limit())
	}
	observe(10*limiterWindow, 400*ms)
	if g.Limit() != 1 {
		t.Errorf("limit %d with lasting latency, want the least", g.Limit())
	}
	if g.Recover(now.Add(time.Second)); g.Limit() != 1 {
		t.Error("the limit grew while samples came in")
	}
	if g.Recover(now.Add(2 * time.Second)); g.Limit() != 2 {
		t.Errorf("limit %d after two seconds without samples, want 2", g.Limit())
	}
	observe(10*limiterWindow, 100*ms)
	if g.Limit() != 8 {
		t.Errorf("limit %d after the latency is back to normal", g.Limit())
	}
	observe(200*limiterWindow, 400*ms)
	if g.Limit() != 8 {
		t.Errorf("limit %d after a lasting change, want it to become normal", g.Limit())
	}
}
