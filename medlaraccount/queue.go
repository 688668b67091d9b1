package medlaraccount

import (
	"time"

	"medlarwheel"
)

// entry is a request that waits or runs.
type entry struct {
	id      RequestID
	lane    *lane
	running bool
	arrived time.Time
	started time.Time
	// giveUp is the time at which the request has waited too long, because of its deadline or of the queue timeout, and
	// reason tells which.
	giveUp time.Time
	reason medlarwheel.Reason
	// position is the place in the heap of giveUp times.
	position int
	next     *entry
	previous *entry
}

// queue is a doubly linked list of waiting entries in the order of arrival.
type queue struct {
	oldest *entry
	newest *entry
	length int
}

func (q *queue) add(e *entry) {
	e.previous, e.next = q.newest, nil
	if q.newest == nil {
		q.oldest = e
	} else {
		q.newest.next = e
	}
	q.newest = e
	q.length++
}

func (q *queue) remove(e *entry) {
	if e.previous == nil {
		q.oldest = e.next
	} else {
		e.previous.next = e.next
	}
	if e.next == nil {
		q.newest = e.previous
	} else {
		e.next.previous = e.previous
	}
	e.previous, e.next = nil, nil
	q.length--
}

func (q *queue) first(order Order) *entry {
	if order == NewestFirst {
		return q.newest
	}
	return q.oldest
}

// newGiveUpHeap returns a heap of waiting entries, with the one that gives up first on top.
func newGiveUpHeap() indexedHeap[*entry] {
	return indexedHeap[*entry]{
		less:  func(a, b *entry) bool { return a.giveUp.Before(b.giveUp) },
		place: func(e *entry, position int) { e.position = position },
	}
}
