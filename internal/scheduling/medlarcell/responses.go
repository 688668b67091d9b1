package medlarcell

import (
	"time"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// HandleStartResponse handles the response to a start order.
func (c *Cell) HandleStartResponse(now time.Time, id medlarwheel.WorkerID, s medlarorder.Start, response medlarorder.Response, err error) {
	defer c.orderAnswered(now, id, orderStart, startBytes(&s), err)
	c.startWindow.release()
	w := c.workers[id]
	if w == nil {
		return
	}
	r := w.findRun(s.Task, s.Run)
	if r == nil {
		return
	}
	if err == nil || now.Sub(w.lastContact) < recentContact {
		c.startWindow.observe(now, now.Sub(r.sentAt), err == nil)
	}
	if err != nil {
		w.recordDisconnect(now, err)
		c.handleStartError(now, w, r, err)
		return
	}
	if response.Clock > 0 {
		c.recordResponse(now, w)
	}
	c.checkIncarnation(now, w, r, response.Clock)
	switch response.Verdict {
	case medlarorder.VerdictAccepted:
		if r.phase == runSent {
			c.confirm(now, r)
		}
		r.step.invalidRounds = 0
		return
	case medlarorder.VerdictFenced:
		c.handleFenced(now, w, s.Fence)
	case medlarorder.VerdictNoCapacity, medlarorder.VerdictUnhealthy:
		w.pausedUntil = now.Add(c.config.UnhealthyPause)
	case medlarorder.VerdictOtherIncarnation:
		w.reported = false
	case medlarorder.VerdictSuperseded:
		r.task().lastRun += runNumberSkip
		// A run of the task that is still being stopped there rejects every start until it has ended.
		w.pausedUntil = now.Add(c.config.UnhealthyPause)
	case medlarorder.VerdictInvalid:
		r.task().avoidWorker = w.info.ID
		defer c.handleInvalidOrder(now, r)
	}
	c.handleRejectedStart(now, r, string(response.Verdict))
}

// checkIncarnation requests a report of a worker whose clock shows that it has restarted since the last one. On its new clock, the lease
// in the order for its previous incarnation lasts for the maximum.
func (c *Cell) checkIncarnation(now time.Time, w *worker, r *run, reading time.Duration) {
	if w.incarnationUncertain || !w.isClockBehind(r.sentAt, reading, &c.config) {
		return
	}
	w.incarnationUncertain = true
	w.extendLeaseBound(now.Add(c.leaseDurationBound(c.config.MaxLease)))
	c.requestReport(now, w, r)
}

const (
	// invalidOrderPause is the pause of a step after its orders were rejected as invalid. It doubles with each further round, up
	// to maxInvalidOrderPause.
	invalidOrderPause    = 250 * time.Millisecond
	maxInvalidOrderPause = 8 * time.Second
	// maxInvalidRounds is the number of such rounds in a row after which the submission fails, about half a minute later.
	maxInvalidRounds = 8
)

// handleInvalidOrder pauses a step whose order a worker can't decode, and fails its submission after too many rounds. All
// orders of a step hold the same text.
func (c *Cell) handleInvalidOrder(now time.Time, r *run) {
	s, j := r.step, r.job()
	if j.state.IsFinal() || now.Before(s.pausedUntil) {
		return
	}
	s.pausedUntil = now.Add(min(invalidOrderPause<<s.invalidRounds, maxInvalidOrderPause))
	if s.invalidRounds++; s.invalidRounds < maxInvalidRounds {
		return
	}
	c.finish(now, j, medlarsubmission.StateFailed)
	c.emit(Event{
		Kind: EventFailed, Submission: j.submission.ID, Route: j.submission.Route, Task: r.name(), Run: r.number, Worker: r.worker.info.ID,
		Reason: "workers reject its orders as invalid", Age: now.Sub(j.submission.AcceptedAt), Count: s.invalidRounds,
	})
}

// runNumberSkip is the number of run numbers that are skipped after a worker has rejected one as superseded.
const runNumberSkip = 16

// handleRejectedStart requeues a task whose start the worker has rejected without effect.
func (c *Cell) handleRejectedStart(now time.Time, r *run, reason string) {
	if r.phase == runConfirmed {
		return
	}
	c.emit(Event{Kind: EventStartRejected, Task: r.name(), Run: r.number, Worker: r.worker.info.ID, Reason: reason, Age: now.Sub(r.sentAt)})
	c.takeBack(now, r)
}

// handleStartError handles a start order that failed or got no response.
func (c *Cell) handleStartError(now time.Time, w *worker, r *run, err error) {
	if r.phase == runConfirmed {
		return
	}
	if medlarwheel.HasNoEffect(err) {
		w.pausedUntil = now.Add(c.config.UnhealthyPause)
		c.handleRejectedStart(now, r, err.Error())
		return
	}
	c.emit(Event{Kind: EventStartUncertain, Task: r.name(), Run: r.number, Worker: w.info.ID, Reason: err.Error(), Age: now.Sub(r.sentAt)})
	r.phase = runUncertain
	c.requestReport(now, w, r)
}

// HandleStopResponse handles the response to a stop order. Tick repeats a stop until the run has ended.
func (c *Cell) HandleStopResponse(now time.Time, id medlarwheel.WorkerID, s medlarorder.Stop, response medlarorder.Response, err error) {
	defer c.orderAnswered(now, id, orderStop, orderOverhead, err)
	w := c.workers[id]
	if w == nil || err != nil {
		return
	}
	if response.Clock > 0 {
		c.recordResponse(now, w)
	}
	if response.Verdict == medlarorder.VerdictFenced {
		c.handleFenced(now, w, s.Fence)
	}
}

// stop orders a worker to stop a run. Its capacity stays reserved until the worker reports the end, unless the run was never ordered.
func (c *Cell) stop(now time.Time, r *run) {
	if r.stopping {
		return
	}
	if r.phase == runPlanned {
		c.takeBack(now, r)
		return
	}
	r.stopping = true
	// A stopping run is no longer included in the interference on the serving tasks beside it.
	r.worker.headroomsStale = true
	c.failureCache.workerChanged(r.worker)
	c.sendStop(now, r)
}

func (c *Cell) sendStop(now time.Time, r *run) {
	if r.stopPending {
		return
	}
	r.stopPending, r.stopSentAt = true, now
	c.order(now, pendingOrder{kind: orderStop, run: r})
}
