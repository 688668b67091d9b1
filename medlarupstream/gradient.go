package medlarupstream

import (
	"slices"
	"time"

	"medlarwheel"
)

// gradientWindow is the number of latencies whose median is one sample. Half of them must be slow to lower the limit.
const gradientWindow = 32

// GradientConfig holds the settings of a Gradient.
type GradientConfig struct {
	// Tolerance is the growth of the median latency over the baseline that counts as normal.
	Tolerance float64
	// MaxCut is the lowest factor by which one window can change the limit.
	MaxCut float64
	// Drift is the growth of the baseline with each window above the tolerance, so that a lasting change becomes normal.
	Drift float64
	// RecoverAfter is the time without a full window after which the limit grows by one. An instance whose slots are all
	// above the limit sees no latencies that could raise it.
	RecoverAfter time.Duration
}

// DefaultGradientConfig returns the default settings. With a window of 16, a tolerance of 1.5 and a baseline that followed
// the lowest medians, the noise of exponential service times alone turned 15% of the requests away at 30% load.
func DefaultGradientConfig() GradientConfig {
	return GradientConfig{Tolerance: 2, MaxCut: 0.5, Drift: 0.005, RecoverAfter: 2 * time.Second}
}

// Gradient adapts the concurrency of one upstream to its latency: additive growth while the median stays near the
// baseline, a cut in proportion when it grows.
type Gradient struct {
	config   GradientConfig
	slots    float64
	limit    float64
	baseline float64
	window   [gradientWindow]float64
	filled   int
	// loaded counts the samples of the window that were taken while most slots were in use.
	loaded  int
	changed time.Time
}

// NewGradient returns a Gradient whose limit is slots.
func NewGradient(c GradientConfig, slots medlarwheel.Slots) Gradient {
	return Gradient{config: c, slots: float64(slots), limit: float64(slots)}
}

// Limit returns the limit, from 1 to the slots of the upstream.
func (g *Gradient) Limit() medlarwheel.Slots { return medlarwheel.Slots(g.limit) }

// Observe adds the latency of a complete answer. expected is the usual latency of the request's template, so that a
// change in the mix of templates does not look like a change of the upstream; zero when all requests are alike. loaded
// tells that most usable slots were in use: slower answers to a few requests at a time have another cause than their
// number, and fewer slots would not mend it.
func (g *Gradient) Observe(now time.Time, latency, expected time.Duration, loaded bool) {
	sample := latency.Seconds()
	if expected > 0 {
		sample /= expected.Seconds()
	}
	g.window[g.filled] = sample
	g.filled++
	if loaded {
		g.loaded++
	}
	if g.filled < len(g.window) {
		return
	}
	mayCut := 2*g.loaded > len(g.window)
	g.filled, g.loaded = 0, 0
	g.changed = now
	slices.Sort(g.window[:])
	g.adapt(g.window[len(g.window)/2], mayCut)
}

// adapt applies one median. mayCut tells whether it may lower the limit.
func (g *Gradient) adapt(median float64, mayCut bool) {
	const smoothing = 16
	if g.baseline == 0 {
		g.baseline = median
	}
	if ratio := g.config.Tolerance * g.baseline / max(median, 1e-9); ratio < 1 {
		if mayCut {
			g.limit = max(1, g.limit*max(ratio, g.config.MaxCut))
		}
		g.baseline *= 1 + g.config.Drift
	} else {
		g.limit = min(g.slots, g.limit+1)
		g.baseline += (median - g.baseline) / smoothing
	}
}

// Recover raises the limit after a time without samples. It reports whether the limit is still below the slots.
func (g *Gradient) Recover(now time.Time) bool {
	if g.limit < g.slots && now.Sub(g.changed) >= g.config.RecoverAfter {
		g.changed = now
		g.limit = min(g.slots, g.limit+1)
	}
	return g.limit < g.slots
}
