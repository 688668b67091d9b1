package medlarcell

import (
	"slices"
	"time"

	"medlarwheel"
	"medlarwheel/internal/execution/medlarorder"
)

// Reasons for which a run is marked as lost although no worker has reported its end.
const (
	lostLease   = "lease ended"
	lostRestart = "worker restarted"
	lostMissing = "not in the worker's lists"
)

// HandleRenewResponse handles the result of a renewal that was sent at sentAt, and schedules the next one.
func (c *Cell) HandleRenewResponse(now time.Time, id medlarwheel.WorkerID, outOfBand bool, sentAt time.Time, renewal medlarorder.Renew, report medlarorder.Report, err error) {
	w := c.workers[id]
	if w == nil {
		return
	}
	if outOfBand {
		w.reportRequested = false
	} else {
		w.renewalInFlight = false
	}
	delay := time.Duration(0)
	switch {
	case err != nil:
		w.recordDisconnect(now, err)
		c.handleFailedRenewal(now, w)
		delay = c.config.RenewalRetryDelay
	case report.Verdict == medlarorder.VerdictFenced:
		c.handleFenced(now, w, renewal.Fence)
		delay = c.config.RenewalRetryDelay
	case report.Verdict == medlarorder.VerdictOtherIncarnation:
		// A lease is never extended for a worker that no longer exists at the address, so that its runs end with it.
		w.incarnationUncertain, w.reported = true, false
		delay = c.config.RenewalRetryDelay
	case report.Verdict != medlarorder.VerdictAccepted:
		delay = c.config.RenewalRetryDelay
	default:
		c.applyReport(now, w, sentAt, renewal, report)
		if w.incarnationUncertain || w.hasUnknownTasks || c.isLeaseFixed(now, w) {
			// The report was that of an earlier incarnation, or the worker responds at once until its ends are acknowledged, or its
			// lease can be extended soon.
			delay = c.config.RenewalRetryDelay
		}
	}
	if outOfBand {
		return
	}
	if err == nil && w.lastProcessedEnd > w.lastAckedEnd && !w.hasPendingAck() {
		c.deferredRenewals = append(c.deferredRenewals, w)
		// A worker with ended runs to report responds at once, so the next renewal waits until they are acknowledged.
		w.renewalDue = now.Add(c.config.AckWaitTimeout)
		return
	}
	c.scheduleRenewal(now, w, delay)
}

// sendDeferredRenewals schedules the renewals whose ended runs have been acknowledged or whose wait has timed out.
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

// handleFenced handles a worker that has seen a higher fencing token than fence. Either another instance owns the cell,
// or this one raised the worker's token before the worker was removed and added again. A conditional write to the table
// shows which.
func (c *Cell) handleFenced(now time.Time, w *worker, fence medlarwheel.FencingToken) {
	if fence < w.fence || w.fenced {
		return
	}
	w.fenced, w.fencedAt = true, now
	c.fencedWorkers++
	c.emit(Event{Kind: EventWorkerFenced, Worker: w.info.ID, Count: int(fence - c.fence)})
}

// NeedsOwnershipCheck reports whether a worker has seen a higher fencing token, so that the ownership must be confirmed
// at once.
func (c *Cell) NeedsOwnershipCheck() bool { return c.fencedWorkers > 0 }

// clearFenced clears the fenced state of a worker, because the ownership is confirmed or the worker is removed.
func (c *Cell) clearFenced(w *worker) {
	if w.fenced {
		w.fenced = false
		c.fencedWorkers--
	}
}

// fenceIncrement is the amount by which a worker's token is raised if the worker has seen a higher one of this owner.
const fenceIncrement = 64

// OwnershipConfirmed handles a successful write to the table, conditional on the ownership, that was sent at sentAt.
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

// scheduleRenewal commands the next renewal of a worker's lease, unless one is in flight.
func (c *Cell) scheduleRenewal(now time.Time, w *worker, delay time.Duration) {
	if w.renewalInFlight {
		return
	}
	w.renewalInFlight, w.renewalDue = true, time.Time{}
	c.commands = append(c.commands, Command{
		Kind: CommandRenew, Worker: w.info.ID, Address: w.info.Address, Delay: delay, Renew: c.newRenewal(now.Add(delay), w),
	})
}

