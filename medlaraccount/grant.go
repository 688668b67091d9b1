package medlaraccount

import "time"

// Next starts waiting requests while there is free capacity. The returned slice is valid until the next call.
func (a *Admission) Next(now time.Time) []Grant {
	a.grants = a.grants[:0]
	a.expireOverdue(now)
	for a.inFlight < a.capacity && a.waiting > 0 {
		l := a.nextLane()
		e := l.waiting.first(a.config.Order)
		a.dequeue(e)
		l.drain.recordGrant(now)
		a.start(now, e)
		a.grants = append(a.grants, Grant{ID: e.id, Lane: l.key, Waited: now.Sub(e.arrived)})
	}
	return a.grants
}

// nextLane chooses the lane that gets the next free slot: one below its guarantee, or of a class below its floor, or of
// the most urgent class that waits.
func (a *Admission) nextLane() *lane {
	var below *class
	lowest := 0.0
	for _, c := range a.classes {
		if !c.belowGuarantee() {
			continue
		}
		if used := float64(c.guaranteedInUse) / c.entitlement; below == nil || used < lowest {
			below, lowest = c, used
		}
	}
	if below != nil {
		return below.guaranteedQueue.first()
	}
	for _, c := range a.classes {
		if !c.belowFloor() {
			continue
		}
		if used := float64(c.inFlight) / c.floorSlots; below == nil || used < lowest {
			below, lowest = c, used
		}
	}
	if below != nil {
		return below.lentQueue.first()
	}
	for _, c := range a.classes {
		if c.waiting > 0 {
			below = c
			break
		}
	}
	return below.lentQueue.first()
}

// start puts e in flight and charges its lane.
func (a *Admission) start(now time.Time, e *trackedRequest) {
	l, c := e.lane, e.lane.class
	e.running, e.started = true, now
	// The mean service time is charged, because the time of this request is not known yet.
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

// addCredit lets waiting classes earn the fraction of their floor with each grant, and takes it from the granted class.
func (a *Admission) addCredit(granted *class) {
	granted.floorCredit = max(0, granted.floorCredit-1)
	for _, c := range a.classes {
		if c.waiting > 0 {
			c.floorCredit = min(1, c.floorCredit+c.floor)
		}
	}
}
