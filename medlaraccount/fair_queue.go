package medlaraccount

// fairQueueItem is the state of one lane in a fairQueue.
type fairQueueItem struct {
	lane *lane
	// startTag is the virtual start time of the lane's next request.
	startTag float64
	// sequence numbers the charges of the queue. It orders lanes with equal start tags by their last charge, so that lanes
	// that all start at zero alternate.
	sequence uint64
	position int
	weight   float64
}

// fairQueue schedules lanes by start-time fair queueing: over time, each waiting lane gets slot time in proportion to its
// weight, and idle lanes accumulate no credit. Comparing the requests in flight of the lanes instead would ignore the
// weights when there are more lanes than slots, because most lanes then have no request in flight.
type fairQueue struct {
	heap indexedHeap[*fairQueueItem]
	// virtualTime is the start tag of the last charged request.
	virtualTime float64
	// charges is the number of calls of charge.
	charges uint64
}

func newFairQueue() fairQueue {
	return fairQueue{heap: indexedHeap[*fairQueueItem]{
		less: func(a, b *fairQueueItem) bool {
			if a.startTag != b.startTag {
				return a.startTag < b.startTag
			}
			return a.sequence < b.sequence
		},
		setPosition: func(i *fairQueueItem, position int) { i.position = position },
	}}
}

func (q *fairQueue) empty() bool { return len(q.heap.items) == 0 }

func (q *fairQueue) first() *lane { return q.heap.items[0].lane }

// setQueued adds i to the queue or removes it.
func (q *fairQueue) setQueued(i *fairQueueItem, present bool) {
	switch {
	case present && i.position == notInHeap:
		q.heap.push(i)
	case !present && i.position != notInHeap:
		q.heap.remove(i.position)
	}
}

// charge adds cost seconds of slot time to the lane of i. A lane that was idle starts at the current virtual time.
func (q *fairQueue) charge(i *fairQueueItem, cost float64) {
	q.virtualTime = max(i.startTag, q.virtualTime)
	q.charges++
	i.sequence = q.charges
	i.startTag = q.virtualTime + cost/max(i.weight, 1)
	if i.position != notInHeap {
		q.heap.fix(i.position)
	}
}
