package medlarforecast

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// sample is one piece of work with its true run time and its estimate.
type sample struct{ runTime, estimate time.Duration }

// drawSample returns work whose run times spread by a factor around a median, and estimates that are off by noise.
func drawSample(rng *rand.Rand, median time.Duration, spread, noise float64) sample {
	took := math.Log(median.Seconds()) + spread*rng.NormFloat64()
	seconds := func(log float64) time.Duration { return time.Duration(math.Exp(log) * float64(time.Second)) }
	return sample{runTime: seconds(took), estimate: seconds(took + noise*rng.NormFloat64())}
}

// logError returns by how much two run times differ, as a logarithm.
func logError(a, b time.Duration) float64 { return math.Abs(math.Log(a.Seconds() / b.Seconds())) }

// TestPredictionsFollowRunTimesWhenEstimatesAreNoise guards against work that is taken for late or in time because of an estimate that says little: it plays
// estimates with little and with much noise, and checks that predictions are no worse than the estimates, and much better where these
// are noise.
func TestPredictionsFollowRunTimesWhenEstimatesAreNoise(t *testing.T) {
	for name, c := range map[string]struct {
		noise, bias, atMost float64
	}{
		"exact":              {noise: 0, atMost: 0.02},
		"somewhat off":       {noise: 0.3, atMost: 1.0},
		"mostly noise":       {noise: 1.0, atMost: 0.6},
		"all far too short":  {noise: 0.3, bias: -2, atMost: 0.2},
		"all too long twice": {noise: 0.1, bias: 0.7, atMost: 0.4},
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
			t.Errorf("%s: off by %.0f in all, the estimates by %.0f, want at most %.0f", name, byModel, byEstimate, limit)
		}
	}
}

// TestNewRouteStaysNearTheEstimate guards against predictions from nothing, and against a first run that outweighs the estimates.
func TestNewRouteStaysNearTheEstimate(t *testing.T) {
	m := New(DefaultConfig())
	if got := m.Predict("r", time.Second); got != time.Second {
		t.Errorf("a route without runs: %v for an estimate of a second", got)
	}
	m.Observe("r", time.Second, 100*time.Second, 100*time.Second)
	if got := m.Predict("r", time.Second); got > 10*time.Second {
		t.Errorf("after one run: %v for an estimate of a second", got)
	}
	if got := m.Predict("other", time.Second); got != time.Second {
		t.Errorf("another route: %v for an estimate of a second", got)
	}
	m.Observe("r", 0, time.Second, time.Second)
	if got := m.Predict("r", 0); got != 0 {
		t.Errorf("work without an estimate: %v", got)
	}
}

// TestRestoredModelPredictsTheSame guards against an owner that begins to learn again.
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
		t.Errorf("%v, before %v", got, want)
	}
	if got := next.PredictLongest("r", time.Second); got < 1400*time.Millisecond || got > 1500*time.Millisecond {
		t.Errorf("the longest of tasks of a second: %v, want a half more", got)
	}
	if !reflect.DeepEqual(next.Snapshot(), m.Snapshot()) {
		t.Error("the next owner has learnt something else")
	}
	if faults := (Snapshot{"r": {Count: -1}, "s": {Count: 1, RunTimeSum: math.NaN()}}).Check(); len(faults) != 2 {
		t.Errorf("faults %v", faults)
	}
}
