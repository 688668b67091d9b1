package medlarinterference

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// trueCoefficients is the pressure of the pairs in the tests.
var trueCoefficients = map[Image]float64{"light": 0.1, "heavy": 1.3}

// tailLatency returns the tail latency of a serving task with its own level and the shares beside it.
func tailLatency(own float64, shares map[Image]float64) time.Duration {
	level := own
	for image, share := range shares {
		level += trueCoefficients[image] * share
	}
	return time.Duration(float64(10*time.Millisecond) / max(0.02, 1-level))
}

// TestFitSeparatesOwnLoadFromInterference guards against a fit that takes the swing of a serving task's own load for the pressure
// of the tasks beside it, when these are placed where the load is low.
func TestFitSeparatesOwnLoadFromInterference(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	m := New(DefaultConfig())
	m.Utilisation("web", tailLatency(0, nil))
	before, beforeShares := 0.0, map[Image]float64{}
	for step := range 200 {
		own := 0.45 + 0.22*math.Sin(2*math.Pi*float64(step)*0.6/14)
		shares := map[Image]float64{}
		if own < 0.5 {
			// Work is placed where the load is low.
			shares["heavy"] = 0.1 * float64(rng.IntN(2))
			shares["light"] = 0.1 * float64(rng.IntN(4))
		}
		level := m.Utilisation("web", tailLatency(own, shares))
		if step > 0 {
			var changes []ImageShare
			for image := range trueCoefficients {
				if d := shares[image] - beforeShares[image]; d != 0 {
					changes = append(changes, ImageShare{Image: image, Share: d})
				}
			}
			m.Observe("web", level-before, changes)
		}
		before, beforeShares = level, shares
		if step%2 == 0 {
			m.Refit()
		}
	}
	light, heavy := m.Coefficient("light", "web"), m.Coefficient("heavy", "web")
	if math.Abs(light-trueCoefficients["light"]) > 0.25 || math.Abs(heavy-trueCoefficients["heavy"]) > 0.5 {
		t.Fatalf("learnt %.2f and %.2f, want about %.2f and %.2f", light, heavy, trueCoefficients["light"], trueCoefficients["heavy"])
	}
}

// TestModelWithoutObservationsReturnsThePrior guards against filling work that is placed without care beside tasks of which nothing is
// known, and against a division by zero.
func TestModelWithoutObservationsReturnsThePrior(t *testing.T) {
	c := DefaultConfig()
	m := New(c)
	m.Refit()
	if got := m.Coefficient("a", "b"); got != c.Prior {
		t.Errorf("pressure %v, want the prior %v", got, c.Prior)
	}
	if got := m.UtilisationLimit("b", time.Second); got != c.DefaultLimit {
		t.Errorf("limit %v, want %v", got, c.DefaultLimit)
	}
	if got := m.Utilisation("b", 0); got != 0 {
		t.Errorf("level %v of a task without a figure", got)
	}
}

// TestModelBoundsBestEffortImages guards against memory that grows with the number of images.
func TestModelBoundsBestEffortImages(t *testing.T) {
	c := DefaultConfig()
	m := New(c)
	for i := range 3 * c.MaxImages {
		m.Observe("web", 0.1, []ImageShare{{Image: Image(rune('a' + i)), Share: 0.1}})
	}
	if n := len(m.serving["web"].products); n > c.MaxImages {
		t.Errorf("%d images are kept, want at most %d", n, c.MaxImages)
	}
}

// TestRestoredModelKeepsCoefficientsAndKeepsLearning guards against a new owner that has to learn all pressures anew, or that learns nothing more.
func TestRestoredModelKeepsCoefficientsAndKeepsLearning(t *testing.T) {
	m := New(DefaultConfig())
	m.Utilisation("web", 10*time.Millisecond)
	for range 100 {
		m.Observe("web", 0.13, []ImageShare{{Image: "heavy", Share: 0.1}})
	}
	m.Refit()
	s := m.Snapshot()
	if faults := s.Check(); len(faults) > 0 {
		t.Fatal(faults)
	}
	next := New(DefaultConfig())
	next.Restore(s)
	next.Refit()
	if want, got := m.Coefficient("heavy", "web"), next.Coefficient("heavy", "web"); math.Abs(want-got) > 0.1 {
		t.Errorf("pressure %.2f after the snapshot, %.2f before", got, want)
	}
	for range 1000 {
		next.Observe("web", 0.01, []ImageShare{{Image: "heavy", Share: 0.1}})
	}
	next.Refit()
	if got := next.Coefficient("heavy", "web"); got > 0.5 {
		t.Errorf("pressure %.2f after many observations of 0.1", got)
	}
	s.Serving["web"] = ServingSnapshot{BaselineUtilisation: 7}
	if len(s.Check()) == 0 {
		t.Error("a level of 7 was accepted")
	}
}
