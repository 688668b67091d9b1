package medlarplacement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwheel"
)

func effect(f Estimator, victim, aggressor int, load float64) float64 {
	return f.Effect(f.TemplateIDOf(name("v", victim)), f.TemplateIDOf(name("a", aggressor)), load)
}

// trueEffects is a slowdown per pair of templates that grows with load.
type trueEffects [][]float64

func (h trueEffects) effect(victim, aggressor int, load float64) float64 {
	return h[victim][aggressor] * (0.3 + load*load)
}

func newTrueEffects(random *rand.Rand, victims, aggressors int) trueEffects {
	h := make(trueEffects, victims)
	for v := range h {
		h[v] = make([]float64, aggressors)
		for a := range h[v] {
			h[v][a] = 0.02 * random.Float64()
			if random.IntN(6) == 0 {
				h[v][a] = 0.1 + 0.4*random.Float64()
			}
		}
	}
	return h
}

func name(prefix string, i int) medlarwheel.TemplateName {
	return medlarwheel.TemplateName(fmt.Sprint(prefix, i))
}

// trainModel sends noisy observations of random groups of six aggressors. High load slows victims down by itself.
func trainModel(f *InterferenceModel, random *rand.Rand, h trueEffects, samples int) {
	for i := range samples {
		now := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
		o := Observation{Worker: "w", Sequence: uint64(i + 1), At: now.Add(-20 * time.Second), Load: random.Float64()}
		victim, total := random.IntN(len(h)), 0.1*random.NormFloat64()+max(0, o.Load-0.5)
		for range 6 {
			a := random.IntN(len(h[victim]))
			total += h.effect(victim, a, o.Load)
			o.Aggressors = append(o.Aggressors, TemplateCount{Template: name("a", a), Count: 1})
		}
		o.Victim, o.Slowdown = name("v", victim), math.Exp(total)
		f.Learn(now, o)
	}
}

// rootMeanSquareError returns the error over all pairs at three loads.
func rootMeanSquareError(f *InterferenceModel, h trueEffects) float64 {
	sum, count := 0.0, 0.0
	for v := range h {
		for a := range h[v] {
			for _, load := range []float64{0.5, 0.7, 0.9} {
				difference := effect(f, v, a, load) - h.effect(v, a, load)
				sum, count = sum+difference*difference, count+1
			}
		}
	}
	return math.Sqrt(sum / count)
}

// Guards against estimates that do not approach the truth of each pair, with 300 templates and late, noisy measurements
// of several aggressors at once.
func TestInterferenceModelConvergesToTrueEffects(t *testing.T) {
	const victims, aggressors, perPair = 15, 250, 200
	check := func(tb testing.TB, config InterferenceModelConfig) {
		random := rand.New(rand.NewPCG(31, 1))
		h := newTrueEffects(random, victims, aggressors)
		f := NewInterferenceModel(config)
		before := rootMeanSquareError(f, h)
		trainModel(f, random, h, victims*aggressors*perPair/6)
		after := rootMeanSquareError(f, h)
		tb.Logf("seed 31: error %.3f before and %.3f after %d samples for each pair", before, after, perPair)
		if after > before/4 {
			tb.Fatalf("the error fell from %.3f to %.3f only", before, after)
		}
	}
	check(t, DefaultInterferenceModelConfig())
	mustDetect(t, "memory for a quarter of the pairs", func(tb testing.TB) {
		config := DefaultInterferenceModelConfig()
		config.MaxPairs = victims * aggressors / 4
		check(tb, config)
	})
}

// Guards against one absurd measurement that changes placements: as the first of a pair it must leave the estimate near
// the prior, and after good ones it must not matter.
func TestInterferenceModelLimitsEffectOfOutlier(t *testing.T) {
	check := func(tb testing.TB, config InterferenceModelConfig) {
		random := rand.New(rand.NewPCG(32, 1))
		h := newTrueEffects(random, 3, 10)
		absurd := Observation{Worker: "w", Sequence: 1, At: epoch, Load: 0.7, Victim: "v0", Slowdown: 1e9,
			Aggressors: []TemplateCount{{Template: "a0", Count: 1}}}
		first := NewInterferenceModel(config)
		first.Learn(epoch, absurd)
		if moved := math.Exp(effect(first, 0, 0, 0.7)); moved > 1.25 {
			tb.Fatalf("one absurd first sample gives a slowdown of %.2f", moved)
		}
		f := NewInterferenceModel(config)
		trainModel(f, random, h, 3000)
		before := effect(f, 0, 0, 0.7)
		absurd.Sequence = 1e6
		f.Learn(epoch.Add(time.Minute), absurd)
		if moved := math.Abs(effect(f, 0, 0, 0.7) - before); moved > 0.05 {
			tb.Fatalf("one absurd sample moves the estimate by %.3f", moved)
		}
	}
	check(t, DefaultInterferenceModelConfig())
	mustDetect(t, "outliers are not clipped", func(tb testing.TB) {
		config := DefaultInterferenceModelConfig()
		config.ClipDeviations, config.MaxSlowdown = 1e9, 1e12
		check(tb, config)
	})
}

