// Package medlarforecast predicts run times from declared estimates and from the run times of earlier work of the same
// route.
//
// It handles workloads whose estimates are far off: if most of an estimate is noise, the recent run times of a route
// predict its work better. The model is a linear regression in logarithms for each route. Its prior trusts the estimates,
// and observations override the prior to the degree that estimates have proved uninformative.
//
// # Usage
//
//	model := medlarforecast.New(medlarforecast.DefaultConfig())
//	model.Observe("nightly", estimate, mean, longest)
//	expected := model.Predict("nightly", estimate)
//	step := model.PredictLongest("nightly", expected)
package medlarforecast

import (
	"math"
	"time"

	"medlarwheel"
)

// Config configures a model.
type Config struct {
	// PriorCount is the weight, in observations, of the prior for the mean, which says that run times equal their
	// estimates.
	PriorCount float64
	// PriorSquares is the weight of the prior for the slope, which is 1, as a sum of squares of logarithms.
	PriorSquares float64
	// MaxObservations is the effective number of observations. Older ones decay.
	MaxObservations float64
}

// DefaultConfig returns the configuration for routes with several submissions a second.
func DefaultConfig() Config { return Config{PriorCount: 2, PriorSquares: 3, MaxObservations: 300} }

// RegressionSums holds the weighted sums of the observations of one route: logarithms of estimates and of run times in
// seconds.
type RegressionSums struct {
	Count              float64 `json:"count"`
	EstimateSum        float64 `json:"estimate"`
	RunTimeSum         float64 `json:"took"`
	EstimateSquaredSum float64 `json:"estimate-squared"`
	ProductSum         float64 `json:"product"`
	// LongestRatioSum sums the logarithms of the ratio of the longest run time of a step to its mean.
	LongestRatioSum float64 `json:"longest"`
}

// Snapshot is the state of a model in a form from which the next owner of the cell can start.
type Snapshot map[string]RegressionSums

// Check reports every fault in s.
func (s Snapshot) Check() medlarwheel.Faults {
	var faults medlarwheel.Faults
	for route, sums := range s {
		sum := sums.Count + sums.EstimateSum + sums.RunTimeSum + sums.EstimateSquaredSum + sums.ProductSum + sums.LongestRatioSum
		if sums.Count < 0 || sums.EstimateSquaredSum < 0 || math.IsNaN(sum) || math.IsInf(sum, 0) {
			faults = faults.Add(route, sums.Count, "finite sums, and a count and squares of 0 or more")
		}
	}
	return faults
}

// Model predicts run times.
type Model struct {
	config Config
	routes map[string]*RegressionSums
}

// New returns a model without observations, which trusts estimates.
func New(c Config) *Model { return &Model{config: c, routes: map[string]*RegressionSums{}} }

// Observe adds the run times of the tasks of a step: their mean and the longest.
func (m *Model) Observe(route string, estimate, mean, longest time.Duration) {
	if estimate <= 0 || mean <= 0 || longest < mean {
		return
	}
	sums := m.routes[route]
	if sums == nil {
		sums = &RegressionSums{}
		m.routes[route] = sums
	}
	x, y := math.Log(estimate.Seconds()), math.Log(mean.Seconds())
	sums.Count++
	sums.EstimateSum += x
	sums.RunTimeSum += y
	sums.EstimateSquaredSum += x * x
	sums.ProductSum += x * y
	sums.LongestRatioSum += math.Log(float64(longest) / float64(mean))
	if sums.Count > m.config.MaxObservations {
		sums.scale(m.config.MaxObservations / sums.Count)
	}
}

// scale multiplies every sum by a factor, so that earlier observations decay.
func (s *RegressionSums) scale(factor float64) {
	s.Count *= factor
	s.EstimateSum *= factor
	s.RunTimeSum *= factor
	s.EstimateSquaredSum *= factor
	s.ProductSum *= factor
	s.LongestRatioSum *= factor
}

// Predict returns the expected mean run time of tasks with an estimate.
func (m *Model) Predict(route string, estimate time.Duration) time.Duration {
	sums := m.routes[route]
	if sums == nil || sums.Count <= 0 || estimate <= 0 {
		return estimate
	}
	meanX, meanY := sums.EstimateSum/sums.Count, sums.RunTimeSum/sums.Count
	meanY = (sums.Count*meanY + m.config.PriorCount*meanX) / (sums.Count + m.config.PriorCount)
	squares := max(0, sums.EstimateSquaredSum-sums.Count*meanX*meanX)
	products := sums.ProductSum - meanX*sums.RunTimeSum
	slope := min(max(0, (products+m.config.PriorSquares)/(squares+m.config.PriorSquares)), 1)
	return time.Duration(math.Exp(meanY+slope*(math.Log(estimate.Seconds())-meanX)) * float64(time.Second))
}

// PredictLongest returns the expected run time of the longest task of a step whose mean run time is expected.
func (m *Model) PredictLongest(route string, expected time.Duration) time.Duration {
	sums := m.routes[route]
	if sums == nil {
		return expected
	}
	return time.Duration(math.Exp(sums.LongestRatioSum/(sums.Count+m.config.PriorCount)) * float64(expected))
}

// Snapshot returns the state of the model.
func (m *Model) Snapshot() Snapshot {
	s := make(Snapshot, len(m.routes))
	for route, sums := range m.routes {
		s[route] = *sums
	}
	return s
}

// Restore replaces the state of the routes in the snapshot.
func (m *Model) Restore(s Snapshot) {
	for route, sums := range s {
		m.routes[route] = &sums
	}
}
