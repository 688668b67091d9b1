package medlarforecast

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// sample is one task with its true run time and its estimate.
type sample struct{ runTime, estimate time.Duration }

// drawSample returns a task whose run time is log-normal around a median, with an estimate that is off by log-normal
// noise.
func drawSample(rng *rand.Rand, median time.Duration, spread, noise float64) sample {
	logRunTime := math.Log(median.Seconds()) + spread*rng.NormFloat64()
	duration := func(log float64) time.Duration { return time.Duration(math.Exp(log) * float64(time.Second)) }
	return sample{runTime: duration(logRunTime), estimate: duration(logRunTime + noise*rng.NormFloat64())}
}

// logError returns the absolute difference of the logarithms of two run times.
func logError(a, b time.Duration) float64 { return math.Abs(math.Log(a.Seconds() / b.Seconds())) }

// TestPredictionsFollowRunTimesWhenEstimatesAreNoise guards against predictions that follow misleading estimates, so that
// work is wrongly ranked as late or in time. It simulates estimates with little and with much noise, and checks that
// predictions are no worse than the estimates, and much better where these are mostly noise.
func TestPredictionsFollowRunTimesWhenEstimatesAreNoise(t *testing.T) {
	for name, c := range map[string]struct {
		noise, bias, atMost float64
	}{
		"exact":              {noise: 0, atMost: 0.02},
		"somewhat off":       {noise: 0.3, atMost: 1.0},
		"mostly noise":       {noise: 1.0, atMost: 0.6},
		"all far too short":  {noise: 0.3, bias: -2, atMost: 0.2},
		"all twice too long": {noise: 0.1, bias: 0.7, atMost: 0.4},
	} {
		rng := rand.New(rand.NewPCG(1, 2))
		m := New(DefaultConfig())
		var byEstimate, byModel float64
		for n := range 600 {
			w := drawSample(rng, 2400*time.Millisecond, 0.48, c.noise)
			w.estimate = time.Duration(float64(w.estimate) * math.Exp(c.bias))
			if n >= 100 {
				byEstimate += logError(w.estimate, w.runTime)
				byModel += logError(m.Predict("r", w.estimate), w.runTime)
			}
			m.Observe("r", w.estimate, w.runTime, w.runTime*3/2)
		}
		if limit := max(c.atMost*byEstimate, 500*c.atMost/10); byModel > limit {
			t.Errorf("%s: total log error of predictions is %.0f, that of estimates %.0f, want at most %.0f", name, byModel, byEstimate, limit)
		}
	}
}

// TestNewRouteStaysNearTheEstimate guards against predictions without a basis for a route that has no runs yet, and
// against a first run that outweighs the estimates.
func TestNewRouteStaysNearTheEstimate(t *testing.T) {
	m := New(DefaultConfig())
	if got := m.Predict("r", time.Second); got != time.Second {
		t.Errorf("route without runs: got %v for an estimate of 1s, want 1s", got)
	}
	m.Observe("r", time.Second, 100*time.Second, 100*time.Second)
	if got := m.Predict("r", time.Second); got > 10*time.Second {
		t.Errorf("route after one run of 100s: got %v for an estimate of 1s, want at most 10s", got)
	}
	if got := m.Predict("other", time.Second); got != time.Second {
		t.Errorf("other route without runs: got %v for an estimate of 1s, want 1s", got)
	}
	m.Observe("r", 0, time.Second, time.Second)
	if got := m.Predict("r", 0); got != 0 {
		t.Errorf("work without an estimate: got %v, want 0", got)
	}
}

// TestRestoredModelPredictsTheSame guards against a new owner that relearns run times from scratch because the snapshot
// loses a part of the state.
func TestRestoredModelPredictsTheSame(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	m := New(DefaultConfig())
	for range 50 {
		w := drawSample(rng, time.Second, 0.5, 0.5)
		m.Observe("r", w.estimate, w.runTime, w.runTime*3/2)
	}
	data, err := json.Marshal(m.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var s Snapshot
	if err := json.Unmarshal(data, &s); err != nil || len(s.Check()) > 0 {
		t.Fatal(err, s.Check())
	}
	next := New(DefaultConfig())
	next.Restore(s)
	if got, want := next.Predict("r", 3*time.Second), m.Predict("r", 3*time.Second); got != want {
		t.Errorf("prediction after the restore: got %v, want %v", got, want)
	}
	if got := next.PredictLongest("r", time.Second); got < 1400*time.Millisecond || got > 1500*time.Millisecond {
		t.Errorf("longest of tasks with a mean of 1s: got %v, want 1.4s to 1.5s", got)
	}
	if !reflect.DeepEqual(next.Snapshot(), m.Snapshot()) {
		t.Error("snapshot of the restored model differs from the original")
	}
	if faults := (Snapshot{"r": {Count: -1}, "s": {Count: 1, RunTimeSum: math.NaN()}}).Check(); len(faults) != 2 {
		t.Errorf("faults of a snapshot with two bad routes: got %v, want 2", faults)
	}
}
