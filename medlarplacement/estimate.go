package medlarplacement

import (
	"math"
	"time"
)

// loadLevels is the number of load levels with estimates of their own. Interference grows faster than load, so the upper
// levels are narrower.
const loadLevels = 4

// loadLevel returns the load level of a load.
func loadLevel(load float64) int {
	for i, edge := range [loadLevels - 1]float64{0.4, 0.6, 0.8} {
		if load < edge {
			return i
		}
	}
	return loadLevels - 1
}

// estimate is a normally distributed belief about the logarithm of a slowdown. Its zero value means no belief.
type estimate struct {
	mean, variance float32
	// updated is the Unix time of the last update in seconds.
	updated int64
}

func (e *estimate) known() bool { return e.variance > 0 }

// levelEstimates holds one estimate per load level.
type levelEstimates [loadLevels]estimate

// nearest returns the known estimate at the level or at the nearest other level, lower levels first.
func (l *levelEstimates) nearest(at int) (float64, bool) {
	for distance := range loadLevels {
		if i := at - distance; i >= 0 && l[i].known() {
			return float64(l[i].mean), true
		}
		if i := at + distance; i < loadLevels && l[i].known() {
			return float64(l[i].mean), true
		}
	}
	return 0, false
}

// weightedEstimate is one estimate with the weight that it has in an observation.
type weightedEstimate struct {
	estimate *estimate
	weight   float64
}

// kalmanFilter corrects the estimates behind a weighted sum after the sum was observed. It is a Kalman filter that keeps
// variances and drops covariances, so its cost grows with the terms of one observation only.
type kalmanFilter struct {
	// noiseVariance is the variance of an observation.
	noiseVariance float64
	// clipDeviations bounds a correction in standard deviations of the expected difference.
	clipDeviations float64
	// priorVariance is the variance of an estimate without samples. Ageing does not exceed it.
	priorVariance float64
	// driftVariance is the variance that an estimate gains per hour, so that it can follow a truth that changes.
	driftVariance float64
	// maxMean is the largest mean.
	maxMean float64
}

// age adds the drift since the last update.
func (f *kalmanFilter) age(e *estimate, now time.Time) {
	seconds := now.Unix()
	if e.updated > 0 && seconds > e.updated {
		grown := float64(e.variance) + f.driftVariance*float64(seconds-e.updated)/time.Hour.Seconds()
		e.variance = float32(math.Min(f.priorVariance, grown))
	}
	e.updated = max(e.updated, seconds)
}

// update corrects the estimates of the terms for an observed sum.
func (f *kalmanFilter) update(terms []weightedEstimate, observed float64, now time.Time) {
	predicted, total := 0.0, f.noiseVariance
	for _, t := range terms {
		f.age(t.estimate, now)
		predicted += t.weight * float64(t.estimate.mean)
		total += t.weight * t.weight * float64(t.estimate.variance)
	}
	bound := f.clipDeviations * math.Sqrt(total)
	difference := min(max(observed-predicted, -bound), bound)
	for _, t := range terms {
		gain := float64(t.estimate.variance) * t.weight / total
		mean := float64(t.estimate.mean) + gain*difference
		t.estimate.mean = float32(min(max(mean, 0), f.maxMean))
		t.estimate.variance *= float32(1 - gain*t.weight)
	}
}
