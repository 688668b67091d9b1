package medlarinterference

import (
	"math"
	"time"
)

// TrendConfig configures a Trend.
type TrendConfig struct {
	// TimeConstant is the time constant of the exponential decay of observations.
	TimeConstant time.Duration
	// MaxInnovation bounds by how much one observation may differ from the expected value, so that a task with a load of
	// its own does not distort the trend of all others.
	MaxInnovation float64
	// SlopePriorWeight is the weight of the prior that the value does not change, in observations one second away.
	SlopePriorWeight float64
	// MaxSlope bounds the slope, as a change per second.
	MaxSlope float64
}

// DefaultTrendConfig returns the configuration for loads that change over several seconds and are reported about twice a
// second by each of several tasks.
func DefaultTrendConfig() TrendConfig {
	return TrendConfig{TimeConstant: time.Second, MaxInnovation: 0.08, SlopePriorWeight: 0.3, MaxSlope: 0.12}
}

// minRobustObservations is the weight of the observations from which on an outlier can be told from the trend.
const minRobustObservations = 3

// Trend estimates the value and the slope of a quantity from noisy observations, by linear regression with exponentially
// decaying weights. The zero value has no observations.
type Trend struct {
	at time.Time
	// count, times, squares, values and products are the weighted sums of the observations. Times are in seconds relative
	// to at.
	count, times, squares, values, products float64
}

// Observe adds an observation. Observations may be slightly out of order.
func (t *Trend) Observe(c *TrendConfig, at time.Time, value float64) {
	if t.count >= minRobustObservations {
		expected := t.At(c, at)
		value = min(max(value, expected-c.MaxInnovation), expected+c.MaxInnovation)
	}
	if at.After(t.at) {
		t.advance(c, at)
	}
	x := at.Sub(t.at).Seconds()
	t.count++
	t.times += x
	t.squares += x * x
	t.values += value
	t.products += x * value
}

// advance moves the origin of time and decays the earlier observations.
func (t *Trend) advance(c *TrendConfig, at time.Time) {
	if t.at.IsZero() {
		t.at = at
		return
	}
	elapsed := at.Sub(t.at).Seconds()
	t.at = at
	t.squares += elapsed * (elapsed*t.count - 2*t.times)
	t.times -= elapsed * t.count
	t.products -= elapsed * t.values
	weight := math.Exp(-elapsed / c.TimeConstant.Seconds())
	t.count *= weight
	t.times *= weight
	t.squares *= weight
	t.values *= weight
	t.products *= weight
}

// HasObservations reports whether the trend can be evaluated.
func (t *Trend) HasObservations() bool { return t.count > 0 }

// Slope returns the change per second.
func (t *Trend) Slope(c *TrendConfig) float64 {
	if t.count <= 0 {
		return 0
	}
	variance := t.squares - t.times*t.times/t.count
	covariance := t.products - t.times*t.values/t.count
	return min(max(covariance/(variance+c.SlopePriorWeight), -c.MaxSlope), c.MaxSlope)
}

// At returns the expected value at a point in time. It is zero without observations.
func (t *Trend) At(c *TrendConfig, at time.Time) float64 {
	if t.count <= 0 {
		return 0
	}
	return t.values/t.count + t.Slope(c)*(at.Sub(t.at).Seconds()-t.times/t.count)
}
