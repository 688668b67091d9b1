package medlaraccount

import (
	"time"

	"medlarwheel"
)

// Offer admits, queues or refuses a request. Offering a request again has no effect and returns its current state.
func (a *Admission) Offer(now time.Time, r Request) Result {
	if t, ok := a.requests[r.ID]; ok {
		if t.running {
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
	serviceTime := r.Expected
	if serviceTime <= 0 {
		serviceTime = secondsToDuration(l.drain.meanService)
	}
	latest := now.Add(maxWait)
	if !r.Deadline.IsZero() {
		latest = r.Deadline.Add(-serviceTime)
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

// Done records that an admitted request has ended. It reports whether the request was in flight in that lane. If it was
// not, the call has no effect. Call Next afterwards.
func (a *Admission) Done(now time.Time, id RequestID, key Lane) bool {
	t, ok := a.requests[id]
	if !ok || !t.running || t.lane.key != key {
		return false
	}
	l := t.lane
	took := now.Sub(t.started)
	a.inFlight--
	l.slotTime += took
	l.class.slotTime += took
	l.drain.recordService(took)
	l.addInFlight(-1)
	a.untrackRequest(t)
	return true
}

// Cancel removes a waiting request from its queue, for example when its client has disconnected. It reports whether the
// request was waiting. A request in flight keeps its slot until Done, because the upstream still processes it.
func (a *Admission) Cancel(_ time.Time, id RequestID) bool {
	t, ok := a.requests[id]
	if !ok || t.running {
		return false
	}
	a.dequeue(t)
	a.untrackRequest(t)
	return true
}

// enqueue adds a request to the queue of its lane. It refuses the request if the queue is full, if the wait in a standing
// queue would be too long, or if the request is expected to start after its expiry. With NewestFirst, a full queue refuses
// its oldest request instead.
func (a *Admission) enqueue(now time.Time, id RequestID, l *lane, latest time.Time) Result {
	if l.share.QueueLimit <= 0 || (l.waiting.length >= l.share.QueueLimit && a.config.Order == OldestFirst) {
		return a.refuse(now, l, medlarwheel.ReasonQueueFull)
	}
	expiry, reason := a.expiryOf(now, l, latest)
	rate := l.drainRate(now)
	start := expectedStart(now, a.requestsAhead(l), rate)
	if start.After(expiry) {
		return a.refuse(now, l, reason)
	}
	if l.hasStandingQueue(now) && start.Sub(now) > l.maxStandingWait() {
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
	t := a.trackRequest(now, id, l)
	t.expiry, t.expiryReason = expiry, reason
	l.waiting.add(t)
	l.class.waiting++
	a.waiting++
	a.expiries.push(t)
	l.updateFairQueues()
	return Result{Decision: Queued}
}

// requestsAhead returns the number of requests of l that start before a new one.
func (a *Admission) requestsAhead(l *lane) int {
	if a.config.Order == NewestFirst {
		return 0
	}
	return l.waiting.length
}

// expiryOf returns the expiry of a request of l that arrives now, and the reason for its refusal after that. The expiry is
// latest or the end of the queue timeout, whichever is earlier.
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

// expectedStart returns the time at which a request with ahead others before it is expected to start, at a drain rate in
// requests per second.
func expectedStart(now time.Time, ahead int, rate float64) time.Time {
	return now.Add(secondsToDuration(float64(ahead+1) / rate))
}

// trackRequest adds a request that is neither queued nor in flight yet. It takes its memory from the free list if possible.
func (a *Admission) trackRequest(now time.Time, id RequestID, l *lane) *trackedRequest {
	t := &trackedRequest{}
	if n := len(a.freeRequests); n > 0 {
		t, a.freeRequests = a.freeRequests[n-1], a.freeRequests[:n-1]
	}
	*t = trackedRequest{id: id, lane: l, arrived: now, heapPosition: notInHeap}
	a.requests[id] = t
	return t
}

// untrackRequest removes t and returns it to the free list. Its lane is added to the idle lanes if it has become idle.
func (a *Admission) untrackRequest(t *trackedRequest) {
	delete(a.requests, t.id)
	l := t.lane
	*t = trackedRequest{}
	a.freeRequests = append(a.freeRequests, t)
	a.linkIdle(l)
}

// dequeue removes a waiting request from its queue.
func (a *Admission) dequeue(t *trackedRequest) {
	l := t.lane
	l.waiting.remove(t)
	l.class.waiting--
	a.waiting--
	a.expiries.remove(t.heapPosition)
	if l.waiting.length == 0 {
		a.removeFromBacklog(l)
	}
	l.updateFairQueues()
}

// refuse counts a refusal of a request of l and returns it with the lane's retry-after time.
func (a *Admission) refuse(now time.Time, l *lane, reason medlarwheel.Reason) Result {
	l.refused++
	l.class.refused++
	return refused(reason, l.retryAfter(now, &a.config))
}

func refused(reason medlarwheel.Reason, retryAfter time.Duration) Result {
	return Result{Decision: Refused, Refusal: medlarwheel.NotRun(reason, retryAfter)}
}
