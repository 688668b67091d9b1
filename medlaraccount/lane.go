package medlaraccount

import (
	"time"

	"medlarwheel"
)

// lane is the state of one Lane.
type lane struct {
	key   Lane
	share Share
	class *class
	// configured tells that SetShare named the lane. Other lanes may be dropped when idle.
	configured bool
	waiting    queue
	// backlogPosition is the place in the list of waiting lanes.
	backlogPosition int
	inFlight        int
	guaranteedItem  fairQueueItem
	lentItem        fairQueueItem
	drain           drainEstimator
	// checkedRate is the highest drain rate that the waiting requests were judged by.
	checkedRate float64
	admitted    uint64
	refused     uint64
	slotTime    time.Duration
	// idleNext and idlePrevious link idle lanes that are not configured, least recently used first.
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

// setShare replaces the share, and with it the lane's part of the class's sums.
func (l *lane) setShare(s Share) {
	l.class.guaranteedSum += int(s.Guaranteed) - int(l.share.Guaranteed)
	l.class.guaranteedInUse += min(l.inFlight, int(s.Guaranteed)) - min(l.inFlight, int(l.share.Guaranteed))
	l.share = s
	l.guaranteedItem.weight = float64(s.Guaranteed)
	l.lentItem.weight = float64(s.Weight)
	l.updateFairQueues()
}

// addInFlight changes the number in flight by n, which is 1 or -1.
func (l *lane) addInFlight(n int) {
	before := min(l.inFlight, int(l.share.Guaranteed))
	l.inFlight += n
	l.class.inFlight += n
	l.class.guaranteedInUse += min(l.inFlight, int(l.share.Guaranteed)) - before
	l.updateFairQueues()
}

// updateFairQueues puts the lane into the fair queues that it belongs to.
func (l *lane) updateFairQueues() {
	waits := l.waiting.length > 0
	l.class.guaranteedQueue.setQueued(&l.guaranteedItem, waits && l.inFlight < int(l.share.Guaranteed))
	l.class.lentQueue.setQueued(&l.lentItem, waits)
}

// entitlement is the concurrency that the lane is sure of.
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
	// floorSlots is the floor in slots.
	floorSlots float64
	// entitlement is the number of slots that the lanes' guarantees cover. It is below their sum when the capacity does not
	// cover the guarantees and floors of all classes.
	entitlement     float64
	guaranteedSum   int
	guaranteedInUse int
	inFlight        int
	waiting         int
	// floorCredit accumulates the part of the floor that is less than one slot.
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

// belowGuarantee reports whether a waiting lane of the class is below its guarantee and the capacity covers it.
func (c *class) belowGuarantee() bool {
	return !c.guaranteedQueue.empty() && float64(c.guaranteedInUse+1) <= c.entitlement+roundingTolerance
}

// belowFloor reports whether the class waits and is below its floor. A fraction of a slot is granted once the class has
// earned a whole grant, because a small capacity would otherwise leave a class with nothing or with far too much.
func (c *class) belowFloor() bool {
	if c.waiting == 0 {
		return false
	}
	inFlight := float64(c.inFlight)
	return inFlight+1 <= c.floorSlots+roundingTolerance || (inFlight < c.floorSlots && c.floorCredit >= 1-roundingTolerance)
}

// roundingTolerance absorbs the error of sums of floating-point shares.
const roundingTolerance = 1e-9
