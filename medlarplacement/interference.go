package medlarplacement

import (
	"math"
	"time"

	"medlarwheel"
)

// InterferenceModelConfig holds the settings of an InterferenceModel. Slowdowns are logarithms unless stated otherwise.
type InterferenceModelConfig struct {
	// PriorMean is the expected slowdown by one task of an aggressor about which nothing is known.
	PriorMean float64
	// PriorDeviation is the standard deviation of true slowdowns around the prior. With a smaller one, an estimate with
	// few samples stays closer to the prior.
	PriorDeviation float64
	// NoiseDeviation is the standard deviation of a measurement.
	NoiseDeviation float64
	// AggressorNoiseFactor multiplies the noise variance in updates of the general estimate of an aggressor, which covers
	// all its victims, because victims differ from each other.
	AggressorNoiseFactor float64
	// ClipDeviations bounds the difference between one sample and its prediction, in standard deviations.
	ClipDeviations float64
	// DriftDeviation is the standard deviation of the change of a true slowdown in one hour.
	DriftDeviation float64
	// MaxSlowdown bounds an estimate. It is a factor.
	MaxSlowdown float64
	// MaxAge is the age beyond which a measurement is ignored.
	MaxAge time.Duration
	// MaxPairs bounds the pairs of templates with estimates. The least recently used pair is evicted, which resets it to
	// its prior.
	MaxPairs int
	// MaxSources bounds the workers whose last sequence numbers are stored.
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

// Observation is a measurement of a task that shared a worker with others. It may arrive late.
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
	// Load is the fraction of the worker's processors in use.
	Load float64
	// Slowdown is the measured factor; 1 means no interference.
	Slowdown float64
}

// LearnOutcome is the result of Learn: whether it applied an observation, or why it did not.
type LearnOutcome string

// The outcomes of Learn.
const (
	OutcomeLearnt LearnOutcome = "learnt"
	// OutcomeRepeated is for an observation that is not newer than the last one applied from its worker.
	OutcomeRepeated LearnOutcome = "repeated"
	OutcomeTooOld   LearnOutcome = "too-old"
	OutcomeInvalid  LearnOutcome = "invalid"
)

// maxAggressors bounds the templates in one observation. Observations with more are invalid.
const maxAggressors = 64

// pairKey identifies a pair of templates. Without an aggressor it stands for the slowdown of the victim by load alone;
// without a victim it stands for the general effect of the aggressor on all victims, which is the prior of its pairs.
type pairKey struct {
	victim, aggressor TemplateID
}

// InterferenceModel learns by how much tasks of one template slow down those of another. It keeps an estimate for each
// pair of templates and load level. The slowdown of a victim is modelled as the product of the slowdowns by each task
// beside it.
type InterferenceModel struct {
	templateIDs
	config   InterferenceModelConfig
	pairs    *lru[pairKey, levelEstimates]
	versions *lru[medlarwheel.WorkerID, measurementVersion]
	// terms is reused by every update.
	terms []weightedEstimate
}

// NewInterferenceModel returns a model without samples, which predicts the prior for every pair.
func NewInterferenceModel(config InterferenceModelConfig) *InterferenceModel {
	return &InterferenceModel{
		templateIDs: newTemplateIDs(),
		config:      config,
		pairs:       newLRU[pairKey, levelEstimates](config.MaxPairs),
		versions:    newLRU[medlarwheel.WorkerID, measurementVersion](config.MaxSources),
	}
}

// Pairs returns the number of pairs with estimates.
func (m *InterferenceModel) Pairs() int { return m.pairs.len() }

// Learn corrects the estimates by one observation. Observations that are repeated, out of order, too old or invalid
// change nothing.
func (m *InterferenceModel) Learn(now time.Time, o Observation) LearnOutcome {
	if o.Victim == "" || math.IsNaN(o.Slowdown) || o.Slowdown <= 0 || math.IsNaN(o.Load) || len(o.Aggressors) > maxAggressors {
		return OutcomeInvalid
	}
	if now.Sub(o.At) > m.config.MaxAge {
		return OutcomeTooOld
	}
	v := measurementVersion{incarnation: o.Incarnation, sequence: o.Sequence}
	last, _ := m.versions.getOrCreate(o.Worker)
	if !v.after(*last) {
		return OutcomeRepeated
	}
	*last = v
	observed, level := math.Log(o.Slowdown), loadLevel(o.Load)
	// The pairs are updated first, so that a new pair starts at the general estimate as it was before this observation.
	victim := m.TemplateIDOf(o.Victim)
	m.updateEstimates(now, &o, level, observed, victim, false)
	m.updateEstimates(now, &o, level, observed, victim, true)
	return OutcomeLearnt
}

// updateEstimates updates the estimates of the pairs of the observation, or the general estimates of its aggressors.
func (m *InterferenceModel) updateEstimates(
	now time.Time, o *Observation, level int, observed float64, victim TemplateID, general bool,
) {
	c := &m.config
	filter := kalmanFilter{
		noiseVariance: c.NoiseDeviation * c.NoiseDeviation, clipDeviations: c.ClipDeviations,
		priorVariance: c.PriorDeviation * c.PriorDeviation, driftVariance: c.DriftDeviation * c.DriftDeviation,
		maxMean: math.Log(c.MaxSlowdown),
	}
	m.terms = append(m.terms[:0], weightedEstimate{estimate: m.estimate(pairKey{victim: victim}, level), weight: 1})
	loadEffect := *m.terms[0].estimate
	if general {
		filter.noiseVariance *= c.AggressorNoiseFactor
		victim = noTemplate
	}
	for _, a := range o.Aggressors {
		if a.Count > 0 && a.Template != "" {
			key := pairKey{victim: victim, aggressor: m.TemplateIDOf(a.Template)}
			m.terms = append(m.terms, weightedEstimate{estimate: m.estimate(key, level), weight: float64(a.Count)})
		}
	}
	filter.update(m.terms, observed, now)
	if general {
		// The effect of load alone was corrected in the update of the pairs; a second correction would count it twice.
		*m.terms[0].estimate = loadEffect
	}
}

// estimate returns the estimate of a pair at a load level. An estimate without samples starts at the prior.
func (m *InterferenceModel) estimate(key pairKey, level int) *estimate {
	pair, _ := m.pairs.getOrCreate(key)
	e := &pair[level]
	if !e.known() {
		mean := m.prior(key, pair, level)
		*e = estimate{mean: float32(mean), variance: float32(m.config.PriorDeviation * m.config.PriorDeviation)}
	}
	return e
}

// prior returns the mean for a pair without samples at a load level: that of the nearest level with samples, else the
// general estimate of the aggressor, else the configured one. For the effect of load alone it is 0 without samples.
func (m *InterferenceModel) prior(key pairKey, pair *levelEstimates, level int) float64 {
	if pair != nil {
		if mean, known := pair.nearest(level); known {
			return mean
		}
	}
	if key.aggressor == noTemplate {
		return 0
	}
	if general := m.pairs.peek(pairKey{aggressor: key.aggressor}); general != nil && key.victim != noTemplate {
		if mean, known := general.nearest(level); known {
			return mean
		}
	}
	return m.config.PriorMean
}

// Effect returns the logarithm of the slowdown of the victim that one task of the aggressor causes at a load.
func (m *InterferenceModel) Effect(victim, aggressor TemplateID, load float64) float64 {
	key := pairKey{victim: victim, aggressor: aggressor}
	level := loadLevel(load)
	pair := m.pairs.peek(key)
	if pair != nil && pair[level].known() {
		return float64(pair[level].mean)
	}
	return m.prior(key, pair, level)
}
