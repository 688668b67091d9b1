package medlarplacement

import (
	"math"
	"time"

	"medlarwheel"
)

// InterferenceModelConfig holds the settings of an Interference. Slowdowns are in logarithms unless stated otherwise.
type InterferenceModelConfig struct {
	// PriorMean is the slowdown by one task of an unknown pair.
	PriorMean float64
	// PriorDeviation is the standard deviation of the truth around the prior. A smaller one makes few samples count less.
	PriorDeviation float64
	// NoiseDeviation is the standard deviation of a measurement.
	NoiseDeviation float64
	// AggressorNoiseFactor multiplies the noise when the estimate for an aggressor over all its victims is updated, because
	// victims differ from each other.
	AggressorNoiseFactor float64
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

// DefaultInterferenceModelConfig returns settings for several hundred templates: 32,768 pairs take 4.3 MB.
func DefaultInterferenceModelConfig() InterferenceModelConfig {
	return InterferenceModelConfig{
		PriorMean: 0.02, PriorDeviation: 0.15, NoiseDeviation: 0.2, AggressorNoiseFactor: 4, ClipDeviations: 2,
		DriftDeviation: 0.05, MaxSlowdown: 10, MaxAge: 10 * time.Minute, MaxPairs: 32768, MaxSources: 8192,
	}
}

// TemplateCount is a template with the number of its tasks on a worker.
type TemplateCount struct {
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
	Aggressors []TemplateCount
	// Load is the share of the worker's processors in use.
	Load float64
	// Slowdown is the measured factor; 1 means undisturbed.
	Slowdown float64
}

// LearnOutcome says what became of an observation.
type LearnOutcome string

// The verdicts on an observation.
const (
	OutcomeLearnt LearnOutcome = "learnt"
	// OutcomeRepeated is the verdict on an observation that is no newer than one already learnt from its worker.
	OutcomeRepeated LearnOutcome = "repeated"
	OutcomeTooOld   LearnOutcome = "too-old"
	OutcomeInvalid  LearnOutcome = "invalid"
)

// maxAggressors bounds the templates of one observation that are considered.
const maxAggressors = 64

// pairKey is a pair. No aggressor stands for what the victim suffers from load alone; no victim stands for the
// aggressor's effect on victims in general, which is the prior of its pairs.
type pairKey struct {
	victim, aggressor TemplateID
}

// InterferenceModel learns by how much one kind of task slows another. Estimates are kept per pair of templates and load
// level. The slowdown of a victim is modelled as the product of the slowdowns by each task beside it.
type InterferenceModel struct {
	templateIDs
	config   InterferenceModelConfig
	pairs    *lru[pairKey, levelEstimates]
	versions *lru[medlarwheel.WorkerID, measurementVersion]
	terms    []weightedEstimate
}

// NewInterferenceModel returns an Interference that knows only the prior.
func NewInterferenceModel(config InterferenceModelConfig) *InterferenceModel {
	return &InterferenceModel{
		templateIDs: newTemplateIDs(),
		config:      config,
		pairs:       newLRU[pairKey, levelEstimates](config.MaxPairs),
		versions:    newLRU[medlarwheel.WorkerID, measurementVersion](config.MaxSources),
	}
}

// Pairs returns the number of pairs with estimates.
func (f *InterferenceModel) Pairs() int { return f.pairs.len() }

// Learn corrects the estimates for one observation. Observations that are repeated, out of order, too old or invalid
// change nothing.
func (f *InterferenceModel) Learn(now time.Time, o Observation) LearnOutcome {
	if o.Victim == "" || math.IsNaN(o.Slowdown) || o.Slowdown <= 0 || math.IsNaN(o.Load) || len(o.Aggressors) > maxAggressors {
		return OutcomeInvalid
	}
	if now.Sub(o.At) > f.config.MaxAge {
		return OutcomeTooOld
	}
	v := measurementVersion{incarnation: o.Incarnation, sequence: o.Sequence}
	last, _ := f.versions.getOrCreate(o.Worker)
	if !v.after(*last) {
		return OutcomeRepeated
	}
	*last = v
	observed, at := math.Log(o.Slowdown), loadLevel(o.Load)
	// The pairs come first: a new pair starts at the general estimate before this observation.
	victim := f.TemplateIDOf(o.Victim)
	f.updateEstimates(now, &o, at, observed, victim, false)
	f.updateEstimates(now, &o, at, observed, victim, true)
	return OutcomeLearnt
}

// updateEstimates updates the pairs of the observation, or the general estimates of its aggressors.
func (f *InterferenceModel) updateEstimates(now time.Time, o *Observation, at int, observed float64, victim TemplateID, general bool) {
	c := &f.config
	filter := kalmanFilter{
		noiseVariance: c.NoiseDeviation * c.NoiseDeviation, clipDeviations: c.ClipDeviations, priorVariance: c.PriorDeviation * c.PriorDeviation,
		driftVariance: c.DriftDeviation * c.DriftDeviation, maxMean: math.Log(c.MaxSlowdown),
	}
	f.terms = append(f.terms[:0], weightedEstimate{estimate: f.estimate(pairKey{victim: victim}, at), weight: 1})
	alone := *f.terms[0].estimate
	if general {
		filter.noiseVariance *= c.AggressorNoiseFactor
		victim = noTemplate
	}
	for _, a := range o.Aggressors {
		if a.Count > 0 && a.Template != "" {
			key := pairKey{victim: victim, aggressor: f.TemplateIDOf(a.Template)}
			f.terms = append(f.terms, weightedEstimate{estimate: f.estimate(key, at), weight: float64(a.Count)})
		}
	}
	filter.update(f.terms, observed, now)
	if general {
		// The effect of load alone was already corrected with the pairs.
		*f.terms[0].estimate = alone
	}
}

// estimate returns the estimate of a pair at a level. One without samples starts at the prior.
func (f *InterferenceModel) estimate(key pairKey, at int) *estimate {
	pair, _ := f.pairs.getOrCreate(key)
	e := &pair[at]
	if !e.known() {
		mean := f.prior(key, pair, at)
		*e = estimate{mean: float32(mean), variance: float32(f.config.PriorDeviation * f.config.PriorDeviation)}
	}
	return e
}

// prior returns the mean to assume for a pair without samples at a level: that of the nearest level with samples, or
// that of the aggressor in general, or the configured one.
func (f *InterferenceModel) prior(key pairKey, pair *levelEstimates, at int) float64 {
	if pair != nil {
		if mean, known := pair.nearest(at); known {
			return mean
		}
	}
	if key.aggressor == noTemplate {
		return 0
	}
	if general := f.pairs.peek(pairKey{aggressor: key.aggressor}); general != nil && key.victim != noTemplate {
		if mean, known := general.nearest(at); known {
			return mean
		}
	}
	return f.config.PriorMean
}

// Effect returns the logarithm of the slowdown of the victim by one task of the aggressor at a load.
func (f *InterferenceModel) Effect(victim, aggressor TemplateID, load float64) float64 {
	key := pairKey{victim: victim, aggressor: aggressor}
	at := loadLevel(load)
	pair := f.pairs.peek(key)
	if pair != nil && pair[at].known() {
		return float64(pair[at].mean)
	}
	return f.prior(key, pair, at)
}
