package medlartransport

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// stallFactor is the multiple of the 99th percentile after which a connection without a byte is probed.
	stallFactor = 4
	// quantileStep is the share of the estimate by which one sample moves it.
	quantileStep = 0.05
	// trackedQuantile is the quantile that latencyEstimate follows.
	trackedQuantile = 0.99
)

// latencyEstimate follows a high quantile of response times by stochastic approximation: a sample above the estimate
// raises it by q steps and a sample below lowers it by 1-q steps, so that it settles where a share of q lies below.
type latencyEstimate struct {
	bits atomic.Uint64
}

// observe adds one response time. Concurrent observations may overwrite each other, which only slows the estimate.
func (l *latencyEstimate) observe(d time.Duration) {
	sample := float64(d)
	estimate := math.Float64frombits(l.bits.Load())
	switch {
	case estimate == 0:
		estimate = sample
	case sample > estimate:
		estimate += math.Min(sample-estimate, estimate*quantileStep*trackedQuantile*10)
	default:
		estimate -= estimate * quantileStep * (1 - trackedQuantile)
	}
	l.bits.Store(math.Float64bits(estimate))
}

// quantile returns the estimate, or zero without samples.
func (l *latencyEstimate) quantile() time.Duration {
	return time.Duration(math.Float64frombits(l.bits.Load()))
}

// stallTimeout returns how long a connection may stay without a byte before it is probed: four times the estimate, at
// least the floor, at most half of the time left until the deadline. Without samples it is a quarter of the time left.
func (l *latencyEstimate) stallTimeout(floor, left time.Duration) time.Duration {
	estimate := l.quantile()
	if estimate == 0 {
		return max(time.Millisecond, floor, left/4)
	}
	return max(time.Millisecond, min(max(floor, stallFactor*estimate), left/2))
}
