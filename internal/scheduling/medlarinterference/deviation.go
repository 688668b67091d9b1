package medlarinterference

import "math"

// Resolution and range of the histogram of deviations.
const (
	deviationBucket  = 0.01
	deviationBuckets = 60
)

// deviationPriorCount is the weight of the prior of the distribution, in observations.
const deviationPriorCount = 200

// maxDeviationCount is the total weight of the observations at which all weights are halved, so that old ones fade.
const maxDeviationCount = 20000

// Deviations is the distribution of how far the utilisation of single serving tasks exceeds that of their group. Tasks of
// one group have the same load except for short peaks of their own.
type Deviations struct {
	counts [deviationBuckets]float64
	total  float64
	// exceeding caches, by bucket, the share of observations at or above its lower bound.
	exceeding [deviationBuckets + 1]float64
	stale     bool
}

// NewDeviations returns a distribution whose prior is exponential with the given mean, in utilisation.
func NewDeviations(priorMean float64) *Deviations {
	d := &Deviations{stale: true, total: deviationPriorCount}
	for i := range d.counts {
		lower := float64(i) * deviationBucket / priorMean
		d.counts[i] = deviationPriorCount * (math.Exp(-lower) - math.Exp(-lower-deviationBucket/priorMean))
	}
	return d
}

// Observe adds a deviation. Negative ones count as zero.
func (d *Deviations) Observe(deviation float64) {
	bucket := min(max(0, int(deviation/deviationBucket)), deviationBuckets-1)
	d.counts[bucket]++
	d.total++
	if d.total > maxDeviationCount {
		for i := range d.counts {
			d.counts[i] /= 2
		}
		d.total /= 2
	}
	d.stale = true
}

// Exceeding returns the share of deviations that exceed the given one.
func (d *Deviations) Exceeding(deviation float64) float64 {
	if deviation <= 0 {
		return 1
	}
	if d.stale {
		d.refresh()
	}
	return d.exceeding[min(int(deviation/deviationBucket), deviationBuckets)]
}

// refresh recomputes the cached shares.
func (d *Deviations) refresh() {
	sum := 0.0
	for i := deviationBuckets - 1; i >= 0; i-- {
		sum += d.counts[i]
		d.exceeding[i] = sum / d.total
	}
	d.stale = false
}
