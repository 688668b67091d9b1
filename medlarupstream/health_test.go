package medlarupstream

import (
	"testing"
	"time"
)

// Guards against ejection because of stalled connections or occasional failures, more than one request in a trial, a backoff
// that does not grow, and members that stay ejected when the group becomes too small.
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
		t.Fatal("want two of four upstreams ejected, and not the one with stalled connections")
	}
	if b.State(at(999*ms)) != HealthEjected || b.State(at(time.Second)) != HealthTrial {
		t.Error("the first trial must be due after one second")
	}
	b.BeginTrial()
	if b.State(at(time.Minute)) != HealthEjected {
		t.Error("a second request was allowed during a trial")
	}
	b.Observe(at(time.Second), EventConnectFailure, true)
	if b.State(at(2999*ms)) != HealthEjected || b.State(at(3*time.Second)) != HealthTrial {
		t.Error("the second trial must be due two seconds after the first failed")
	}
	b.BeginTrial()
	b.Observe(at(3*time.Second), EventSuccess, true)
	fail(b, 4*time.Second, EventConnectFailure)
	if b.State(at(7999*ms)) != HealthEjected || b.State(at(8*time.Second)) != HealthTrial {
		t.Error("an upstream that is ejected again soon after its readmission must have a longer backoff")
	}
	g.Remove(a)
	if len(g.ejected) != 1 || c.State(at(0)) != HealthAvailable {
		t.Error("with three members only one may be ejected, and the one that was ejected first must be readmitted")
	}
}

// Guards against a limit that falls because of single slow requests or a change in the mix of templates, that does not fall
// when an upstream slows down, or that never rises again.
func TestLimiterFollowsLatency(t *testing.T) {
	limiter, now := NewConcurrencyLimiter(DefaultConcurrencyLimiterConfig(), 8), at(0)
	observe := func(n int, latency time.Duration, slow ...time.Duration) {
		for i := range n {
			now = now.Add(10 * ms)
			sample := latency
			if i%limiterWindow < len(slow) {
				sample = slow[i%limiterWindow]
			}
			limiter.Observe(now, sample, 0, true)
		}
	}
	observe(10*limiterWindow, 100*ms, 10*time.Second, 10*time.Second)
	if limiter.Limit() != 8 {
		t.Errorf("limit %d with two slow requests in each window, want 8", limiter.Limit())
	}
	mixed := NewConcurrencyLimiter(DefaultConcurrencyLimiterConfig(), 8)
	for i := range 10 * limiterWindow {
		usual := []time.Duration{100 * ms, time.Second}[i/(5*limiterWindow)]
		mixed.Observe(now, usual, usual, true)
	}
	if mixed.Limit() != 8 {
		t.Errorf("limit %d after a change to longer requests with their expected latency, want 8", mixed.Limit())
	}
	observe(2*limiterWindow, 400*ms)
	if limiter.Limit() > 3 {
		t.Errorf("limit %d after two windows with four times the latency, want at most 3", limiter.Limit())
	}
	observe(10*limiterWindow, 400*ms)
	if limiter.Limit() != 1 {
		t.Errorf("limit %d with permanently high latency, want 1", limiter.Limit())
	}
	if limiter.Recover(now.Add(time.Second)); limiter.Limit() != 1 {
		t.Error("the limit grew one second after a full window")
	}
	if limiter.Recover(now.Add(2 * time.Second)); limiter.Limit() != 2 {
		t.Errorf("limit %d after two seconds without samples, want 2", limiter.Limit())
	}
	observe(10*limiterWindow, 100*ms)
	if limiter.Limit() != 8 {
		t.Errorf("limit %d after the latency returned to normal, want 8", limiter.Limit())
	}
	observe(200*limiterWindow, 400*ms)
	if limiter.Limit() != 8 {
		t.Errorf("limit %d after a permanent change of latency, want 8 because the baseline follows it", limiter.Limit())
	}
}
