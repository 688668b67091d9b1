// Package medlarforecast predicts run times from declared estimates and from the run times of earlier work of the same route.
//
// It answers a load whose estimates are far off: most of what an estimate says may be noise, so that the work of a route is
// better predicted by what its work has taken lately. The model is a line in logarithms for each route. It starts from the
// estimates themselves and leaves them as far as the observations show that they say little.
//
// # Usage
//
//	model := medlarforecast.New(medlarforecast.DefaultConfig())
//	model.Observe("nightly", estimate, mean, longest)
//	expected := model.Predict("nightly", estimate)
//	step := model.Longest("nightly", expected)
package medlarforecast

import (
	"math"
	"time"

	"medlarwheel"
)

// Config configures a model.
type Config struct {
	// PriorCount is the number of observations that the prior mean counts for, at which run times equal their estimates.
	PriorCount float64
	// PriorSquares is the sum of squares of logarithms that the prior slope of one counts for.
	PriorSquares float64
	// MaxObservations is the number of observations that are remembered. Older ones fade.
	MaxObservations float64
}

// DefaultConfig returns the configuration for routes with several submissions a second.
func DefaultConfig() Config { return Config{PriorCount: 2, PriorSquares: 3, MaxObservations: 300} }

// RegressionSums holds the weighted sums of the observations of one route: the logarithms of estimates and of run times in seconds.
type RegressionSums struct {
	Count              float64 `json:"count"`
	EstimateSum        float64 `json:"estimate"`
	RunTimeSum         float64 `json:"took"`
	EstimateSquaredSum float64 `json:"estimate-squared"`
	ProductSum         float64 `json:"product"`
	// LongestRatioSum sums the logarithms of the longest run times of a step against its mean.
	LongestRatioSum float64 `json:"longest"`
}

// Snapshot is what a model has learnt, in a form that the next owner of the cell can start from.
type Snapshot map[string]RegressionSums

// Check reports every fault of s.
func (s Snapshot) Check() medlarwheel.Faults {
	var faults medlarwheel.Faults
	for route, l := range s {
		sum := l.Count + l.EstimateSum + l.RunTimeSum + l.EstimateSquaredSum + l.ProductSum + l.LongestRatioSum
		if l.Count < 0 || l.EstimateSquaredSum < 0 || math.IsNaN(sum) || math.IsInf(sum, 0) {
			faults = faults.Add(route, l.Count, "finite sums, and a count and squares of 0 or more")
		}
	}
	return faults
}

// Model predicts run times.
type Model struct {
	config Config
	routes map[string]*RegressionSums
}

// New returns a model that trusts estimates.
func New(c Config) *Model { return &Model{config: c, routes: map[string]*RegressionSums{}} }

// Observe takes in the run times of the tasks of a step with an estimate: their mean and the longest.
func (m *Model) Observe(route string, estimate, mean, longest time.Duration) {
	if estimate <= 0 || mean <= 0 || longest < mean {
		return
	}
	l := m.routes[route]
	if l == nil {
		l = &RegressionSums{}
		m.routes[route] = l
	}
	x, y := math.Log(estimate.Seconds()), math.Log(mean.Seconds())
	l.Count++
	l.EstimateSum += x
	l.RunTimeSum += y
	l.EstimateSquaredSum += x * x
	l.ProductSum += x * y
	l.LongestRatioSum += math.Log(float64(longest) / float64(mean))
	if l.Count > m.config.MaxObservations {
		l.scale(m.config.MaxObservations / l.Count)
	}
}

func (l *RegressionSums) scale(factor float64) {
	l.Count *= factor
	l.EstimateSum *= factor
	l.RunTimeSum *= factor
	l.EstimateSquaredSum *= factor
	l.ProductSum *= factor
	l.LongestRatioSum *= factor
}

// Predict returns the mean run time that is expected of tasks with an estimate.
func (m *Model) Predict(route string, estimate time.Duration) time.Duration {
	l := m.routes[route]
	if l == nil || l.Count <= 0 || estimate <= 0 {
		return estimate
	}
	meanX, meanY := l.EstimateSum/l.Count, l.RunTimeSum/l.Count
	meanY = (l.Count*meanY + m.config.PriorCount*meanX) / (l.Count + m.config.PriorCount)
	squares := max(0, l.EstimateSquaredSum-l.Count*meanX*meanX)
	products := l.ProductSum - meanX*l.RunTimeSum
	slope := min(max(0, (products+m.config.PriorSquares)/(squares+m.config.PriorSquares)), 1)
	return time.Duration(math.Exp(meanY+slope*(math.Log(estimate.Seconds())-meanX)) * float64(time.Second))
}

// PredictLongest returns the run time that is expected of the longest task of a step, whose tasks take expected in the mean.
func (m *Model) PredictLongest(route string, expected time.Duration) time.Duration {
	l := m.routes[route]
	if l == nil {
		return expected
	}
	return time.Duration(math.Exp(l.LongestRatioSum/(l.Count+m.config.PriorCount)) * float64(expected))
}

// Snapshot returns what the model has learnt.
func (m *Model) Snapshot() Snapshot {
	s := make(Snapshot, len(m.routes))
	for route, l := range m.routes {
		s[route] = *l
	}
	return s
}

// Restore makes the model start from a snapshot.
func (m *Model) Restore(s Snapshot) {
	for route, l := range s {
		m.routes[route] = &l
	}
}
