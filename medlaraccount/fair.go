package medlaraccount

// fairQueueItem is the place of one lane in a fairQueue.
type fairQueueItem struct {
	lane *lane
	// startTag is the virtual time at which the lane's next request starts.
	startTag float64
	// sequence orders lanes of equal start by their last charge, so that lanes that all start at zero take turns.
	sequence uint64
	position int
	weight   float64
}

// fairQueue orders lanes by start-time fair queueing: over time each waiting lane gets slot time in proportion to its
// weight, and a lane that was idle earns nothing for it. Comparing numbers in flight instead would ignore weights whenever
// there are more lanes than slots, because most lanes then have none in flight.
type fairQueue struct {
	heap indexedHeap[*fairQueueItem]
	// virtualTime is the start of the last request charged.
	virtualTime float64
	charges     uint64
}

func newFairQueue() fairQueue {
	return fairQueue{heap: indexedHeap[*fairQueueItem]{
		less: func(a, b *fairQueueItem) bool {
			if a.startTag != b.startTag {
				return a.startTag < b.startTag
			}
			return a.sequence < b.sequence
		},
		setPosition: func(t *fairQueueItem, position int) { t.position = position },
	}}
}

func (q *fairQueue) empty() bool { return len(q.heap.items) == 0 }

func (q *fairQueue) first() *lane { return q.heap.items[0].lane }

// setQueued adds or removes t.
func (q *fairQueue) setQueued(t *fairQueueItem, present bool) {
	switch {
	case present && t.position == notInHeap:
		q.heap.push(t)
	case !present && t.position != notInHeap:
		q.heap.remove(t.position)
	}
}

// charge books cost seconds of slot time on t. A lane that was idle starts at the present virtual time.
func (q *fairQueue) charge(t *fairQueueItem, cost float64) {
	q.virtualTime = max(t.startTag, q.virtualTime)
	q.charges++
	t.sequence = q.charges
	t.startTag = q.virtualTime + cost/max(t.weight, 1)
	if t.position != notInHeap {
		q.heap.fix(t.position)
	}
}
