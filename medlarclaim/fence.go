package medlarclaim

import (
	"encoding/binary"
	"math"
	"time"
)

// never is earlier than every time on the clock of a seat.
const never = time.Duration(math.MinInt64)

const fenceWays = 4

// fenceSet holds the latest fences of the keys that share it. overflow is the latest time of an evicted fence.
type fenceSet struct {
	at            [fenceWays]time.Duration
	latestEvicted time.Duration
	tag           [fenceWays]uint32
}

// fenceTable remembers when each key was last fenced, in fixed memory. A flood of refusals fences far more keys than a seat
// could keep records for. An evicted fence is applied to all keys of its set, so a fence may deny too much but never
// too little.
type fenceTable struct {
	sets []fenceSet
	// globalFence applies to all keys.
	globalFence time.Duration
}

func newFenceTable(sets int) fenceTable {
	f := fenceTable{sets: make([]fenceSet, sets), globalFence: never}
	for i := range f.sets {
		s := &f.sets[i]
		s.latestEvicted = never
		for w := range s.at {
			s.at[w] = never
		}
	}
	return f
}

func (f *fenceTable) locate(key KeyHash) (*fenceSet, uint32) {
	index := binary.LittleEndian.Uint32(key[4:]) & uint32(len(f.sets)-1)
	return &f.sets[index], binary.LittleEndian.Uint32(key[8:])
}

// latest returns a time no earlier than the last fence of the key.
func (f *fenceTable) latest(key KeyHash) time.Duration {
	set, tag := f.locate(key)
	at := max(f.globalFence, set.latestEvicted)
	for w, t := range set.tag {
		if t == tag {
			at = max(at, set.at[w])
		}
	}
	return at
}

// add fences the key at the time.
func (f *fenceTable) add(key KeyHash, at time.Duration) {
	set, tag := f.locate(key)
	oldest := 0
	for w := range set.tag {
		if set.tag[w] == tag && set.at[w] != never {
			set.at[w] = max(set.at[w], at)
			return
		}
		if set.at[w] < set.at[oldest] {
			oldest = w
		}
	}
	set.latestEvicted = max(set.latestEvicted, set.at[oldest])
	set.tag[oldest], set.at[oldest] = tag, at
}
