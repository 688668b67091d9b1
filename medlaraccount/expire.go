package medlaraccount

import (
	"time"

	"medlarwheel"
)

// recheckRateRatio is the ratio of the drain rate to checkedRate below which the waiting requests of a lane are checked
// again. A smaller change is within the error of the measured rate.
const recheckRateRatio = 0.9

// maxSweepLanes bounds the lanes that one call of Expire sweeps, so that its cost does not grow with the number of lanes.
const maxSweepLanes = 64

// Expire refuses waiting requests that have expired or can no longer start before their expiry, and returns all requests
// that were refused since the last call. The returned slice is valid until the next call.
func (a *Admission) Expire(now time.Time) []Expired {
	a.expireOverdue(now)
	if a.waiting > 0 && now.Sub(a.lastSweep) >= a.config.SweepInterval {
		a.lastSweep = now
		a.sweep(now)
	}
	a.returned, a.expired = a.expired, a.returned[:0]
	return a.returned
}

// NextExpiry returns the time at which to call Expire next. It returns false if no request is waiting and no refusal is
// pending.
func (a *Admission) NextExpiry() (time.Time, bool) {
	if len(a.expired) > 0 {
		return a.lastSweep, true
	}
	if a.waiting == 0 {
		return time.Time{}, false
	}
	next := a.lastSweep.Add(a.config.SweepInterval)
	if earliest := a.expiries.items[0].expiry; earliest.Before(next) {
		next = earliest
	}
	return next, true
}

// expireOverdue refuses the requests whose expiry has passed.
func (a *Admission) expireOverdue(now time.Time) {
	for a.waiting > 0 && now.After(a.expiries.items[0].expiry) {
		t := a.expiries.items[0]
		a.expire(now, t, t.expiryReason)
	}
}

// sweep checks the waiting requests of lanes that drain more slowly than when the requests were queued. It visits a bounded
// number of lanes in round-robin order.
func (a *Admission) sweep(now time.Time) {
	if a.config.Order == NewestFirst {
		return
	}
	for range min(maxSweepLanes, len(a.backlog)) {
		if len(a.backlog) == 0 {
			return
		}
		a.lastSwept = (a.lastSwept + 1) % len(a.backlog)
		l := a.backlog[a.lastSwept]
		if rate := l.drainRate(now); rate < recheckRateRatio*l.checkedRate {
			l.checkedRate = rate
			a.refuseLate(now, l)
		}
	}
}

// refuseLate refuses the waiting requests of l that are expected to start after their expiry.
func (a *Admission) refuseLate(now time.Time, l *lane) {
	ahead := 0
	for t := l.waiting.oldest; t != nil; {
		next := t.next
		if expectedStart(now, ahead, l.checkedRate).After(t.expiry) {
			a.expire(now, t, t.expiryReason)
		} else {
			ahead++
		}
		t = next
	}
}

// addToBacklog adds l to the backlog when its first request is queued.
func (a *Admission) addToBacklog(now time.Time, l *lane) {
	l.drain.startQueue(now)
	l.checkedRate = 0
	l.backlogPosition = len(a.backlog)
	a.backlog = append(a.backlog, l)
}

// removeFromBacklog removes l from the backlog when its last waiting request has left the queue.
func (a *Admission) removeFromBacklog(l *lane) {
	last := a.backlog[len(a.backlog)-1]
	a.backlog[l.backlogPosition] = last
	last.backlogPosition = l.backlogPosition
	l.backlogPosition = notInHeap
	a.backlog = a.backlog[:len(a.backlog)-1]
}

// expire refuses a waiting request. The next call of Expire returns it.
func (a *Admission) expire(now time.Time, t *trackedRequest, reason medlarwheel.Reason) {
	l := t.lane
	expired := Expired{ID: t.id, Lane: l.key, Waited: now.Sub(t.arrived)}
	a.dequeue(t)
	expired.Refusal = a.refuse(now, l, reason).Refusal
	a.untrackRequest(t)
	a.expired = append(a.expired, expired)
}
