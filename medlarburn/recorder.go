package medlarburn

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"medlarwheel"
)

// Pair is a template with a client account.
type Pair struct {
	Template medlarwheel.TemplateName `json:"template"`
	Account  medlarwheel.AccountID    `json:"account"`
}

// Others is the pair under which results are counted once the cap on pairs is reached.
func Others() Pair { return Pair{Template: "others", Account: "others"} }

func (p Pair) compare(o Pair) int {
	return cmp.Or(cmp.Compare(p.Template, o.Template), cmp.Compare(p.Account, o.Account))
}

// Config holds the settings of a Recorder.
type Config struct {
	// MaxPairs bounds the pairs. Pairs without a result in the longest window make room for new ones.
	MaxPairs int
}

// DefaultConfig returns settings for several hundred pairs: 1,024 pairs take about 3 MB.
func DefaultConfig() Config { return Config{MaxPairs: 1024} }

// shardCount is the number of locks. Requests of different pairs rarely meet at one of 16.
const shardCount = 16

// Recorder counts results by pair and window. It is safe for concurrent use.
type Recorder struct {
	maxPairs int64
	pairs    atomic.Int64
	shards   [shardCount]shard
}

// shard holds the pairs of one lock.
type shard struct {
	mutex  sync.Mutex
	pairs  map[Pair]*series
	others *series
}

// NewRecorder returns an empty recorder.
func NewRecorder(config Config) *Recorder {
	r := &Recorder{maxPairs: int64(config.MaxPairs)}
	for i := range r.shards {
		r.shards[i].pairs = make(map[Pair]*series)
	}
	return r
}

// Record counts one result.
func (r *Recorder) Record(now time.Time, p Pair, result Result) {
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
func (r *Recorder) find(s *shard, now time.Time, p Pair) *series {
	if found := s.pairs[p]; found != nil {
		return found
	}
	if r.pairs.Load() >= r.maxPairs {
		r.pairs.Add(-s.expire(now))
	}
	if r.pairs.Add(1) > r.maxPairs {
		r.pairs.Add(-1)
		if s.others == nil {
			s.others = newSeries()
		}
		return s.others
	}
	added := newSeries()
	s.pairs[p] = added
	return added
}

// expire drops the pairs without a result in the longest window and returns their number.
func (s *shard) expire(now time.Time) int64 {
	oldest := now.Add(-Window3Days.Length()).Unix()
	before := len(s.pairs)
	for p, pair := range s.pairs {
		if pair.last < oldest {
			delete(s.pairs, p)
		}
	}
	return int64(before - len(s.pairs))
}

// Counters returns a snapshot of all windows at now, with the pairs in order.
func (r *Recorder) Counters(now time.Time, source Source) Counters {
	c := Counters{Source: source, At: now}
	others := PairCounts{Pair: Others()}
	for i := range r.shards {
		s := &r.shards[i]
		s.mutex.Lock()
		for p, pair := range s.pairs {
			c.Pairs = append(c.Pairs, newPairCounts(p, pair.counts(now)))
		}
		if s.others != nil {
			others.add(newPairCounts(Others(), s.others.counts(now)))
		}
		s.mutex.Unlock()
	}
	c.Pairs = append(c.Pairs, others)
	c.Pairs = slices.DeleteFunc(c.Pairs, func(p PairCounts) bool { return len(p.Windows) == 0 })
	slices.SortFunc(c.Pairs, func(a, b PairCounts) int { return a.compare(b.Pair) })
	return c
}