// maxAckAge is the longest time after a report in which its ended runs are acknowledged. A worker that has restarted since would take the
// acknowledgement for one of its own ends, which have the same numbers. No restart and run is as short.
const maxAckAge = 100 * time.Millisecond

func (c *Cell) newRenewal(now time.Time, w *worker) medlarorder.Renew {
	renewal := medlarorder.Renew{Fence: w.fence}
	if w.reported && !w.incarnationUncertain {
		renewal.Wait = c.config.RenewalWait
		switch {
		case !w.hasPendingAck():
		case now.Sub(w.reportedAt) <= maxAckAge:
			renewal.AckedUpTo = w.lastAckedEnd
		default:
			// The report shows whether the worker has restarted, and the next renewal acknowledges its ends.
			renewal.Wait = 0
		}
	}
	switch {
	case c.isLeaseFixed(now, w):
		renewal.Wait = 0
	case !w.clockAt.IsZero() && !w.incarnationUncertain:
		// A renewal without a response may still have extended the lease. No extension is requested until the worker
		// responds, so that the end of its lease stays known.
		renewal.LeaseEnd = c.nextLeaseEnd(now, w)
		w.recordLease(renewal.LeaseEnd, &c.config)
	}
	return renewal
}

// requestReport asks a worker for a report at once, under a raised fencing token. Orders with lower tokens that arrive
// later have no effect.
func (c *Cell) requestReport(now time.Time, w *worker, r *run) {
	if w.reportRequested {
		r.resolveFence = w.fence + 1
		return
	}
	w.fence++
	r.resolveFence = w.fence
	w.reportRequested = true
	renewal := c.newRenewal(now, w)
	renewal.Wait = 0
	c.commands = append(c.commands, Command{
		Kind: CommandRenew, Worker: w.info.ID, Address: w.info.Address, OutOfBand: true, Renew: renewal,
	})
}

// applyReport processes a worker's report of ended and running tasks.
func (c *Cell) applyReport(now time.Time, w *worker, sentAt time.Time, renewal medlarorder.Renew, report medlarorder.Report) {
	if report.Incarnation < w.incarnation && report.Incarnation != 0 && (len(w.runs) > 0 || !now.After(w.leaseEnd)) {
		c.handleLowerIncarnation(now, w)
		return
	}
	if report.Incarnation != w.incarnation && report.Incarnation != 0 {
		c.handleRestart(now, w, report.Incarnation)
	} else {
		w.confirmedAck = max(w.confirmedAck, renewal.AckedUpTo)
	}
	if now.Sub(w.lastContact) >= c.config.ContactTimeout && !w.lastContact.IsZero() {
		c.emit(Event{Kind: EventWorkerResponsive, Worker: w.info.ID, Age: now.Sub(w.lastContact)})
	}
	c.recordResponse(now, w)
	w.disconnectedAt = time.Time{}
	c.silenceChanged = c.silenceChanged || c.isLeaseStored(w)
	w.recordClock(now, report.Clock)
	w.reportedAt = now
	w.incarnationUncertain = false
	mayReconcile := !w.reported || w.endsTruncated || w.hasUnknownTasks
	w.hasStrayRuns, w.hasUnknownTasks = false, !c.processEnds(now, w, report.Ended)
	w.endsTruncated = w.hasUnknownTasks || !report.HasAllEnds()
	if w.lastProcessedEnd > w.lastAckedEnd && !w.inUnackedList {
		w.inUnackedList = true
		c.unackedWorkers = append(c.unackedWorkers, w)
	}
	listed := make(map[*run]struct{}, len(report.Running))
	for i := range report.Running {
		if r := c.applyRunning(now, w, &report.Running[i]); r != nil {
			listed[r] = struct{}{}
		} else {
			w.hasStrayRuns = true
		}
	}
	if !w.endsTruncated {
		for _, r := range w.runs {
			if _, ok := listed[r]; !ok && r.isProvenMissing(sentAt, renewal.Fence) {
				c.markLost(now, r, lostMissing)
			}
		}
	}
	w.reported, w.allRunsKnown = true, true
	if mayReconcile {
		c.tryReconcile(now)
	}
	c.updateServingUtilisations(now, w)
	c.checkProgress(now, w)
	// While ended runs do not fit in a report, the next one shows no more before they are acknowledged.
	if !w.endsTruncated {
		c.resolveUncertainRuns(now, w)
	}
}

