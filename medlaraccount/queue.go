package medlaraccount

import (
	"time"

	"medlarwheel"
)

// trackedRequest is a request that waits or runs.
type trackedRequest struct {
	id      RequestID
	lane    *lane
	running bool
	arrived time.Time
	started time.Time
	// expiry is the time at which the request has waited too long, because of its deadline or of the queue timeout, and
	// reason tells which.
	expiry       time.Time
	expiryReason medlarwheel.Reason
	// heapPosition is the place in the heap of giveUp times.
	heapPosition int
	next         *trackedRequest
	previous     *trackedRequest
}

// queue is a doubly linked list of waiting entries in the order of arrival.
type queue struct {
	oldest *trackedRequest
	newest *trackedRequest
	length int
}

func (q *queue) add(e *trackedRequest) {
	e.previous, e.next = q.newest, nil
	if q.newest == nil {
		q.oldest = e
	} else {
		q.newest.next = e
	}
	q.newest = e
	q.length++
}

func (q *queue) remove(e *trackedRequest) {
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

func (q *queue) first(order Order) *trackedRequest {
	if order == NewestFirst {
		return q.newest
	}
	return q.oldest
}

// newExpiryHeap returns a heap of waiting entries, with the one that gives up first on top.
func newExpiryHeap() indexedHeap[*trackedRequest] {
	return indexedHeap[*trackedRequest]{
		less:        func(a, b *trackedRequest) bool { return a.expiry.Before(b.expiry) },
		setPosition: func(e *trackedRequest, position int) { e.heapPosition = position },
	}
}
