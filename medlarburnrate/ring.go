package medlarburnrate

import "time"

// ring is a ring buffer that counts results in the buckets of one window.
type ring struct {
	buckets []bucket
}

// bucket counts the results of one period. Periods are numbered from the Unix epoch.
type bucket struct {
	period int64
	counts [resultCount]uint32
}

// series holds the counts of one series in every window.
type series struct {
	rings [windowCount]ring
	// lastResult is the time of the last result in Unix seconds.
	lastResult int64
}

func newSeries() *series {
	s := &series{}
	for i := range s.rings {
		s.rings[i].buckets = make([]bucket, windowSpecs[i].bucketCount)
	}
	return s
}

func periodIndex(now time.Time, length time.Duration) int64 { return now.UnixNano() / int64(length) }

// record counts a result in every window.
func (s *series) record(now time.Time, r Result) {
	s.lastResult = max(s.lastResult, now.Unix())
	for i := range s.rings {
		s.rings[i].record(periodIndex(now, windowSpecs[i].bucketLength), r)
	}
}

// counts sums each window up to now.
func (s *series) counts(now time.Time) [windowCount]Counts {
	var all [windowCount]Counts
	for i := range s.rings {
		all[i] = s.rings[i].sum(periodIndex(now, windowSpecs[i].bucketLength))
	}
	return all
}

// record counts a result in the bucket of a period. A bucket that holds an older period is reset first. A result from
// before the bucket's period is counted in it too, because the times of concurrent callers differ by less than a bucket.
func (r *ring) record(period int64, result Result) {
	b := &r.buckets[period%int64(len(r.buckets))]
	if b.period < period {
		*b = bucket{period: period}
	}
	b.counts[result]++
}

// sum adds up the buckets of the window that ends with a period.
func (r *ring) sum(period int64) Counts {
	var total Counts
	oldest := period - int64(len(r.buckets))
	for i := range r.buckets {
		b := &r.buckets[i]
		if b.period <= oldest {
			continue
		}
		total = total.Plus(Counts{
			Good: uint64(b.counts[ResultGood]), Slow: uint64(b.counts[ResultSlow]),
			Refused: uint64(b.counts[ResultRefused]), Unknown: uint64(b.counts[ResultUnknown]),
		})
	}
	return total
}
