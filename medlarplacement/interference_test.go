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

func effect(estimator Estimator, victim, aggressor int, load float64) float64 {
	return estimator.Effect(estimator.TemplateIDOf(name("v", victim)), estimator.TemplateIDOf(name("a", aggressor)), load)
}

// trueEffects holds the true slowdown of each pair of templates, which the model has to learn. It grows with load.
type trueEffects [][]float64

func (e trueEffects) effect(victim, aggressor int, load float64) float64 {
	return e[victim][aggressor] * (0.3 + load*load)
}

func newTrueEffects(random *rand.Rand, victims, aggressors int) trueEffects {
	effects := make(trueEffects, victims)
	for v := range effects {
		effects[v] = make([]float64, aggressors)
		for a := range effects[v] {
			effects[v][a] = 0.02 * random.Float64()
			if random.IntN(6) == 0 {
				effects[v][a] = 0.1 + 0.4*random.Float64()
			}
		}
	}
	return effects
}

func name(prefix string, i int) medlarwheel.TemplateName {
	return medlarwheel.TemplateName(fmt.Sprint(prefix, i))
}

// trainModel passes noisy observations of random groups of six aggressors to the model. High load alone slows down
// victims too.
func trainModel(model *InterferenceModel, random *rand.Rand, effects trueEffects, samples int) {
	for i := range samples {
		now := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
		o := Observation{Worker: "w", Sequence: uint64(i + 1), At: now.Add(-20 * time.Second), Load: random.Float64()}
		victim, total := random.IntN(len(effects)), 0.1*random.NormFloat64()+max(0, o.Load-0.5)
		for range 6 {
			a := random.IntN(len(effects[victim]))
			total += effects.effect(victim, a, o.Load)
			o.Aggressors = append(o.Aggressors, TemplateCount{Template: name("a", a), Count: 1})
		}
		o.Victim, o.Slowdown = name("v", victim), math.Exp(total)
		model.Learn(now, o)
	}
}

// rootMeanSquareError returns the error of the estimates over all pairs at three loads.
func rootMeanSquareError(model *InterferenceModel, effects trueEffects) float64 {
	sum, count := 0.0, 0.0
	for v := range effects {
		for a := range effects[v] {
			for _, load := range []float64{0.5, 0.7, 0.9} {
				difference := effect(model, v, a, load) - effects.effect(v, a, load)
				sum, count = sum+difference*difference, count+1
			}
		}
	}
	return math.Sqrt(sum / count)
}

// Guards against estimates that do not converge to the true effect of each pair, with several hundred templates and
// late, noisy measurements of several aggressors at once.
func TestInterferenceModelConvergesToTrueEffects(t *testing.T) {
	const victims, aggressors, perPair = 15, 250, 200
	check := func(tb testing.TB, config InterferenceModelConfig) {
		random := rand.New(rand.NewPCG(31, 1))
		effects := newTrueEffects(random, victims, aggressors)
		model := NewInterferenceModel(config)
		before := rootMeanSquareError(model, effects)
		trainModel(model, random, effects, victims*aggressors*perPair/6)
		after := rootMeanSquareError(model, effects)
		tb.Logf("seed 31: root mean square error %.3f before and %.3f after %d samples for each pair", before, after, perPair)
		if after > before/4 {
			tb.Fatalf("the root mean square error fell from %.3f to %.3f, want at most %.3f", before, after, before/4)
		}
	}
	check(t, DefaultInterferenceModelConfig())
	mustDetect(t, "capacity for a quarter of the pairs", func(tb testing.TB) {
		config := DefaultInterferenceModelConfig()
		config.MaxPairs = victims * aggressors / 4
		check(tb, config)
	})
}

// Guards against placements that change because of a single outlier: as the first sample of a pair it must leave the
// estimate near the prior, and after valid samples it must hardly change the estimate.
func TestInterferenceModelLimitsEffectOfOutlier(t *testing.T) {
	check := func(tb testing.TB, config InterferenceModelConfig) {
		random := rand.New(rand.NewPCG(32, 1))
		effects := newTrueEffects(random, 3, 10)
		outlier := Observation{Worker: "w", Sequence: 1, At: epoch, Load: 0.7, Victim: "v0", Slowdown: 1e9,
			Aggressors: []TemplateCount{{Template: "a0", Count: 1}}}
		first := NewInterferenceModel(config)
		first.Learn(epoch, outlier)
		if moved := math.Exp(effect(first, 0, 0, 0.7)); moved > 1.25 {
			tb.Fatalf("an outlier as the first sample gives a slowdown of %.2f, want at most 1.25", moved)
		}
		model := NewInterferenceModel(config)
		trainModel(model, random, effects, 3000)
		before := effect(model, 0, 0, 0.7)
		outlier.Sequence = 1e6
		model.Learn(epoch.Add(time.Minute), outlier)
		if moved := math.Abs(effect(model, 0, 0, 0.7) - before); moved > 0.05 {
			tb.Fatalf("an outlier moves a trained estimate by %.3f, want at most 0.05", moved)
		}
	}
	check(t, DefaultInterferenceModelConfig())
	mustDetect(t, "outliers are not clipped", func(tb testing.TB) {
		config := DefaultInterferenceModelConfig()
		config.ClipDeviations, config.MaxSlowdown = 1e9, 1e12
		check(tb, config)
	})
}

// Guards against repeated, reordered and old observations that change estimates, and against more pairs than MaxPairs.
// A worker that sends a report again, or reports that overtake each other, would otherwise weigh twice.
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
			old := sent[0]
			old.Sequence = 1000
			dirty.Learn(epoch.Add(config.MaxAge+time.Second), old)
			if dirty.Pairs() > config.MaxPairs {
				rt.Fatalf("the model holds %d pairs, want at most %d", dirty.Pairs(), config.MaxPairs)
			}
			for v := range 4 {
				for a := range 6 {
					x, y := effect(clean, v, a, 0.5), effect(dirty, v, a, 0.5)
					if x != y {
						rt.Fatalf("the effect of a%d on v%d is %v, want %v as without the repeated and reordered observations", a, v, y, x)
					}
				}
			}
		})
	}
	check(t, false)
	mustDetect(t, "sequence numbers are ignored", func(tb testing.TB) { check(tb, true) })
}

// Guards against a new pair that starts at the configured prior although its aggressor has slowed down all other
// victims.
func TestInterferenceModelStartsNewPairAtAggressorEstimate(t *testing.T) {
	model := NewInterferenceModel(DefaultInterferenceModelConfig())
	for i := range 200 {
		model.Learn(epoch, Observation{Worker: "w", Sequence: uint64(i + 1), At: epoch, Load: 0.7, Victim: name("v", i%20),
			Slowdown: []float64{1.6, 1}[i/20%2], Aggressors: []TemplateCount{{Template: name("a", i/20%2), Count: 1}}})
	}
	noisy, quiet := effect(model, 99, 0, 0.7), effect(model, 99, 1, 0.7)
	if noisy < 0.15 || quiet > 0.05 {
		t.Fatalf("the effect on a new victim is %.3f by the noisy aggressor and %.3f by the quiet one, want at least 0.15 and at most 0.05", noisy, quiet)
	}
}

// Guards against the eviction of an entry that was used recently.
func TestLRUEvictsLeastRecentlyUsed(t *testing.T) {
	l := newLRU[int, int](2)
	for _, key := range []int{1, 2, 1, 3} {
		l.getOrCreate(key)
	}
	if l.peek(1) == nil || l.peek(2) != nil || l.peek(3) == nil || l.len() != 2 {
		t.Fatalf("got entries %v, want those of the keys 1 and 3", l.entries)
	}
}
