package medlarinterference

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var trendEpoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// TestTrendFollowsSharedLoad guards against estimates that lag behind a load which rises and falls within seconds, and
// against estimates that one task with a peak of its own distorts for all others.
func TestTrendFollowsSharedLoad(t *testing.T) {
	const tasks, interval, horizon = 6, 600 * time.Millisecond, 2 * time.Second
	rng := rand.New(rand.NewPCG(3, 4))
	config := DefaultTrendConfig()
	load := func(at time.Time) float64 {
		return 0.48 + 0.24*math.Sin(2*math.Pi*at.Sub(trendEpoch).Seconds()/20)
	}
	var trend Trend
	var worstNow, worstAhead float64
	for step := range 400 {
		at := trendEpoch.Add(time.Duration(step) * interval / tasks)
		value := load(at) + 0.025*rng.NormFloat64()
		if step%tasks == 0 {
			value += 0.3
		}
		trend.Observe(&config, at, value)
		if step > 10*tasks {
			worstNow = max(worstNow, math.Abs(trend.At(&config, at)-load(at)))
			worstAhead = max(worstAhead, math.Abs(trend.At(&config, at.Add(horizon))-load(at.Add(horizon))))
		}
	}
	if worstNow > 0.08 {
		t.Errorf("the estimated load is off by up to %.3f, want at most 0.08", worstNow)
	}
	if worstAhead > 0.24 {
		t.Errorf("the load expected in %v is off by up to %.3f, want less than the amplitude of 0.24", horizon, worstAhead)
	}
}

// TestTrendToleratesDelayedObservations guards against a wrong estimate after a report that arrives late.
func TestTrendToleratesDelayedObservations(t *testing.T) {
	config := DefaultTrendConfig()
	var ordered, delayed Trend
	at := func(step int) time.Time { return trendEpoch.Add(time.Duration(step) * 100 * time.Millisecond) }
	value := func(step int) float64 { return 0.3 + 0.005*float64(step) }
	for step := range 20 {
		ordered.Observe(&config, at(step), value(step))
	}
	for _, step := range []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 14, 13, 15, 16, 18, 17, 19} {
		delayed.Observe(&config, at(step), value(step))
	}
	if a, b := ordered.At(&config, at(20)), delayed.At(&config, at(20)); math.Abs(a-b) > 0.01 {
		t.Errorf("estimates are %.4f in order and %.4f with two observations late, want a difference of at most 0.01", a, b)
	}
	if (&Trend{}).HasObservations() || !ordered.HasObservations() {
		t.Error("a trend must have observations after the first one, and none before")
	}
}
