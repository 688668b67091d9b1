package medlarburnrate

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"medlarwheel"
)

// SeriesKey is a template with a client account.
type SeriesKey struct {
	Template medlarwheel.TemplateName `json:"template"`
	Account  medlarwheel.AccountID    `json:"account"`
}

// OverflowKey is the pair under which results are counted once the cap on pairs is reached.
func OverflowKey() SeriesKey { return SeriesKey{Template: "others", Account: "others"} }

func (p SeriesKey) compare(o SeriesKey) int {
	return cmp.Or(cmp.Compare(p.Template, o.Template), cmp.Compare(p.Account, o.Account))
}

// Config holds the settings of a Recorder.
type Config struct {
	// MaxSeries bounds the pairs. Pairs without a result in the longest window make room for new ones.
	MaxSeries int
}

// DefaultConfig returns settings for several hundred pairs: 1,024 pairs take about 3 MB.
func DefaultConfig() Config { return Config{MaxSeries: 1024} }

// shardCount is the number of locks. Requests of different pairs rarely meet at one of 16.
const shardCount = 16

// Recorder counts results by pair and window. It is safe for concurrent use.
type Recorder struct {
	maxSeries   int64
	seriesCount atomic.Int64
	shards      [shardCount]shard
}

// shard holds the pairs of one lock.
type shard struct {
	mutex    sync.Mutex
	series   map[SeriesKey]*series
	overflow *series
}

// NewRecorder returns an empty recorder.
func NewRecorder(config Config) *Recorder {
	r := &Recorder{maxSeries: int64(config.MaxSeries)}
	for i := range r.shards {
		r.shards[i].series = make(map[SeriesKey]*series)
	}
	return r
}

// Record counts one result.
func (r *Recorder) Record(now time.Time, p SeriesKey, result Result) {
	if result < 0 || result >= resultCount {
		return
	}
	// Both parts enter the hash, so that the accounts of one busy template spread over the locks.
	hash := xxhash.Sum64String(string(p.Template)) ^ 3*xxhash.Sum64String(string(p.Account))
	s := &r.shards[hash%shardCount]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r.find(s, now, p).record(now, result)
}

// find returns the series of a pair, or the common one if there is no room for the pair.
func (r *Recorder) find(s *shard, now time.Time, p SeriesKey) *series {
	if found := s.series[p]; found != nil {
		return found
	}
	if r.seriesCount.Load() >= r.maxSeries {
		r.seriesCount.Add(-s.expire(now))
	}
	if r.seriesCount.Add(1) > r.maxSeries {
		r.seriesCount.Add(-1)
		if s.overflow == nil {
			s.overflow = newSeries()
		}
		return s.overflow
	}
	added := newSeries()
	s.series[p] = added
	return added
}

// expire drops the pairs without a result in the longest window and returns their number.
func (s *shard) expire(now time.Time) int64 {
	oldest := now.Add(-Window3Days.Length()).Unix()
	before := len(s.series)
	for p, pair := range s.series {
		if pair.last < oldest {
			delete(s.series, p)
		}
	}
	return int64(before - len(s.series))
}

// Snapshot returns a snapshot of all windows at now, with the pairs in order.
func (r *Recorder) Snapshot(now time.Time, source Source) Snapshot {
	c := Snapshot{Source: source, At: now}
	others := SeriesCounts{SeriesKey: OverflowKey()}
	for i := range r.shards {
		s := &r.shards[i]
		s.mutex.Lock()
		for p, pair := range s.series {
			c.Series = append(c.Series, newSeriesCounts(p, pair.counts(now)))
		}
		if s.overflow != nil {
			others.add(newSeriesCounts(OverflowKey(), s.overflow.counts(now)))
		}
		s.mutex.Unlock()
	}
	c.Series = append(c.Series, others)
	c.Series = slices.DeleteFunc(c.Series, func(p SeriesCounts) bool { return len(p.Windows) == 0 })
	slices.SortFunc(c.Series, func(a, b SeriesCounts) int { return a.compare(b.SeriesKey) })
	return c
}
