package medlarplacement

import (
	"math"
	"time"

	"medlarwheel"
)

// InterferenceConfig holds the settings of an Interference. Slowdowns are in logarithms unless stated otherwise.
type InterferenceConfig struct {
	// PriorMean is the slowdown by one task of an unknown pair.
	PriorMean float64
	// PriorDeviation is the standard deviation of the truth around the prior. A smaller one makes few samples count less.
	PriorDeviation float64
	// NoiseDeviation is the standard deviation of a measurement.
	NoiseDeviation float64
	// GeneralNoise multiplies the noise when the estimate for an aggressor over all its victims is updated, because
	// victims differ from each other.
	GeneralNoise float64
	// ClipDeviations bounds the surprise of one sample in standard deviations.
	ClipDeviations float64
	// DriftDeviation is the standard deviation that the truth moves by in one hour.
	DriftDeviation float64
	// MaxSlowdown bounds an estimate (a factor).
	MaxSlowdown float64
	// MaxAge is the age from which a measurement is ignored.
	MaxAge time.Duration
	// MaxPairs bounds the pairs of templates. The least recently used pair goes back to its prior.
	MaxPairs int
	// MaxSources bounds the workers whose sequence numbers are remembered.
	MaxSources int
}

// DefaultInterferenceConfig returns settings for several hundred templates: 32,768 pairs take 4.3 MB.
func DefaultInterferenceConfig() InterferenceConfig {
	return InterferenceConfig{
		PriorMean: 0.02, PriorDeviation: 0.15, NoiseDeviation: 0.2, GeneralNoise: 4, ClipDeviations: 2,
		DriftDeviation: 0.05, MaxSlowdown: 10, MaxAge: 10 * time.Minute, MaxPairs: 32768, MaxSources: 8192,
	}
}

// Presence is a template with the number of its tasks on a worker.
type Presence struct {
	Template medlarwheel.TemplateName
	Count    int
}

// Observation is a late measurement of a task that shared a worker with others.
type Observation struct {
	Worker      medlarwheel.WorkerID
	Incarnation medlarwheel.Incarnation
	// Sequence grows with every observation from one incarnation of the worker.
	Sequence uint64
	// At is the time of the measurement, not of its arrival.
	At     time.Time
	Victim medlarwheel.TemplateName
	// Aggressors are the templates that ran beside the victim at the time of the measurement.
	Aggressors []Presence
	// Load is the share of the worker's processors in use.
	Load float64
	// Slowdown is the measured factor; 1 means undisturbed.
	Slowdown float64
}

// Verdict says what became of an observation.
type Verdict string

// The verdicts on an observation.
const (
	VerdictLearnt Verdict = "learnt"
	// VerdictRepeated is the verdict on an observation that is no newer than one already learnt from its worker.
	VerdictRepeated Verdict = "repeated"
	VerdictTooOld   Verdict = "too-old"
	VerdictInvalid  Verdict = "invalid"
)

// maxAggressors bounds the templates of one observation that are considered.
const maxAggressors = 64

// pairKey is a pair. No aggressor stands for what the victim suffers from load alone; no victim stands for the
// aggressor's effect on victims in general, which is the prior of its pairs.
type pairKey struct {
	victim, aggressor KindID
}

// Interference learns by how much one kind of task slows another. Estimates are kept per pair of templates and load
// level. The slowdown of a victim is modelled as the product of the slowdowns by each task beside it.
type Interference struct {
	kinds
	config  InterferenceConfig
	pairs   *lru[pairKey, levels]
	sources *lru[medlarwheel.WorkerID, version]
	terms   []term
}

// NewInterference returns an Interference that knows only the prior.
func NewInterference(config InterferenceConfig) *Interference {
	return &Interference{
		kinds:   newKinds(),
		config:  config,
		pairs:   newLRU[pairKey, levels](config.MaxPairs),
		sources: newLRU[medlarwheel.WorkerID, version](config.MaxSources),
	}
}