// processEnds processes the ended runs that were not processed before. It reports false if it had to stop at the run of an
// unknown submission. Until the cell is reconciled, one that the previous owner has started may still become known.
func (c *Cell) processEnds(now time.Time, w *worker, ends []medlarorder.Ended) bool {
	for i := range ends {
		e := &ends[i]
		if e.Number <= w.lastProcessedEnd {
			continue
		}
		if !c.reconciled && c.jobs[e.Task.Submission] == nil {
			return false
		}
		w.lastProcessedEnd = e.Number
		c.handleEnd(now, w, e)
	}
	return true
}

// handleLowerIncarnation handles a report of an incarnation with a lower number. Either the report is late, or the
// worker has started again after its clock was set back. Until the higher one reports again, no lease is extended and
// no ends are acknowledged, so that the runs end with their lease.
func (c *Cell) handleLowerIncarnation(now time.Time, w *worker) {
	if w.reported {
		w.extendLeaseBound(now.Add(c.leaseDurationBound(c.config.MaxLease)))
	}
	w.incarnationUncertain, w.reported = true, false
}

// isProvenMissing reports whether a report that was requested at sentAt, under fence, and does not list the run, proves
// that the run does not exist and never will.
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

// resolveUncertainRuns requests another report if runs are still uncertain.
func (c *Cell) resolveUncertainRuns(now time.Time, w *worker) {
	for _, r := range w.runs {
		if r.phase == runUncertain {
			c.requestReport(now, w, r)
			return
		}
	}
}

// applyRunning processes one running task of a report. It returns the run, or nil if the run is unknown and is ordered
// to stop.
func (c *Cell) applyRunning(now time.Time, w *worker, running *medlarorder.Running) *run {
	r := w.findRun(running.Task, running.Run)
	if r == nil {
		r = c.adopt(now, w, running)
	}
	if r == nil {
		if c.stopStray(now, w, running.Task, running.Run) {
			c.emit(Event{Kind: EventUnknownRunStopped, Task: running.Task, Run: running.Run, Worker: w.info.ID})
		}
		return nil
	}
	if r.phase != runConfirmed {
		c.confirm(now, r)
	}
	c.observeSurvival(now, r)
	r.progressPercent = max(r.progressPercent, running.Percent)
	if running.Checkpoint != "" {
		c.setCheckpoint(r.step, r.index, running.Checkpoint)
	}
	r.usage = unknownUsage
	if running.HasUsage {
		r.usage = running.Usage
	}
	return r
}

// adopt takes over a run that an earlier owner has started. It returns nil if the run is not needed.
func (c *Cell) adopt(now time.Time, w *worker, running *medlarorder.Running) *run {
	j := c.jobs[running.Task.Submission]
	if j == nil {
		w.hasUnknownTasks = true
		return nil
	}
	if j.state.IsFinal() {
		return nil
	}
	s, t := j.findTask(running.Task)
	c.queueCreated(now, j)
	if t == nil || t.done || running.Run <= t.lastEndedRun || len(t.runs) > 0 {
		return nil
	}
	t.lastRun = max(t.lastRun, running.Run)
	t.inheritedRun = nil
	r := newRun(now, w, s, running.Task.Index, running.Run)
	r.adopted, r.paceUncertain = true, s.spec.BestEffort
	r.hasMinimumShare = s.mayHaveMinimumShare() && !c.hasUnusedCPU(s, w)
	c.attach(r)
	if c.reconciled {
		c.emit(Event{Kind: EventTaskAdopted, Task: running.Task, Run: running.Run, Worker: w.info.ID})
	} else {
		c.adoptedTasks++
	}
	return r
}

