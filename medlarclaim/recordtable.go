package medlarclaim

import (
	"encoding/binary"
	"math/bits"
)

// recordIndex is the position of a record in its table, counted from one. Zero means no record.
type recordIndex uint32

type recordFlags uint8

const (
	// flagCompleted marks a vote whose attempt has ended its run.
	flagCompleted recordFlags = 1 << iota
	// flagCopied marks a vote that was not cast by this incarnation of the voter in its current membership. It denies
	// all claims, including those of its own attempt, because the voter may have voted or fenced otherwise before it lost
	// its votes.
	flagCopied
	// flagFree marks a record without a vote.
	flagFree
	// flagInWheel marks a record that is in the timing wheel. A record that is reused while it is in the wheel keeps
	// its place there.
	flagInWheel
)

// record is one vote. It has 40 bytes and no pointers, so the garbage collector does not scan the table.
type record struct {
	key     KeyHash
	attempt [2]uint32
	// expiry is the second at which the vote expires, on the clock of the voter.
	expiry      uint32
	next        recordIndex // in the hash chain or in the free list
	nextInWheel recordIndex // in the timing wheel
	holder      holderIndex
	flags       recordFlags
}

func (r *record) attemptHash() AttemptHash {
	return AttemptHash(uint64(r.attempt[0])<<32 | uint64(r.attempt[1]))
}

func (r *record) setAttempt(h AttemptHash) {
	r.attempt = [2]uint32{uint32(h >> 32), uint32(h)}
}

const (
	chunkBits = 10
	chunkSize = 1 << chunkBits
)

// recordTable is a chained hash table whose records are allocated in chunks. The buckets are allocated once, so the
// table never rehashes.
type recordTable struct {
	buckets  []recordIndex
	chunks   []*[chunkSize]record
	freeList recordIndex
	// count is the number of votes, capacity its bound.
	count, capacity int
}

func newRecordTable(capacity int) recordTable {
	bucketCount := 1 << bits.Len(uint(max(1, capacity/2)))
	return recordTable{buckets: make([]recordIndex, bucketCount), capacity: capacity}
}

func (t *recordTable) at(index recordIndex) *record {
	i := uint32(index - 1)
	return &t.chunks[i>>chunkBits][i&(chunkSize-1)]
}

func (t *recordTable) bucket(key KeyHash) *recordIndex {
	return &t.buckets[binary.LittleEndian.Uint32(key[:])&uint32(len(t.buckets)-1)]
}

func (t *recordTable) find(key KeyHash) *record {
	for index := *t.bucket(key); index != 0; {
		r := t.at(index)
		if r.key == key {
			return r
		}
		index = r.next
	}
	return nil
}

func (t *recordTable) full() bool { return t.count >= t.capacity }

// insert adds a record without an attempt for a key that has none.
func (t *recordTable) insert(key KeyHash) (recordIndex, *record) {
	if t.freeList == 0 {
		t.grow()
	}
	index := t.freeList
	r := t.at(index)
	t.freeList = r.next
	bucket := t.bucket(key)
	*r = record{key: key, next: *bucket, nextInWheel: r.nextInWheel, flags: r.flags & flagInWheel}
	*bucket = index
	t.count++
	return index, r
}

// grow adds a chunk and puts its records on the free list.
func (t *recordTable) grow() {
	first := recordIndex(len(t.chunks)*chunkSize + 1)
	t.chunks = append(t.chunks, new([chunkSize]record))
	for index := first + chunkSize - 1; index >= first; index-- {
		r := t.at(index)
		r.next, r.flags = t.freeList, flagFree
		t.freeList = index
	}
}

// remove puts the record of a vote on the free list. The record stays in the timing wheel if it is there.
func (t *recordTable) remove(r *record) {
	for index := t.bucket(r.key); *index != 0; {
		current := *index
		candidate := t.at(current)
		if candidate != r {
			index = &candidate.next
			continue
		}
		*index = r.next
		r.next, r.flags = t.freeList, r.flags&flagInWheel|flagFree
		t.freeList = current
		t.count--
		return
	}
}