// Pairs returns the number of pairs with estimates.
func (f *Interference) Pairs() int { return f.pairs.len() }

// Learn corrects the estimates for one observation. Observations that are repeated, out of order, too old or invalid
// change nothing.
func (f *Interference) Learn(now time.Time, o Observation) Verdict {
	if o.Victim == "" || math.IsNaN(o.Slowdown) || o.Slowdown <= 0 || math.IsNaN(o.Load) || len(o.Aggressors) > maxAggressors {
		return VerdictInvalid
	}
	if now.Sub(o.At) > f.config.MaxAge {
		return VerdictTooOld
	}
	v := version{incarnation: o.Incarnation, sequence: o.Sequence}
	last, _ := f.sources.ensure(o.Worker)
	if !v.after(*last) {
		return VerdictRepeated
	}
	*last = v
	observed, at := math.Log(o.Slowdown), level(o.Load)
	// The pairs come first: a new pair starts at the general estimate before this observation.
	victim := f.KindOf(o.Victim)
	f.learn(now, &o, at, observed, victim, false)
	f.learn(now, &o, at, observed, victim, true)
	return VerdictLearnt
}

// learn updates the pairs of the observation, or the general estimates of its aggressors.
func (f *Interference) learn(now time.Time, o *Observation, at int, observed float64, victim KindID, general bool) {
	c := &f.config
	filter := filter{
		noise: c.NoiseDeviation * c.NoiseDeviation, clip: c.ClipDeviations, prior: c.PriorDeviation * c.PriorDeviation,
		drift: c.DriftDeviation * c.DriftDeviation, limit: math.Log(c.MaxSlowdown),
	}
	f.terms = append(f.terms[:0], term{estimate: f.estimate(pairKey{victim: victim}, at), weight: 1})
	alone := *f.terms[0].estimate
	if general {
		filter.noise *= c.GeneralNoise
		victim = kindNone
	}
	for _, a := range o.Aggressors {
		if a.Count > 0 && a.Template != "" {
			key := pairKey{victim: victim, aggressor: f.KindOf(a.Template)}
			f.terms = append(f.terms, term{estimate: f.estimate(key, at), weight: float64(a.Count)})
		}
	}
	filter.update(f.terms, observed, now)
	if general {
		// The effect of load alone was already corrected with the pairs.
		*f.terms[0].estimate = alone
	}
}

// estimate returns the estimate of a pair at a level. One without samples starts at the prior.
func (f *Interference) estimate(key pairKey, at int) *estimate {
	pair, _ := f.pairs.ensure(key)
	e := &pair[at]
	if !e.known() {
		mean := f.prior(key, pair, at)
		*e = estimate{mean: float32(mean), variance: float32(f.config.PriorDeviation * f.config.PriorDeviation)}
	}
	return e
}

// prior returns the mean to assume for a pair without samples at a level: that of the nearest level with samples, or
// that of the aggressor in general, or the configured one.
func (f *Interference) prior(key pairKey, pair *levels, at int) float64 {
	if pair != nil {
		if mean, known := pair.nearest(at); known {
			return mean
		}
	}
	if key.aggressor == kindNone {
		return 0
	}
	if general := f.pairs.peek(pairKey{aggressor: key.aggressor}); general != nil && key.victim != kindNone {
		if mean, known := general.nearest(at); known {
			return mean
		}
	}
	return f.config.PriorMean
}

// Effect returns the logarithm of the slowdown of the victim by one task of the aggressor at a load.
func (f *Interference) Effect(victim, aggressor KindID, load float64) float64 {
	key := pairKey{victim: victim, aggressor: aggressor}
	at := level(load)
	pair := f.pairs.peek(key)
	if pair != nil && pair[at].known() {
		return float64(pair[at].mean)
	}
	return f.prior(key, pair, at)
}
