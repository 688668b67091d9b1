package medlaraccount

import "time"

// Next grants free capacity to waiting requests and returns the requests that may start. The returned slice is valid until
// the next call.
func (a *Admission) Next(now time.Time) []Grant {
	a.grants = a.grants[:0]
	a.expireOverdue(now)
	for a.inFlight < a.capacity && a.waiting > 0 {
		l := a.nextLane()
		t := l.waiting.first(a.config.Order)
		a.dequeue(t)
		l.drain.recordGrant(now)
		a.start(now, t)
		a.grants = append(a.grants, Grant{ID: t.id, Lane: l.key, Waited: now.Sub(t.arrived)})
	}
	return a.grants
}

// nextLane returns the lane that gets the next free slot: a lane below its guarantee, otherwise a lane of a class below its
// floor, otherwise a lane of the most urgent class with waiting requests. Among several classes below their guarantee or
// floor, it takes the one that uses the smallest fraction of it.
func (a *Admission) nextLane() *lane {
	var chosen *class
	lowest := 0.0
	for _, c := range a.classes {
		if !c.belowGuarantee() {
			continue
		}
		if used := float64(c.guaranteedInUse) / c.entitlement; chosen == nil || used < lowest {
			chosen, lowest = c, used
		}
	}
	if chosen != nil {
		return chosen.guaranteedQueue.first()
	}
	for _, c := range a.classes {
		if !c.belowFloor() {
			continue
		}
		if used := float64(c.inFlight) / c.floorSlots; chosen == nil || used < lowest {
			chosen, lowest = c, used
		}
	}
	if chosen != nil {
		return chosen.lentQueue.first()
	}
	for _, c := range a.classes {
		if c.waiting > 0 {
			chosen = c
			break
		}
	}
	return chosen.lentQueue.first()
}

// start puts t in flight and charges its lane for the slot.
func (a *Admission) start(now time.Time, t *trackedRequest) {
	l, c := t.lane, t.lane.class
	t.running, t.started = true, now
	// Charges the mean service time, because the service time of this request is not known yet.
	if cost := l.drain.serviceTime(); l.inFlight < int(l.share.Guaranteed) {
		c.guaranteedQueue.charge(&l.guaranteedItem, cost)
	} else {
		c.lentQueue.charge(&l.lentItem, cost)
	}
	a.addCredit(c)
	a.inFlight++
	l.admitted++
	c.admitted++
	l.addInFlight(1)
}

// addCredit updates the floor credits after a grant: it takes one grant from the credit of the granted class and adds the
// floor to the credit of each class with waiting requests.
func (a *Admission) addCredit(granted *class) {
	granted.floorCredit = max(0, granted.floorCredit-1)
	for _, c := range a.classes {
		if c.waiting > 0 {
			c.floorCredit = min(1, c.floorCredit+c.floor)
		}
	}
}
