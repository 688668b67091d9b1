package medlarcell

import (
	"slices"
	"time"

	"medlarwheel"
	"medlarwheel/internal/execution/medlarorder"
)

// Reasons for which a run is given up without the worker's word.
const (
	lostLease   = "lease ended"
	lostRestart = "worker restarted"
	lostMissing = "not in the worker's lists"
)

// HandleRenewResponse takes in the result of a hold that was sent at sentAt. It orders the next one.
func (c *Cell) HandleRenewResponse(now time.Time, id medlarwheel.WorkerID, extra bool, sentAt time.Time, h medlarorder.Renew, report medlarorder.Report, err error) {
	w := c.workers[id]
	if w == nil {
		return
	}
	if extra {
		w.reportRequested = false
	} else {
		w.renewalInFlight = false
	}
	delay := time.Duration(0)
	switch {
	case err != nil:
		c.handleFailedRenewal(now, w)
		delay = c.config.RenewalRetryDelay
	case report.Verdict == medlarorder.VerdictFenced:
		c.handleFenced(now, w, h.Fence)
		delay = c.config.RenewalRetryDelay
	case report.Verdict != medlarorder.VerdictAccepted:
		delay = c.config.RenewalRetryDelay
	default:
		c.applyReport(now, w, sentAt, h, report)
	}
	if extra {
		return
	}
	if err == nil && w.lastProcessedEnd > w.lastAckedEnd {
		c.deferredRenewals = append(c.deferredRenewals, w)
		// A worker answers at once while it lists ends, so the next renewal waits until they are acknowledged.
		w.renewalDue = now.Add(c.config.AckWaitTimeout)
		return
	}
	c.scheduleRenewal(now, w, delay)
}

// sendDeferredRenewals orders the renewals that have waited for ends to be acknowledged, or for long enough.
func (c *Cell) sendDeferredRenewals(now time.Time) {
	c.deferredRenewals = slices.DeleteFunc(c.deferredRenewals, func(w *worker) bool {
		if !w.renewalDue.IsZero() && (w.lastProcessedEnd == w.lastAckedEnd || !now.Before(w.renewalDue)) {
			c.scheduleRenewal(now, w, 0)
		}
		return w.renewalDue.IsZero()
	})
}

func (c *Cell) handleFailedRenewal(now time.Time, w *worker) {
	if !w.lastContact.IsZero() && now.Sub(w.lastContact) >= c.config.ContactTimeout && now.Sub(w.lastContact) < c.config.ContactTimeout+c.config.RenewalRetryDelay {
		c.emit(Event{Kind: EventWorkerUnresponsive, Worker: w.info.ID, Age: now.Sub(w.lastContact), Count: len(w.runs)})
	}
	w.incarnationUncertain = true
	w.reported = w.reported && now.Sub(w.lastContact) < c.config.ContactTimeout
}

// handleFenced handles a worker that has seen a higher token than fence. Either another instance owns the cell, or this one
// has raised the worker's token in an earlier life of its entry; the table knows.
func (c *Cell) handleFenced(now time.Time, w *worker, fence medlarwheel.FencingToken) {
	if fence < w.fence || w.fenced {
		return
	}
	w.fenced, w.fencedAt = true, now
	c.fencedWorkers++
	c.emit(Event{Kind: EventWorkerFenced, Worker: w.info.ID, Count: int(fence - c.fence)})
}

// NeedsOwnershipCheck reports whether a worker has seen a higher token, so that the ownership is to be confirmed at once.
func (c *Cell) NeedsOwnershipCheck() bool { return c.fencedWorkers > 0 }

// clearFenced notes that the ownership is confirmed towards a worker, or that the worker has gone.
func (c *Cell) clearFenced(w *worker) {
	if w.fenced {
		w.fenced = false
		c.fencedWorkers--
	}
}

// fenceIncrement is by how much the token of a worker is raised that has seen a higher one of the same owner.
const fenceIncrement = 64

// OwnershipConfirmed notes that this owner has written to the table, under the condition of its ownership, at sentAt.
func (c *Cell) OwnershipConfirmed(now, sentAt time.Time) {
	if !c.NeedsOwnershipCheck() {
		return
	}
	for _, w := range c.workers {
		if !w.fenced || !sentAt.After(w.fencedAt) {
			continue
		}
		c.clearFenced(w)
		c.failureCache.workerChanged(w)
		w.fence += fenceIncrement
		c.resolveUncertainRuns(now, w)
	}
}

