package medlartransport

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// stallFactor is the ratio of the stall timeout to the estimated 99th percentile of the latency.
	stallFactor = 4
	// quantileStep is the step of the approximation as a fraction of the estimate.
	quantileStep = 0.05
	// trackedQuantile is the quantile that latencyEstimate approximates.
	trackedQuantile = 0.99
)

// latencyEstimate approximates trackedQuantile of the response times by stochastic approximation: for a quantile q, a
// sample above the estimate raises it in proportion to q, and a sample below lowers it in proportion to 1-q.
type latencyEstimate struct {
	bits atomic.Uint64
}

// observe records one response time. Concurrent observations may overwrite each other, which only makes the estimate
// converge more slowly.
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

// quantile returns the estimate, or zero if there are no samples.
func (l *latencyEstimate) quantile() time.Duration {
	return time.Duration(math.Float64frombits(l.bits.Load()))
}

// stallTimeout returns how long to wait for a byte before the connection counts as possibly stalled: stallFactor times the
// estimate, but at least floor and at most half of the time left until the deadline. Without samples it is a quarter of the
// time left, but at least floor.
func (l *latencyEstimate) stallTimeout(floor, left time.Duration) time.Duration {
	estimate := l.quantile()
	if estimate == 0 {
		return max(time.Millisecond, floor, left/4)
	}
	return max(time.Millisecond, min(max(floor, stallFactor*estimate), left/2))
}