// Guards against repeated and reordered measurements that count, and against memory beyond the bounds.
func TestInterferenceModelIgnoresRepeatedAndReorderedObservations(t *testing.T) {
	check := func(tb testing.TB, renumber bool) {
		rapid.Check(tb, func(rt *rapid.T) {
			config := DefaultInterferenceModelConfig()
			config.MaxPairs, config.MaxSources = 12, 4
			clean, dirty := NewInterferenceModel(config), NewInterferenceModel(config)
			number := uint64(0)
			learn := func(o Observation) {
				if number++; renumber {
					o.Sequence = number
				}
				dirty.Learn(epoch, o)
			}
			var sent []Observation
			for i := range rapid.IntRange(1, 40).Draw(rt, "samples") {
				o := Observation{
					Worker: "w", Sequence: uint64(i + 1), At: epoch, Victim: name("v", rapid.IntRange(0, 3).Draw(rt, "victim")),
					Load: rapid.Float64Range(0, 1).Draw(rt, "load"), Slowdown: rapid.Float64Range(0.5, 4).Draw(rt, "slowdown"),
					Aggressors: []TemplateCount{{Template: name("a", rapid.IntRange(0, 5).Draw(rt, "aggressor")), Count: 1}},
				}
				sent = append(sent, o)
				clean.Learn(epoch, o)
				learn(o)
				for range rapid.IntRange(0, 2).Draw(rt, "repeats") {
					learn(sent[rapid.IntRange(0, i).Draw(rt, "which")])
				}
			}
			late := sent[0]
			late.Sequence = 1000
			dirty.Learn(epoch.Add(config.MaxAge+time.Second), late)
			if dirty.Pairs() > config.MaxPairs {
				rt.Fatalf("%d pairs are kept", dirty.Pairs())
			}
			for v := range 4 {
				for a := range 6 {
					x, y := effect(clean, v, a, 0.5), effect(dirty, v, a, 0.5)
					if x != y {
						rt.Fatalf("estimate of v%d by a%d is %v, want %v", v, a, y, x)
					}
				}
			}
		})
	}
	check(t, false)
	mustDetect(t, "sequence numbers are ignored", func(tb testing.TB) { check(tb, true) })
}

// Guards against a new pair that starts at the configured prior although its aggressor has slowed down all others.
func TestInterferenceModelStartsNewPairAtAggressorEstimate(t *testing.T) {
	f := NewInterferenceModel(DefaultInterferenceModelConfig())
	for i := range 200 {
		f.Learn(epoch, Observation{Worker: "w", Sequence: uint64(i + 1), At: epoch, Load: 0.7, Victim: name("v", i%20),
			Slowdown: []float64{1.6, 1}[i/20%2], Aggressors: []TemplateCount{{Template: name("a", i/20%2), Count: 1}}})
	}
	noisy, quiet := effect(f, 99, 0, 0.7), effect(f, 99, 1, 0.7)
	if noisy < 0.15 || quiet > 0.05 {
		t.Fatalf("a new victim expects %.3f of the noisy and %.3f of the quiet aggressor", noisy, quiet)
	}
}

// Guards against memory that drops the pairs in use.
func TestLRUEvictsLeastRecentlyUsed(t *testing.T) {
	l := newLRU[int, int](2)
	for _, key := range []int{1, 2, 1, 3} {
		l.getOrCreate(key)
	}
	if l.peek(1) == nil || l.peek(2) != nil || l.peek(3) == nil || l.len() != 2 {
		t.Fatalf("kept %v", l.entries)
	}
}
