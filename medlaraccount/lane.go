package medlaraccount

import (
	"time"

	"medlarwheel"
)

// lane is the queue and the accounting of one Lane.
type lane struct {
	key   Lane
	share Share
	class *class
	// configured is true if the lane has a share of its own. Other lanes may be evicted when idle.
	configured bool
	waiting    queue
	// backlogPosition is the index in Admission.backlog, or notInHeap.
	backlogPosition int
	inFlight        int
	guaranteedItem  fairQueueItem
	lentItem        fairQueueItem
	drain           drainEstimator
	// checkedRate is the highest drain rate against which the waiting requests were checked.
	checkedRate float64
	admitted    uint64
	refused     uint64
	slotTime    time.Duration
	// idleNext and idlePrevious link the idle lanes that are not configured, least recently used first.
	idleNext     *lane
	idlePrevious *lane
}

func newLane(key Lane, c *class) *lane {
	l := &lane{key: key, class: c, backlogPosition: notInHeap}
	l.guaranteedItem = fairQueueItem{lane: l, position: notInHeap}
	l.lentItem = fairQueueItem{lane: l, position: notInHeap}
	return l
}

func (l *lane) idle() bool { return l.inFlight == 0 && l.waiting.length == 0 }

// setShare replaces the share and updates the sums of the class.
func (l *lane) setShare(s Share) {
	l.class.guaranteedSum += int(s.Guaranteed) - int(l.share.Guaranteed)
	l.class.guaranteedInUse += min(l.inFlight, int(s.Guaranteed)) - min(l.inFlight, int(l.share.Guaranteed))
	l.share = s
	l.guaranteedItem.weight = float64(s.Guaranteed)
	l.lentItem.weight = float64(s.Weight)
	l.updateFairQueues()
}

// addInFlight changes the number of requests in flight by n, which is 1 or -1.
func (l *lane) addInFlight(n int) {
	before := min(l.inFlight, int(l.share.Guaranteed))
	l.inFlight += n
	l.class.inFlight += n
	l.class.guaranteedInUse += min(l.inFlight, int(l.share.Guaranteed)) - before
	l.updateFairQueues()
}

// updateFairQueues adds the lane to the fair queues of its class or removes it, according to its waiting requests and its
// requests in flight.
func (l *lane) updateFairQueues() {
	waiting := l.waiting.length > 0
	l.class.guaranteedQueue.setQueued(&l.guaranteedItem, waiting && l.inFlight < int(l.share.Guaranteed))
	l.class.lentQueue.setQueued(&l.lentItem, waiting)
}

// entitlement returns the lane's part of the slots that cover the guarantees of its class.
func (l *lane) entitlement() float64 {
	if l.class.guaranteedSum == 0 {
		return 0
	}
	return float64(l.share.Guaranteed) * l.class.entitlement / float64(l.class.guaranteedSum)
}

// class is the state of one medlarwheel.Class.
type class struct {
	name  medlarwheel.Class
	floor float64
	// floorSlots is the floor in slots at the current capacity.
	floorSlots float64
	// entitlement is the number of slots that cover the guarantees of the lanes. It is less than their sum when the
	// capacity does not cover the guarantees and floors of all classes.
	entitlement     float64
	guaranteedSum   int
	guaranteedInUse int
	inFlight        int
	waiting         int
	// floorCredit accumulates fractions of the floor until they add up to one grant.
	floorCredit     float64
	guaranteedQueue fairQueue
	lentQueue       fairQueue
	admitted        uint64
	refused         uint64
	slotTime        time.Duration
}

func newClass(name medlarwheel.Class, floor float64) *class {
	return &class{name: name, floor: floor, guaranteedQueue: newFairQueue(), lentQueue: newFairQueue()}
}

// belowGuarantee reports whether a waiting lane of the class is below its guarantee and the class below its entitlement.
func (c *class) belowGuarantee() bool {
	return !c.guaranteedQueue.empty() && float64(c.guaranteedInUse+1) <= c.entitlement+roundingTolerance
}

// belowFloor reports whether the class has waiting requests and is below its floor. For a floor that is not a whole number
// of slots, the last fraction is granted whenever floorCredit has reached a whole grant. With a small capacity, rounding
// would leave a class with nothing or with far more than its floor.
func (c *class) belowFloor() bool {
	if c.waiting == 0 {
		return false
	}
	inFlight := float64(c.inFlight)
	return inFlight+1 <= c.floorSlots+roundingTolerance || (inFlight < c.floorSlots && c.floorCredit >= 1-roundingTolerance)
}

// roundingTolerance absorbs the floating-point error of sums of fractions.
const roundingTolerance = 1e-9