// fullPace is the pace, in percent, of a run that is not throttled.
const fullPace = 100

// attach adds a run to its task and its worker.
func (c *Cell) attach(r *run) {
	t := r.task()
	t.waiting = false
	r.step.removeReady(r.index)
	c.needsCompaction = true
	if r.step.rank.Overdue > 0 && !r.hasMinimumShare {
		r.overdueService = r.job().submission.Service
		c.overdueCPU[r.overdueService] += r.step.spec.Size.MilliCPU
	}
	t.runs = append(t.runs, r)
	c.runs++
	r.job().addRun(r)
	r.worker.addRun(r)
	if r.hasMinimumShare {
		c.minimumShareRuns = append(c.minimumShareRuns, r)
	}
}

// confirm records that the worker has confirmed the run.
func (c *Cell) confirm(now time.Time, r *run) {
	if r.phase == runConfirmed {
		return
	}
	r.phase, r.confirmedAt = runConfirmed, now
	if r.step.spec.BestEffort {
		r.worker.shareHistory.startInterval(now, r)
	}
	if r.hasMinimumShare {
		c.setPace(now, r, minimumPace)
	}
	c.storeSuspectRun(r)
	j := r.job()
	j.hasOnlyMinimumShares = r.hasMinimumShare && (j.hasOnlyMinimumShares || !j.started)
	if !j.started {
		c.markStarted(j)
		c.emit(Event{
			Kind: EventFirstStart, Submission: j.submission.ID, Route: j.submission.Route, Worker: r.worker.info.ID,
			Age: now.Sub(j.submission.AcceptedAt), Predicted: j.predictedWait,
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
			c.runs--
			r.job().endRun(now, r)
			break
		}
	}
	r.worker.removeRun(r)
	if r.hasMinimumShare {
		c.removeMinimumShare(r)
	}
	if r.overdueService != "" {
		c.overdueCPU[r.overdueService] -= r.step.spec.Size.MilliCPU
	}
	c.storeSuspectRun(r)
	c.failureCache.workerChanged(r.worker)
	if j := r.job(); j.state.IsFinal() {
		j.charge()
	}
}

// markLost removes a run that cannot be running any more, and requeues its task.
func (c *Cell) markLost(now time.Time, r *run, reason string) {
	if r.pendingCrash != nil {
		c.recordCrash(now, r.step, r.index, *r.pendingCrash, now.Sub(r.sentAt))
		c.assess(now, r.step, r.index)
	}
	c.detach(now, r)
	t := r.task()
	t.lastEndedRun = max(t.lastEndedRun, r.number)
	t.lostAt = r.worker.lastContact
	c.emit(Event{Kind: EventTaskLost, Task: r.name(), Run: r.number, Worker: r.worker.info.ID, Reason: reason, Age: now.Sub(r.sentAt)})
	c.requeue(now, r.step, r.index)
}

// requeue makes a task wait for a worker again, unless it is done, has another run, or waits for its crashes to be stored.
func (c *Cell) requeue(now time.Time, s *step, index int) {
	t := &s.tasks[index]
	if t.done || t.waiting || t.crashesUnstored || len(t.runs) > 0 || s.occurrence.job.state.IsFinal() {
		return
	}
	t.waiting = true
	s.ready = append(s.ready, index)
	c.enqueue(now, s)
}

// enqueue adds a step with waiting tasks to the queue.
func (c *Cell) enqueue(now time.Time, s *step) {
	if s.queued || len(s.ready) == 0 || s.unmetDependencies > 0 || s.occurrence.job.state.IsFinal() {
		return
	}
	s.queued, s.readySince = true, now
	if s.failure == nil {
		c.failureCache.setEntries(s)
	}
	c.unranked = append(c.unranked, s)
}
