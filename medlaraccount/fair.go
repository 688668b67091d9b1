package medlaraccount

// fairTag is the place of one lane in a fairQueue.
type fairTag struct {
	lane *lane
	// start is the virtual time at which the lane's next request starts.
	start float64
	// turn orders lanes of equal start by their last charge, so that lanes that all start at zero take turns.
	turn     uint64
	position int
	weight   float64
}

// fairQueue orders lanes by start-time fair queueing: over time each waiting lane gets slot time in proportion to its
// weight, and a lane that was idle earns nothing for it. Comparing numbers in flight instead would ignore weights whenever
// there are more lanes than slots, because most lanes then have none in flight.
type fairQueue struct {
	heap indexedHeap[*fairTag]
	// virtual is the start of the last request charged.
	virtual float64
	turns   uint64
}

func newFairQueue() fairQueue {
	return fairQueue{heap: indexedHeap[*fairTag]{
		less: func(a, b *fairTag) bool {
			if a.start != b.start {
				return a.start < b.start
			}
			return a.turn < b.turn
		},
		place: func(t *fairTag, position int) { t.position = position },
	}}
}

func (q *fairQueue) empty() bool { return len(q.heap.items) == 0 }

func (q *fairQueue) first() *lane { return q.heap.items[0].lane }

// set adds or removes t.
func (q *fairQueue) set(t *fairTag, present bool) {
	switch {
	case present && t.position == notInHeap:
		q.heap.push(t)
	case !present && t.position != notInHeap:
		q.heap.remove(t.position)
	}
}

// charge books cost seconds of slot time on t. A lane that was idle starts at the present virtual time.
func (q *fairQueue) charge(t *fairTag, cost float64) {
	q.virtual = max(t.start, q.virtual)
	q.turns++
	t.turn = q.turns
	t.start = q.virtual + cost/max(t.weight, 1)
	if t.position != notInHeap {
		q.heap.fix(t.position)
	}
}