// scheduleRenewal orders the next renewal of a worker's lease.
func (c *Cell) scheduleRenewal(now time.Time, w *worker, delay time.Duration) {
	if w.renewalInFlight {
		return
	}
	w.renewalInFlight, w.renewalDue = true, time.Time{}
	c.commands = append(c.commands, Command{
		Kind: CommandRenew, Worker: w.info.ID, Address: w.info.Address, Delay: delay, Renew: c.newRenewal(now.Add(delay), w),
	})
}

func (c *Cell) newRenewal(now time.Time, w *worker) medlarorder.Renew {
	h := medlarorder.Renew{Fence: w.fence}
	if w.reported && !w.incarnationUncertain {
		// Ends are acknowledged only towards the life that has listed them.
		h.AckedUpTo, h.Wait = w.lastAckedEnd, c.config.RenewalWait
	}
	if !w.clockAt.IsZero() && !w.incarnationUncertain {
		// An unanswered renewal may still have extended the lease. Until the worker answers, none is asked for, so that
		// the end of its lease is known.
		h.LeaseEnd = c.nextLeaseEnd(now, w)
		w.recordLease(h.LeaseEnd, &c.config)
	}
	return h
}

// requestReport asks a worker at once, under a raised token, for its lists. Orders with lower tokens then have no later effect.
func (c *Cell) requestReport(now time.Time, w *worker, r *run) {
	if w.reportRequested {
		r.resolveFence = w.fence + 1
		return
	}
	w.fence++
	r.resolveFence = w.fence
	w.reportRequested = true
	h := c.newRenewal(now, w)
	h.Wait = 0
	c.commands = append(c.commands, Command{
		Kind: CommandRenew, Worker: w.info.ID, Address: w.info.Address, OutOfBand: true, Renew: h,
	})
}

// applyReport takes in the lists of a worker.
func (c *Cell) applyReport(now time.Time, w *worker, sentAt time.Time, h medlarorder.Renew, report medlarorder.Report) {
	if report.Incarnation < w.incarnation && report.Incarnation != 0 {
		return
	}
	if report.Incarnation != w.incarnation && report.Incarnation != 0 {
		c.handleRestart(now, w, report.Incarnation)
	}
	if now.Sub(w.lastContact) >= c.config.ContactTimeout && !w.lastContact.IsZero() {
		c.emit(Event{Kind: EventWorkerResponsive, Worker: w.info.ID, Age: now.Sub(w.lastContact)})
	}
	c.responseReceived(now, w, report.Clock)
	w.incarnationUncertain = false
	first := !w.reported
	for i := range report.Ended {
		if e := &report.Ended[i]; e.Number > w.lastProcessedEnd {
			w.lastProcessedEnd = e.Number
			c.handleEnd(now, w, e)
		}
	}
	if w.lastProcessedEnd > w.lastAckedEnd && !w.inUnackedList {
		w.inUnackedList = true
		c.unackedWorkers = append(c.unackedWorkers, w)
	}
	listed := make(map[*run]struct{}, len(report.Running))
	for i := range report.Running {
		if r := c.applyRunning(now, w, &report.Running[i]); r != nil {
			listed[r] = struct{}{}
		}
	}
	for r := range w.runs {
		if _, ok := listed[r]; !ok && r.isProvenMissing(sentAt, h.Fence) {
			c.markLost(now, r, lostMissing)
		}
	}
	w.reported = true
	if first {
		c.tryReconcile(now)
	}
	c.updateServingUtilisations(now, w)
	c.checkProgress(now, w)
	c.resolveUncertainRuns(now, w)
}

// isProvenMissing reports whether a list that was asked for at sentAt, under fence, says that the run is not there for good.
func (r *run) isProvenMissing(sentAt time.Time, fence medlarwheel.FencingToken) bool {
	switch r.phase {
	case runConfirmed:
		return sentAt.After(r.confirmedAt)
	case runUncertain:
		return fence >= r.resolveFence
	default:
		return false
	}
}

// resolveUncertainRuns asks again for uncertain runs that this report did not settle.
func (c *Cell) resolveUncertainRuns(now time.Time, w *worker) {
	for r := range w.runs {
		if r.phase == runUncertain {
			c.requestReport(now, w, r)
			return
		}
	}
}

