package medlaraccount

import (
	"time"

	"medlarwheel"
)

// Offer asks for the admission of a request. A request that is offered again keeps its place.
func (a *Admission) Offer(now time.Time, r Request) Result {
	if e, ok := a.requests[r.ID]; ok {
		if e.running {
			return Result{Decision: Admitted}
		}
		return Result{Decision: Queued}
	}
	l := a.laneOf(r.Lane)
	if l == nil {
		c := a.classOf(r.Lane.Class)
		c.refused++
		return refused(medlarwheel.ReasonQueueFull, max(a.config.MinRetryAfter, MinRetryAfter))
	}
	service := r.Expected
	if service <= 0 {
		service = secondsToDuration(l.drain.meanService)
	}
	latest := now.Add(maxWait)
	if !r.Deadline.IsZero() {
		latest = r.Deadline.Add(-service)
	}
	if now.After(latest) {
		return a.refuse(now, l, medlarwheel.ReasonDeadline)
	}
	if a.inFlight < a.capacity && a.waiting == 0 {
		a.unlinkIdle(l)
		a.start(now, a.trackRequest(now, r.ID, l))
		return Result{Decision: Admitted}
	}
	return a.enqueue(now, r.ID, l, latest)
}

// Done tells that an admitted request has ended. It reports whether the request was in flight in that lane; anything
// else changes nothing. Call Next afterwards.
func (a *Admission) Done(now time.Time, id RequestID, key Lane) bool {
	e, ok := a.requests[id]
	if !ok || !e.running || e.lane.key != key {
		return false
	}
	l := e.lane
	took := now.Sub(e.started)
	a.inFlight--
	l.slotTime += took
	l.class.slotTime += took
	l.drain.recordService(took)
	l.addInFlight(-1)
	a.untrackRequest(e)
	return true
}

// Cancel removes a request whose caller has gone from its queue. It reports whether the request was waiting. A request
// in flight keeps its slot until Done, because the upstream still works on it.
func (a *Admission) Cancel(_ time.Time, id RequestID) bool {
	e, ok := a.requests[id]
	if !ok || e.running {
		return false
	}
	a.dequeue(e)
	a.untrackRequest(e)
	return true
}

// enqueue adds a request to the queue of its lane, or refuses it if it would leave the queue too late.
func (a *Admission) enqueue(now time.Time, id RequestID, l *lane, latest time.Time) Result {
	if l.share.QueueLimit <= 0 || (l.waiting.length >= l.share.QueueLimit && a.config.Order == OldestFirst) {
		return a.refuse(now, l, medlarwheel.ReasonQueueFull)
	}
	giveUp, reason := a.expiryOf(now, l, latest)
	rate := l.drainRate(now)
	starts := expectedStart(now, a.requestsAhead(l), rate)
	if starts.After(giveUp) {
		return a.refuse(now, l, reason)
	}
	if l.hasStandingQueue(now) && starts.Sub(now) > l.maxStandingWait() {
		return a.refuse(now, l, medlarwheel.ReasonQueueFull)
	}
	if l.waiting.length >= l.share.QueueLimit {
		a.expire(now, l.waiting.oldest, medlarwheel.ReasonQueueFull)
	}
	if l.waiting.length == 0 {
		a.addToBacklog(now, l)
		a.unlinkIdle(l)
	}
	l.checkedRate = max(l.checkedRate, rate)
	e := a.trackRequest(now, id, l)
	e.expiry, e.expiryReason = giveUp, reason
	l.waiting.add(e)
	l.class.waiting++
	a.waiting++
	a.expiries.push(e)
	l.updateFairQueues()
	return Result{Decision: Queued}
}

// requestsAhead returns the number of requests of l that a new one would wait for.
func (a *Admission) requestsAhead(l *lane) int {
	if a.config.Order == NewestFirst {
		return 0
	}
	return l.waiting.length
}

// expiryOf returns when a request of l that arrives now has waited too long, and the reason for its refusal then.
func (a *Admission) expiryOf(now time.Time, l *lane, latest time.Time) (time.Time, medlarwheel.Reason) {
	timeout := l.share.QueueTimeout
	if timeout <= 0 {
		timeout = a.config.QueueTimeout
	}
	if end := now.Add(timeout); end.Before(latest) {
		return end, medlarwheel.ReasonQueueTimeout
	}
	return latest, medlarwheel.ReasonDeadline
}

// expectedStart returns when a request behind a number of others is expected to start.
func expectedStart(now time.Time, ahead int, rate float64) time.Time {
	return now.Add(secondsToDuration(float64(ahead+1) / rate))
}

func (a *Admission) trackRequest(now time.Time, id RequestID, l *lane) *trackedRequest {
	e := &trackedRequest{}
	if n := len(a.freeRequests); n > 0 {
		e, a.freeRequests = a.freeRequests[n-1], a.freeRequests[:n-1]
	}
	*e = trackedRequest{id: id, lane: l, arrived: now, heapPosition: notInHeap}
	a.requests[id] = e
	return e
}

// untrackRequest forgets e. Its lane may be idle then.
func (a *Admission) untrackRequest(e *trackedRequest) {
	delete(a.requests, e.id)
	l := e.lane
	*e = trackedRequest{}
	a.freeRequests = append(a.freeRequests, e)
	a.linkIdle(l)
}

// dequeue takes a waiting entry out of its queue.
func (a *Admission) dequeue(e *trackedRequest) {
	l := e.lane
	l.waiting.remove(e)
	l.class.waiting--
	a.waiting--
	a.expiries.remove(e.heapPosition)
	if l.waiting.length == 0 {
		a.removeFromBacklog(l)
	}
	l.updateFairQueues()
}

func (a *Admission) refuse(now time.Time, l *lane, reason medlarwheel.Reason) Result {
	l.refused++
	l.class.refused++
	return refused(reason, l.retryAfter(now, &a.config))
}

func refused(reason medlarwheel.Reason, after time.Duration) Result {
	return Result{Decision: Refused, Refusal: medlarwheel.NotRun(reason, after)}
}
