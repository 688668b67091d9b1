package medlarclaim

import (
	"encoding/binary"
	"math/bits"
)

// recordIndex is the position of a record in its table. Zero is no record.
type recordIndex uint32

type recordFlags uint8

const (
	// flagCompleted marks a vote whose attempt has ended its run.
	flagCompleted recordFlags = 1 << iota
	// flagCopied marks a vote learned from another seat. It denies all claims, its own attempt's included, because the
	// seat may have voted otherwise before it lost its votes.
	flagCopied
	// flagFree marks a slot without a vote.
	flagFree
	// flagInWheel marks a slot that is in the expiry wheel. A slot that is reused while it is listed stays where it is.
	flagInWheel
)

// record is one vote. It has 40 bytes and no pointers, so the garbage collector does not scan the table.
type record struct {
	key     KeyHash
	attempt [2]uint32
	// expiry is the second at which the record expires, on the clock of the seat.
	expiry      uint32
	next        recordIndex // in the hash chain, or in the list of unused slots
	nextInWheel recordIndex // in the expiry wheel
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

// recordTable is a chained hash table over pages of records. Its heads are allocated once, so it never rehashes.
type recordTable struct {
	buckets  []recordIndex
	chunks   []*[chunkSize]record
	freeList recordIndex
	// count counts the votes.
	count, capacity int
}

func newRecordTable(capacity int) recordTable {
	heads := 1 << bits.Len(uint(max(1, capacity/2)))
	return recordTable{buckets: make([]recordIndex, heads), capacity: capacity}
}

func (t *recordTable) at(s recordIndex) *record {
	i := uint32(s - 1)
	return &t.chunks[i>>chunkBits][i&(chunkSize-1)]
}

func (t *recordTable) bucket(key KeyHash) *recordIndex {
	return &t.buckets[binary.LittleEndian.Uint32(key[:])&uint32(len(t.buckets)-1)]
}

func (t *recordTable) find(key KeyHash) *record {
	for s := *t.bucket(key); s != 0; {
		r := t.at(s)
		if r.key == key {
			return r
		}
		s = r.next
	}
	return nil
}

func (t *recordTable) full() bool { return t.count >= t.capacity }

// insert adds an empty record for a key that has none.
func (t *recordTable) insert(key KeyHash) (recordIndex, *record) {
	if t.freeList == 0 {
		t.grow()
	}
	s := t.freeList
	r := t.at(s)
	t.freeList = r.next
	head := t.bucket(key)
	*r = record{key: key, next: *head, nextInWheel: r.nextInWheel, flags: r.flags & flagInWheel}
	*head = s
	t.count++
	return s, r
}

func (t *recordTable) grow() {
	first := recordIndex(len(t.chunks)*chunkSize + 1)
	t.chunks = append(t.chunks, new([chunkSize]record))
	for s := first + chunkSize - 1; s >= first; s-- {
		r := t.at(s)
		r.next, r.flags = t.freeList, flagFree
		t.freeList = s
	}
}

// remove makes the slot of a vote reusable.
func (t *recordTable) remove(r *record) {
	for s := t.bucket(r.key); *s != 0; {
		position := *s
		candidate := t.at(position)
		if candidate != r {
			s = &candidate.next
			continue
		}
		*s = r.next
		r.next, r.flags = t.freeList, r.flags&flagInWheel|flagFree
		t.freeList = position
		t.count--
		return
	}
}