// applyRunning takes in one running task of a worker. It returns the run, or nil if it is to be stopped.
func (c *Cell) applyRunning(now time.Time, w *worker, l *medlarorder.Running) *run {
	r := w.findRun(l.Task, l.Run)
	if r == nil {
		r = c.adopt(now, w, l)
	}
	if r == nil {
		c.commands = append(c.commands, Command{
			Kind: CommandStop, Worker: w.info.ID, Address: w.info.Address,
			Stop: medlarorder.Stop{Task: l.Task, Run: l.Run, Fence: w.fence},
		})
		c.emit(Event{Kind: EventUnknownRunStopped, Task: l.Task, Run: l.Run, Worker: w.info.ID})
		return nil
	}
	if r.phase != runConfirmed {
		c.confirm(now, r)
	}
	r.progressPercent = max(r.progressPercent, l.Percent)
	r.checkpoint = l.Checkpoint
	if l.Checkpoint != "" {
		r.task().checkpoint = l.Checkpoint
	}
	r.usage = -1
	if l.HasUsage {
		r.usage = l.Usage
	}
	return r
}

// adopt takes over a run that an earlier owner has started, or returns nil if nobody needs it.
func (c *Cell) adopt(now time.Time, w *worker, l *medlarorder.Running) *run {
	j := c.jobs[l.Task.Submission]
	if j == nil || j.state.IsFinal() {
		return nil
	}
	s, t := j.findTask(l.Task)
	if t == nil || t.done || l.Run <= t.lastEndedRun || len(t.runs) > 0 {
		return nil
	}
	t.lastRun = max(t.lastRun, l.Run)
	r := &run{step: s, index: l.Task.Index, number: l.Run, worker: w, sentAt: now, pace: fullPace}
	c.attach(r)
	if c.reconciled {
		c.emit(Event{Kind: EventTaskAdopted, Task: l.Task, Run: l.Run, Worker: w.info.ID})
	} else {
		c.adoptedTasks++
	}
	return r
}

// fullPace is the pace of a run that is not slowed, in percent.
const fullPace = 100

// attach attaches a run to its task and its worker.
func (c *Cell) attach(r *run) {
	t := r.task()
	t.waiting = false
	r.step.removeReady(r.index)
	c.needsCompaction = true
	t.runs = append(t.runs, r)
	r.worker.addRun(r)
}

// confirm notes that the worker has the run.
func (c *Cell) confirm(now time.Time, r *run) {
	if r.phase == runConfirmed {
		return
	}
	r.phase, r.confirmedAt = runConfirmed, now
	if r.step.spec.BestEffort {
		r.worker.shareHistory.startInterval(now, r)
	}
	j := r.job()
	if !j.started {
		c.markStarted(j)
		c.emit(Event{
			Kind: EventFirstStart, Submission: j.submission.ID, Route: j.submission.Route, Worker: r.worker.info.ID,
			Age: now.Sub(j.submission.AcceptedAt),
		})
	}
}

// detach removes a run from its task and its worker.
func (c *Cell) detach(now time.Time, r *run) {
	r.worker.shareHistory.endInterval(now, r)
	t := r.task()
	for i, other := range t.runs {
		if other == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			break
		}
	}
	r.worker.removeRun(r)
	c.failureCache.workerChanged(r.worker)
}

// markLost gives up a run that can't be running any more, and puts its task back into the queue.
func (c *Cell) markLost(now time.Time, r *run, reason string) {
	c.detach(now, r)
	t := r.task()
	t.lastEndedRun = max(t.lastEndedRun, r.number)
	c.emit(Event{Kind: EventTaskLost, Task: r.name(), Run: r.number, Worker: r.worker.info.ID, Reason: reason, Age: now.Sub(r.sentAt)})
	c.requeue(now, r.step, r.index)
}

// requeue makes a task wait for a worker again, unless it is done or another copy runs.
func (c *Cell) requeue(now time.Time, s *step, index int) {
	t := &s.tasks[index]
	if t.done || t.waiting || len(t.runs) > 0 || s.occurrence.job.state.IsFinal() {
		return
	}
	t.waiting = true
	s.ready = append(s.ready, index)
	c.enqueue(now, s)
}

// enqueue puts a step with waiting tasks into the queue.
func (c *Cell) enqueue(now time.Time, s *step) {
	if s.queued || len(s.ready) == 0 || s.unmetDependencies > 0 || s.occurrence.job.state.IsFinal() {
		return
	}
	s.queued, s.readySince = true, now
	if s.failure == nil {
		s.failure = c.failureCache.forStep(s)
	}
	c.unranked = append(c.unranked, s)
}
