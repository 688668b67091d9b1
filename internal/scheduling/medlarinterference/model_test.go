package medlarinterference

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// trueCoefficients holds the interference coefficients that the tests simulate.
var trueCoefficients = map[Image]float64{"light": 0.1, "heavy": 1.3}

// tailLatency returns the simulated tail latency of a serving task with its own utilisation and the given best-effort shares.
func tailLatency(own float64, shares map[Image]float64) time.Duration {
	utilisation := own
	for image, share := range shares {
		utilisation += trueCoefficients[image] * share
	}
	return time.Duration(float64(10*time.Millisecond) / max(0.02, 1-utilisation))
}

// TestFitSeparatesBaselineFromInterference guards against a fit that attributes the variation of a serving task's own load
// to interference, because best-effort tasks are placed where that load is low.
func TestFitSeparatesBaselineFromInterference(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	m := New(DefaultConfig())
	m.Utilisation("web", tailLatency(0, nil))
	before, beforeShares := 0.0, map[Image]float64{}
	for step := range 200 {
		own := 0.45 + 0.22*math.Sin(2*math.Pi*float64(step)*0.6/14)
		shares := map[Image]float64{}
		if own < 0.5 {
			// The simulated scheduler places best-effort work while the load is low.
			shares["heavy"] = 0.1 * float64(rng.IntN(2))
			shares["light"] = 0.1 * float64(rng.IntN(4))
		}
		utilisation := m.Utilisation("web", tailLatency(own, shares))
		if step > 0 {
			var changes []ImageShare
			for image := range trueCoefficients {
				if d := shares[image] - beforeShares[image]; d != 0 {
					changes = append(changes, ImageShare{Image: image, Share: d})
				}
			}
			m.Observe("web", utilisation-before, changes)
		}
		before, beforeShares = utilisation, shares
		if step%2 == 0 {
			m.Refit()
		}
	}
	light, heavy := m.Coefficient("light", "web"), m.Coefficient("heavy", "web")
	if math.Abs(light-trueCoefficients["light"]) > 0.25 || math.Abs(heavy-trueCoefficients["heavy"]) > 0.5 {
		t.Fatalf("learnt coefficients %.2f and %.2f, want about %.2f and %.2f", light, heavy, trueCoefficients["light"], trueCoefficients["heavy"])
	}
}

// TestModelWithoutObservationsReturnsThePrior guards against assuming no interference for images that were never observed,
// and against a division by zero while the base latency is unknown.
func TestModelWithoutObservationsReturnsThePrior(t *testing.T) {
	c := DefaultConfig()
	m := New(c)
	m.Refit()
	if got := m.Coefficient("a", "b"); got != c.Prior {
		t.Errorf("coefficient: got %v, want the prior %v", got, c.Prior)
	}
	if got := m.UtilisationLimit("b", time.Second); got != c.DefaultLimit {
		t.Errorf("utilisation limit: got %v, want %v", got, c.DefaultLimit)
	}
	if got := m.Utilisation("b", 0); got != 0 {
		t.Errorf("utilisation of a task without a tail latency: got %v, want 0", got)
	}
}

// TestModelBoundsBestEffortImages guards against memory that grows without bound with the number of best-effort images.
func TestModelBoundsBestEffortImages(t *testing.T) {
	c := DefaultConfig()
	m := New(c)
	for i := range 3 * c.MaxImages {
		m.Observe("web", 0.1, []ImageShare{{Image: Image(rune('a' + i)), Share: 0.1}})
	}
	if n := len(m.serving["web"].products); n > c.MaxImages {
		t.Errorf("best-effort images kept: got %d, want at most %d", n, c.MaxImages)
	}
}

// TestRestoredModelKeepsCoefficientsAndKeepsLearning guards against a new owner that starts without the learned
// coefficients, or whose restored coefficients have so much weight that they no longer change.
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
		t.Errorf("coefficient after the restore: got %.2f, want about %.2f", got, want)
	}
	for range 1000 {
		next.Observe("web", 0.01, []ImageShare{{Image: "heavy", Share: 0.1}})
	}
	next.Refit()
	if got := next.Coefficient("heavy", "web"); got > 0.5 {
		t.Errorf("coefficient after 1000 observations of 0.1: got %.2f, want at most 0.5", got)
	}
	s.Serving["web"] = ServingSnapshot{BaselineUtilisation: 7}
	if len(s.Check()) == 0 {
		t.Error("snapshot with a baseline utilisation of 7 was accepted")
	}
}
