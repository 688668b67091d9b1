package medlarupstream

import (
	"slices"
	"time"

	"medlarwheel"
)

// limiterWindow is the number of latencies whose median is one sample. Half of them must be slow to lower the limit.
const limiterWindow = 32

// ConcurrencyLimiterConfig holds the settings of a Gradient.
type ConcurrencyLimiterConfig struct {
	// Tolerance is the growth of the median latency over the baseline that counts as normal.
	Tolerance float64
	// MinFactor is the lowest factor by which one window can change the limit.
	MinFactor float64
	// BaselineDrift is the growth of the baseline with each window above the tolerance, so that a lasting change becomes normal.
	BaselineDrift float64
	// RecoveryInterval is the time without a full window after which the limit grows by one. An instance whose slots are all
	// above the limit sees no latencies that could raise it.
	RecoveryInterval time.Duration
}

// DefaultConcurrencyLimiterConfig returns the default settings. With a window of 16, a tolerance of 1.5 and a baseline that followed
// the lowest medians, the noise of exponential service times alone turned 15% of the requests away at 30% load.
func DefaultConcurrencyLimiterConfig() ConcurrencyLimiterConfig {
	return ConcurrencyLimiterConfig{Tolerance: 2, MinFactor: 0.5, BaselineDrift: 0.005, RecoveryInterval: 2 * time.Second}
}

// ConcurrencyLimiter adapts the concurrency of one upstream to its latency: additive growth while the median stays near the
// baseline, a cut in proportion when it grows.
type ConcurrencyLimiter struct {
	config   ConcurrencyLimiterConfig
	slots    float64
	limit    float64
	baseline float64
	window   [limiterWindow]float64
	samples  int
	// loadedSamples counts the samples of the window that were taken while most slots were in use.
	loadedSamples int
	changedAt     time.Time
}

// NewConcurrencyLimiter returns a Gradient whose limit is slots.
func NewConcurrencyLimiter(c ConcurrencyLimiterConfig, slots medlarwheel.Slots) ConcurrencyLimiter {
	return ConcurrencyLimiter{config: c, slots: float64(slots), limit: float64(slots)}
}

// Limit returns the limit, from 1 to the slots of the upstream.
func (g *ConcurrencyLimiter) Limit() medlarwheel.Slots { return medlarwheel.Slots(g.limit) }

// Observe adds the latency of a complete answer. expected is the usual latency of the request's template, so that a
// change in the mix of templates does not look like a change of the upstream; zero when all requests are alike. loaded
// tells that most usable slots were in use: slower answers to a few requests at a time have another cause than their
// number, and fewer slots would not mend it.
func (g *ConcurrencyLimiter) Observe(now time.Time, latency, expected time.Duration, loaded bool) {
	sample := latency.Seconds()
	if expected > 0 {
		sample /= expected.Seconds()
	}
	g.window[g.samples] = sample
	g.samples++
	if loaded {
		g.loadedSamples++
	}
	if g.samples < len(g.window) {
		return
	}
	mayCut := 2*g.loadedSamples > len(g.window)
	g.samples, g.loadedSamples = 0, 0
	g.changedAt = now
	slices.Sort(g.window[:])
	g.adapt(g.window[len(g.window)/2], mayCut)
}

// adapt applies one median. mayCut tells whether it may lower the limit.
func (g *ConcurrencyLimiter) adapt(median float64, mayCut bool) {
	const smoothing = 16
	if g.baseline == 0 {
		g.baseline = median
	}
	if ratio := g.config.Tolerance * g.baseline / max(median, 1e-9); ratio < 1 {
		if mayCut {
			g.limit = max(1, g.limit*max(ratio, g.config.MinFactor))
		}
		g.baseline *= 1 + g.config.BaselineDrift
	} else {
		g.limit = min(g.slots, g.limit+1)
		g.baseline += (median - g.baseline) / smoothing
	}
}

// Recover raises the limit after a time without samples. It reports whether the limit is still below the slots.
func (g *ConcurrencyLimiter) Recover(now time.Time) bool {
	if g.limit < g.slots && now.Sub(g.changedAt) >= g.config.RecoveryInterval {
		g.changedAt = now
		g.limit = min(g.slots, g.limit+1)
	}
	return g.limit < g.slots
}
