package medlarclaim

import (
	"encoding/binary"
	"math/bits"
)

// slot is the position of a record in its table. Zero is no record.
type slot uint32

type recordFlags uint8

const (
	// flagCompleted marks a vote whose attempt has ended its run.
	flagCompleted recordFlags = 1 << iota
	// flagCopied marks a vote learned from another seat. It denies all claims, its own attempt's included, because the
	// seat may have voted otherwise before it lost its votes.
	flagCopied
	// flagUnused marks a slot without a vote.
	flagUnused
	// flagListed marks a slot that is in the expiry wheel. A slot that is reused while it is listed stays where it is.
	flagListed
)

// record is one vote. It has 40 bytes and no pointers, so the garbage collector does not scan the table.
type record struct {
	key     KeyHash
	attempt [2]uint32
	// due is the second at which the record expires, on the clock of the seat.
	due    uint32
	next   slot // in the hash chain, or in the list of unused slots
	link   slot // in the expiry wheel
	holder holderIndex
	flags  recordFlags
}

func (r *record) attemptHash() AttemptHash {
	return AttemptHash(uint64(r.attempt[0])<<32 | uint64(r.attempt[1]))
}

func (r *record) setAttempt(h AttemptHash) {
	r.attempt = [2]uint32{uint32(h >> 32), uint32(h)}
}

const (
	pageBits = 10
	pageSize = 1 << pageBits
)

// recordTable is a chained hash table over pages of records. Its heads are allocated once, so it never rehashes.
type recordTable struct {
	heads  []slot
	pages  []*[pageSize]record
	unused slot
	// live counts the votes.
	live, capacity int
}

func newRecordTable(capacity int) recordTable {
	heads := 1 << bits.Len(uint(max(1, capacity/2)))
	return recordTable{heads: make([]slot, heads), capacity: capacity}
}

func (t *recordTable) at(s slot) *record {
	i := uint32(s - 1)
	return &t.pages[i>>pageBits][i&(pageSize-1)]
}

func (t *recordTable) head(key KeyHash) *slot {
	return &t.heads[binary.LittleEndian.Uint32(key[:])&uint32(len(t.heads)-1)]
}

func (t *recordTable) find(key KeyHash) *record {
	for s := *t.head(key); s != 0; {
		r := t.at(s)
		if r.key == key {
			return r
		}
		s = r.next
	}
	return nil
}

func (t *recordTable) full() bool { return t.live >= t.capacity }

// insert adds an empty record for a key that has none.
func (t *recordTable) insert(key KeyHash) (slot, *record) {
	if t.unused == 0 {
		t.grow()
	}
	s := t.unused
	r := t.at(s)
	t.unused = r.next
	head := t.head(key)
	*r = record{key: key, next: *head, link: r.link, flags: r.flags & flagListed}
	*head = s
	t.live++
	return s, r
}

func (t *recordTable) grow() {
	first := slot(len(t.pages)*pageSize + 1)
	t.pages = append(t.pages, new([pageSize]record))
	for s := first + pageSize - 1; s >= first; s-- {
		r := t.at(s)
		r.next, r.flags = t.unused, flagUnused
		t.unused = s
	}
}

// remove makes the slot of a vote reusable.
func (t *recordTable) remove(r *record) {
	for s := t.head(r.key); *s != 0; {
		position := *s
		candidate := t.at(position)
		if candidate != r {
			s = &candidate.next
			continue
		}
		*s = r.next
		r.next, r.flags = t.unused, r.flags&flagListed|flagUnused
		t.unused = position
		t.live--
		return
	}
}
