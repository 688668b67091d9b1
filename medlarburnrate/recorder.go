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

// SeriesKey identifies a series of results by template and client account.
type SeriesKey struct {
	Template medlarwheel.TemplateName `json:"template"`
	Account  medlarwheel.AccountID    `json:"account"`
}

// OverflowKey returns the key under which results are counted once the limit on series is reached.
func OverflowKey() SeriesKey { return SeriesKey{Template: "others", Account: "others"} }

func (p SeriesKey) compare(o SeriesKey) int {
	return cmp.Or(cmp.Compare(p.Template, o.Template), cmp.Compare(p.Account, o.Account))
}

// Config holds the settings of a Recorder.
type Config struct {
	// MaxSeries is the maximum number of series. Series without a result in the longest window are removed to make
	// room for new ones.
	MaxSeries int
}

// DefaultConfig returns settings for several hundred series. The maximum of 1,024 series takes about 3 MB.
func DefaultConfig() Config { return Config{MaxSeries: 1024} }

// shardCount is the number of locks. With 16, concurrent requests of different series rarely contend for one.
const shardCount = 16

// Recorder counts results by series and window. It is safe for concurrent use.
type Recorder struct {
	maxSeries   int64
	seriesCount atomic.Int64
	shards      [shardCount]shard
}

// shard holds the series that one lock guards.
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
func (r *Recorder) Record(now time.Time, key SeriesKey, result Result) {
	if result < 0 || result >= resultCount {
		return
	}
	// The hash covers template and account, so that the accounts of one busy template are spread over the locks.
	hash := xxhash.Sum64String(string(key.Template)) ^ 3*xxhash.Sum64String(string(key.Account))
	s := &r.shards[hash%shardCount]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r.find(s, now, key).record(now, result)
}

// find returns the series of a key. It adds the series if it is missing, or returns the overflow series of the shard if
// the limit is reached.
func (r *Recorder) find(s *shard, now time.Time, key SeriesKey) *series {
	if found := s.series[key]; found != nil {
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
	s.series[key] = added
	return added
}

// expire removes the series without a result in the longest window and returns their number.
func (s *shard) expire(now time.Time) int64 {
	oldest := now.Add(-Window3Days.Length()).Unix()
	before := len(s.series)
	for key, candidate := range s.series {
		if candidate.lastResult < oldest {
			delete(s.series, key)
		}
	}
	return int64(before - len(s.series))
}

// Snapshot returns a snapshot of all windows at now, with the series ordered by key.
func (r *Recorder) Snapshot(now time.Time, source Source) Snapshot {
	snapshot := Snapshot{Source: source, At: now}
	overflow := SeriesCounts{SeriesKey: OverflowKey()}
	for i := range r.shards {
		s := &r.shards[i]
		s.mutex.Lock()
		for key, recorded := range s.series {
			snapshot.Series = append(snapshot.Series, newSeriesCounts(key, recorded.counts(now)))
		}
		if s.overflow != nil {
			overflow.add(newSeriesCounts(OverflowKey(), s.overflow.counts(now)))
		}
		s.mutex.Unlock()
	}
	snapshot.Series = append(snapshot.Series, overflow)
	snapshot.Series = slices.DeleteFunc(snapshot.Series, func(counts SeriesCounts) bool { return len(counts.Windows) == 0 })
	slices.SortFunc(snapshot.Series, func(a, b SeriesCounts) int { return a.compare(b.SeriesKey) })
	return snapshot
}
