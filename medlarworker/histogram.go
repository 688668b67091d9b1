package medlarworker

import "math"

// Bounds of a histogram of ratios of measured to declared values: 1/16 to 16 in steps of an eighth of a doubling, so
// that a bucket is 9% wide.
const (
	maxRatio           = 16
	bucketsPerDoubling = 8
	doublings          = 4
	bucketCount        = 2 * doublings * bucketsPerDoubling
	// maxSamples bounds the samples that count. Beyond it all counts are halved, so that old ones fade.
	maxSamples = 4096
)

// histogram counts ratios on a logarithmic scale.
type histogram struct {
	counts [bucketCount]uint32
	total  uint32
}

func (h *histogram) add(ratio float64) {
	if h.total >= maxSamples {
		h.halve()
	}
	bucket := int(math.Floor((math.Log2(max(ratio, 1.0/maxRatio)) + doublings) * bucketsPerDoubling))
	h.counts[min(max(bucket, 0), bucketCount-1)]++
	h.total++
}

func (h *histogram) halve() {
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
}

// quantile returns the base-2 logarithm of the ratio that the given part of the samples does not exceed, interpolated
// within its bucket.
func (h *histogram) quantile(part float64) float64 {
	rank := part * float64(h.total)
	below := 0.0
	for i, count := range h.counts {
		if count > 0 && below+float64(count) >= rank {
			within := (rank - below) / float64(count)
			return (float64(i)+within)/bucketsPerDoubling - doublings
		}
		below += float64(count)
	}
	return 0
}
