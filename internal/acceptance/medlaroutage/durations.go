package medlaroutage

import "time"

const (
	// priorMedian is the median length of outages before any has been observed, and priorWeight the number of observed
	// outages that count as much as that assumption.
	priorMedian = 2 * time.Second
	priorWeight = 4.0
	// maxObserved is the number of outages that are kept, the most recent ones.
	maxObserved = 32
	// minObserved is the length below which an interval without answers is a lost or late answer and not an outage.
	minObserved = 300 * time.Millisecond
)

// Durations estimates how long an outage lasts from the lengths of past ones. The zero value knows none.
type Durations struct {
	observed []time.Duration
}

// Add records the length of an outage that has ended.
func (d *Durations) Add(length time.Duration) {
	if length < minObserved {
		return
	}
	d.observed = append(d.observed, length)
	if excess := len(d.observed) - maxObserved; excess > 0 {
		d.observed = d.observed[excess:]
	}
}

// survival returns the share of outages that last longer than the given time. Without observations an outage is expected to last
// for as long again as it has lasted, plus priorMedian.
func (d *Durations) survival(length time.Duration) float64 {
	longer := 0.0
	for _, o := range d.observed {
		if o > length {
			longer++
		}
	}
	prior := 1 / (1 + float64(max(length, 0))/float64(priorMedian))
	return (priorWeight*prior + longer) / (priorWeight + float64(len(d.observed)))
}

// ChanceWithin returns the probability that an outage of the given age ends within the given time.
func (d *Durations) ChanceWithin(age, within time.Duration) float64 {
	if within <= 0 {
		return 0
	}
	return 1 - d.survival(age+within)/d.survival(age)
}

// MedianLeft returns the time within which an outage of the given age ends with a probability of one half, at most limit. It is a
// multiple of a quarter of a second.
func (d *Durations) MedianLeft(age, limit time.Duration) time.Duration {
	const step, half = 250 * time.Millisecond, 0.5
	for left := step; left < limit; left += step {
		if d.ChanceWithin(age, left) >= half {
			return left
		}
	}
	return limit
}
