package medlaraccount

import (
	"time"

	"medlarwheel"
)

// trackedRequest is a request that is waiting or in flight.
type trackedRequest struct {
	id      RequestID
	lane    *lane
	running bool
	arrived time.Time
	started time.Time
	// expiry is the latest time at which a waiting request may start, set by its deadline or by the queue timeout.
	// expiryReason is the reason of the refusal after that time.
	expiry       time.Time
	expiryReason medlarwheel.Reason
	// heapPosition is the index in Admission.expiries.
	heapPosition int
	next         *trackedRequest
	previous     *trackedRequest
}

// queue is a doubly linked list of waiting requests in order of arrival.
type queue struct {
	oldest *trackedRequest
	newest *trackedRequest
	length int
}

func (q *queue) add(t *trackedRequest) {
	t.previous, t.next = q.newest, nil
	if q.newest == nil {
		q.oldest = t
	} else {
		q.newest.next = t
	}
	q.newest = t
	q.length++
}

func (q *queue) remove(t *trackedRequest) {
	if t.previous == nil {
		q.oldest = t.next
	} else {
		t.previous.next = t.next
	}
	if t.next == nil {
		q.newest = t.previous
	} else {
		t.next.previous = t.previous
	}
	t.previous, t.next = nil, nil
	q.length--
}

// first returns the request that starts next in the given order.
func (q *queue) first(order Order) *trackedRequest {
	if order == NewestFirst {
		return q.newest
	}
	return q.oldest
}

// newExpiryHeap returns a heap of waiting requests, ordered by expiry.
func newExpiryHeap() indexedHeap[*trackedRequest] {
	return indexedHeap[*trackedRequest]{
		less:        func(a, b *trackedRequest) bool { return a.expiry.Before(b.expiry) },
		setPosition: func(t *trackedRequest, position int) { t.heapPosition = position },
	}
}
