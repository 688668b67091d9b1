package medlarupstream

import (
	"slices"
	"time"

	"medlarwheel"
)

// limiterWindow is the number of latencies in one window. The limit depends on their median, so it falls only if half of the
// latencies are high.
const limiterWindow = 32

// ConcurrencyLimiterConfig holds the settings of a ConcurrencyLimiter.
type ConcurrencyLimiterConfig struct {
	// Tolerance is the ratio of median latency to baseline up to which the latency counts as normal.
	Tolerance float64
	// MinFactor is the lowest factor by which one window can reduce the limit.
	MinFactor float64
	// BaselineDrift is the relative growth of the baseline for each window above the tolerance, so that a permanent change of
	// latency eventually counts as normal.
	BaselineDrift float64
	// RecoveryInterval is the time without a full window after which the limit grows by one. Without it, an instance whose
	// slots are all above the limit would get no latencies that could raise the limit again.
	RecoveryInterval time.Duration
}

// DefaultConcurrencyLimiterConfig returns the default settings. With a window of 16, a tolerance of 1.5 and a baseline that
// followed the lowest medians, the variance of exponential service times alone caused 15% of the requests to be rejected at
// 30% load.
func DefaultConcurrencyLimiterConfig() ConcurrencyLimiterConfig {
	return ConcurrencyLimiterConfig{Tolerance: 2, MinFactor: 0.5, BaselineDrift: 0.005, RecoveryInterval: 2 * time.Second}
}

// ConcurrencyLimiter is a gradient limiter: it adapts the number of concurrent requests to one upstream to its latency. The
// limit grows by one per window while the median stays within the tolerance of the baseline, and otherwise shrinks by the
// ratio of the two.
type ConcurrencyLimiter struct {
	config   ConcurrencyLimiterConfig
	slots    float64
	limit    float64
	baseline float64
	window   [limiterWindow]float64
	samples  int
	// loadedSamples is the number of samples in the window that were taken while most slots were in use.
	loadedSamples int
	changedAt     time.Time
}

// NewConcurrencyLimiter returns a ConcurrencyLimiter whose limit starts at slots, which is also its maximum.
func NewConcurrencyLimiter(c ConcurrencyLimiterConfig, slots medlarwheel.Slots) ConcurrencyLimiter {
	return ConcurrencyLimiter{config: c, slots: float64(slots), limit: float64(slots)}
}

// Limit returns the current limit, from 1 to the slots of the upstream.
func (l *ConcurrencyLimiter) Limit() medlarwheel.Slots { return medlarwheel.Slots(l.limit) }

// Observe records the latency of a complete response. expected is the usual latency of the request's template, so that a
// change in the mix of templates does not look like a change of the upstream; it is zero when all requests are alike. loaded
// reports that most usable slots were in use. When few requests are in flight, high latency is not caused by concurrency, and
// a lower limit would not reduce it.
func (l *ConcurrencyLimiter) Observe(now time.Time, latency, expected time.Duration, loaded bool) {
	sample := latency.Seconds()
	if expected > 0 {
		sample /= expected.Seconds()
	}
	l.window[l.samples] = sample
	l.samples++
	if loaded {
		l.loadedSamples++
	}
	if l.samples < len(l.window) {
		return
	}
	mayReduce := 2*l.loadedSamples > len(l.window)
	l.samples, l.loadedSamples = 0, 0
	l.changedAt = now
	slices.Sort(l.window[:])
	l.adapt(l.window[len(l.window)/2], mayReduce)
}

// adapt updates limit and baseline with the median of one window. mayReduce allows it to lower the limit.
func (l *ConcurrencyLimiter) adapt(median float64, mayReduce bool) {
	const smoothing = 16
	if l.baseline == 0 {
		l.baseline = median
	}
	if ratio := l.config.Tolerance * l.baseline / max(median, 1e-9); ratio < 1 {
		if mayReduce {
			l.limit = max(1, l.limit*max(ratio, l.config.MinFactor))
		}
		l.baseline *= 1 + l.config.BaselineDrift
	} else {
		l.limit = min(l.slots, l.limit+1)
		l.baseline += (median - l.baseline) / smoothing
	}
}

// Recover raises the limit by one after RecoveryInterval without a full window. It reports whether the limit is still below
// the slots.
func (l *ConcurrencyLimiter) Recover(now time.Time) bool {
	if l.limit < l.slots && now.Sub(l.changedAt) >= l.config.RecoveryInterval {
		l.changedAt = now
		l.limit = min(l.slots, l.limit+1)
	}
	return l.limit < l.slots
}
