package medlaraccount

import (
	"time"

	"medlarwheel"
)

// recheckRateRatio is the part of its former drain rate below which a lane's waiting requests are judged again. A smaller change
// is within the error of the measured rate.
const recheckRateRatio = 0.9

// maxSweepLanes bounds the lanes judged by one call of Expire, so that its cost does not grow with the lanes.
const maxSweepLanes = 64

// Expire refuses waiting requests whose queue timeout has passed or that can no longer meet their deadline. The returned
// slice is valid until the next call.
func (a *Admission) Expire(now time.Time) []Expired {
	a.expireOverdue(now)
	if a.waiting > 0 && now.Sub(a.lastSweep) >= a.config.SweepInterval {
		a.lastSweep = now
		a.sweep(now)
	}
	a.returned, a.expired = a.expired, a.returned[:0]
	return a.returned
}

// NextExpiry returns the time at which Expire is to be called next. It reports false when nothing waits.
func (a *Admission) NextExpiry() (time.Time, bool) {
	if len(a.expired) > 0 {
		return a.lastSweep, true
	}
	if a.waiting == 0 {
		return time.Time{}, false
	}
	next := a.lastSweep.Add(a.config.SweepInterval)
	if overdue := a.expiries.items[0].expiry; overdue.Before(next) {
		next = overdue
	}
	return next, true
}

// expireOverdue refuses the requests whose time to give up has passed.
func (a *Admission) expireOverdue(now time.Time) {
	for a.waiting > 0 && now.After(a.expiries.items[0].expiry) {
		e := a.expiries.items[0]
		a.expire(now, e, e.expiryReason)
	}
}

// sweep judges the waiting requests of lanes that drain more slowly than when the requests were queued. It looks at a
// bounded number of lanes at a time.
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

// refuseLate refuses the waiting requests of l that would start too late.
func (a *Admission) refuseLate(now time.Time, l *lane) {
	ahead := 0
	for e := l.waiting.oldest; e != nil; {
		next := e.next
		if expectedStart(now, ahead, l.checkedRate).After(e.expiry) {
			a.expire(now, e, e.expiryReason)
		} else {
			ahead++
		}
		e = next
	}
}

// addToBacklog notes that l has its first waiting request.
func (a *Admission) addToBacklog(now time.Time, l *lane) {
	l.drain.startQueue(now)
	l.checkedRate = 0
	l.backlogPosition = len(a.backlog)
	a.backlog = append(a.backlog, l)
}

// removeFromBacklog notes that l has no waiting request left.
func (a *Admission) removeFromBacklog(l *lane) {
	last := a.backlog[len(a.backlog)-1]
	a.backlog[l.backlogPosition] = last
	last.backlogPosition = l.backlogPosition
	l.backlogPosition = notInHeap
	a.backlog = a.backlog[:len(a.backlog)-1]
}

// expire refuses a waiting request. The next call of Expire tells the caller.
func (a *Admission) expire(now time.Time, e *trackedRequest, reason medlarwheel.Reason) {
	l := e.lane
	x := Expired{ID: e.id, Lane: l.key, Waited: now.Sub(e.arrived)}
	a.dequeue(e)
	x.Refusal = a.refuse(now, l, reason).Refusal
	a.untrackRequest(e)
	a.expired = append(a.expired, x)
}
