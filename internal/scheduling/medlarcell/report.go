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

// Reported takes in the result of a hold that was sent at sentAt. It orders the next one.
func (c *Cell) Reported(now time.Time, id medlarwheel.WorkerID, extra bool, sentAt time.Time, h medlarorder.Renew, report medlarorder.Report, err error) {
	w := c.workers[id]
	if w == nil {
		return
	}
	if extra {
		w.settling = false
	} else {
		w.holding = false
	}
	delay := time.Duration(0)
	switch {
	case err != nil:
		c.unanswered(now, w)
		delay = c.config.HoldRetry
	case report.Verdict == medlarorder.VerdictFenced:
		c.fencedOff(now, w, h.Fence)
		delay = c.config.HoldRetry
	case report.Verdict != medlarorder.VerdictAccepted:
		delay = c.config.HoldRetry
	default:
		c.take(now, w, sentAt, h, report)
	}
	if extra {
		return
	}
	if err == nil && w.processed > w.acked {
		c.held = append(c.held, w)
		// A worker answers at once while it lists ends, so the next renewal waits until they are acknowledged.
		w.holdDue = now.Add(c.config.AckWait)
		return
	}
	c.hold(now, w, delay)
}

// holdAcked orders the renewals that have waited for ends to be acknowledged, or for long enough.
func (c *Cell) holdAcked(now time.Time) {
	c.held = slices.DeleteFunc(c.held, func(w *worker) bool {
		if !w.holdDue.IsZero() && (w.processed == w.acked || !now.Before(w.holdDue)) {
			c.hold(now, w, 0)
		}
		return w.holdDue.IsZero()
	})
}

func (c *Cell) unanswered(now time.Time, w *worker) {
	if !w.contact.IsZero() && now.Sub(w.contact) >= c.config.ContactTimeout && now.Sub(w.contact) < c.config.ContactTimeout+c.config.HoldRetry {
		c.note(Note{Kind: NoteWorkerSilent, Worker: w.info.ID, Age: now.Sub(w.contact), Count: len(w.runs)})
	}
	w.lifeUnsure = true
	w.reported = w.reported && now.Sub(w.contact) < c.config.ContactTimeout
}

// fencedOff handles a worker that has seen a higher token than fence. Either another instance owns the cell, or this one
// has raised the worker's token in an earlier life of its entry; the table knows.
func (c *Cell) fencedOff(now time.Time, w *worker, fence medlarwheel.FencingToken) {
	if fence < w.fence || w.fencedOff {
		return
	}
	w.fencedOff, w.fencedAt = true, now
	c.doubtful++
	c.note(Note{Kind: NoteFenced, Worker: w.info.ID, Count: int(fence - c.fence)})
}

// IsDoubtful reports whether a worker has seen a higher token, so that the ownership is to be confirmed at once.
func (c *Cell) IsDoubtful() bool { return c.doubtful > 0 }

// clearDoubt notes that the ownership is confirmed towards a worker, or that the worker has gone.
func (c *Cell) clearDoubt(w *worker) {
	if w.fencedOff {
		w.fencedOff = false
		c.doubtful--
	}
}

// fenceJump is by how much the token of a worker is raised that has seen a higher one of the same owner.
const fenceJump = 64

// Confirmed notes that this owner has written to the table, under the condition of its ownership, at sentAt.
func (c *Cell) Confirmed(now, sentAt time.Time) {
	if !c.IsDoubtful() {
		return
	}
	for _, w := range c.workers {
		if !w.fencedOff || !sentAt.After(w.fencedAt) {
			continue
		}
		c.clearDoubt(w)
		c.misses.changed(w)
		w.fence += fenceJump
		c.settleRest(now, w)
	}
}

// hold orders the next renewal of a worker's lease.
func (c *Cell) hold(now time.Time, w *worker, delay time.Duration) {
	if w.holding {
		return
	}
	w.holding, w.holdDue = true, time.Time{}
	c.commands = append(c.commands, Command{
		Kind: CommandHold, Worker: w.info.ID, Address: w.info.Address, Delay: delay, Hold: c.renewal(now.Add(delay), w),
	})
}

func (c *Cell) renewal(now time.Time, w *worker) medlarorder.Renew {
	h := medlarorder.Renew{Fence: w.fence}
	if w.reported && !w.lifeUnsure {
		// Ends are acknowledged only towards the life that has listed them.
		h.AckedUpTo, h.Wait = w.acked, c.config.HoldWait
	}
	if !w.clockAt.IsZero() && !w.lifeUnsure {
		// An unanswered renewal may still have extended the lease. Until the worker answers, none is asked for, so that
		// the end of its lease is known.
		h.LeaseEnd = c.leaseOf(now, w)
		w.granted(h.LeaseEnd, &c.config)
	}
	return h
}

// settle asks a worker at once, under a raised token, for its lists. Orders with lower tokens then have no later effect.
func (c *Cell) settle(now time.Time, w *worker, r *run) {
	if w.settling {
		r.settleFence = w.fence + 1
		return
	}
	w.fence++
	r.settleFence = w.fence
	w.settling = true
	h := c.renewal(now, w)
	h.Wait = 0
	c.commands = append(c.commands, Command{
		Kind: CommandHold, Worker: w.info.ID, Address: w.info.Address, Extra: true, Hold: h,
	})
}

// take takes in the lists of a worker.
func (c *Cell) take(now time.Time, w *worker, sentAt time.Time, h medlarorder.Renew, report medlarorder.Report) {
	if report.Incarnation < w.life && report.Incarnation != 0 {
		return
	}
	if report.Incarnation != w.life && report.Incarnation != 0 {
		c.restarted(now, w, report.Incarnation)
	}
	if now.Sub(w.contact) >= c.config.ContactTimeout && !w.contact.IsZero() {
		c.note(Note{Kind: NoteWorkerBack, Worker: w.info.ID, Age: now.Sub(w.contact)})
	}
	c.heard(now, w, report.Clock)
	w.lifeUnsure = false
	first := !w.reported
	for i := range report.Ended {
		if e := &report.Ended[i]; e.Number > w.processed {
			w.processed = e.Number
			c.ended(now, w, e)
		}
	}
	if w.processed > w.acked && !w.isUnacked {
		w.isUnacked = true
		c.unacked = append(c.unacked, w)
	}
	listed := make(map[*run]struct{}, len(report.Running))
	for i := range report.Running {
		if r := c.listed(now, w, &report.Running[i]); r != nil {
			listed[r] = struct{}{}
		}
	}
	for r := range w.runs {
		if _, ok := listed[r]; !ok && r.isMissing(sentAt, h.Fence) {
			c.lose(now, r, lostMissing)
		}
	}
	w.reported = true
	if first {
		c.trySettle(now)
	}
	c.observe(now, w)
	c.checkProgress(now, w)
	c.settleRest(now, w)
}

// isMissing reports whether a list that was asked for at sentAt, under fence, says that the run is not there for good.
func (r *run) isMissing(sentAt time.Time, fence medlarwheel.FencingToken) bool {
	switch r.phase {
	case runConfirmed:
		return sentAt.After(r.confirmedAt)
	case runUncertain:
		return fence >= r.settleFence
	default:
		return false
	}
}

// settleRest asks again for uncertain runs that this report did not settle.
func (c *Cell) settleRest(now time.Time, w *worker) {
	for r := range w.runs {
		if r.phase == runUncertain {
			c.settle(now, w, r)
			return
		}
	}
}

// listed takes in one running task of a worker. It returns the run, or nil if it is to be stopped.
func (c *Cell) listed(now time.Time, w *worker, l *medlarorder.Running) *run {
	r := w.find(l.Task, l.Run)
	if r == nil {
		r = c.adopt(now, w, l)
	}
	if r == nil {
		c.commands = append(c.commands, Command{
			Kind: CommandStop, Worker: w.info.ID, Address: w.info.Address,
			Stop: medlarorder.Stop{Task: l.Task, Run: l.Run, Fence: w.fence},
		})
		c.note(Note{Kind: NoteStrayStopped, Task: l.Task, Run: l.Run, Worker: w.info.ID})
		return nil
	}
	if r.phase != runConfirmed {
		c.confirm(now, r)
	}
	r.percent = max(r.percent, l.Percent)
	r.saved = l.Checkpoint
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
	s, t := j.taskOf(l.Task)
	if t == nil || t.done || l.Run <= t.endedRun || len(t.runs) > 0 {
		return nil
	}
	t.lastRun = max(t.lastRun, l.Run)
	r := &run{step: s, index: l.Task.Index, number: l.Run, worker: w, sentAt: now, pace: fullPace}
	c.begin(r)
	if c.settled {
		c.note(Note{Kind: NoteTaskAdopted, Task: l.Task, Run: l.Run, Worker: w.info.ID})
	} else {
		c.adopted++
	}
	return r
}

// fullPace is the pace of a run that is not slowed, in percent.
const fullPace = 100

// begin attaches a run to its task and its worker.
func (c *Cell) begin(r *run) {
	t := r.task()
	t.waiting = false
	r.step.removeReady(r.index)
	c.hasIdle = true
	t.runs = append(t.runs, r)
	r.worker.add(r)
}

// confirm notes that the worker has the run.
func (c *Cell) confirm(now time.Time, r *run) {
	if r.phase == runConfirmed {
		return
	}
	r.phase, r.confirmedAt = runConfirmed, now
	if r.step.spec.Fills {
		r.worker.history.start(now, r)
	}
	j := r.job()
	if !j.started {
		c.markStarted(j)
		c.note(Note{
			Kind: NoteFirstStart, Submission: j.submission.ID, Route: j.submission.Route, Worker: r.worker.info.ID,
			Age: now.Sub(j.submission.AcceptedAt),
		})
	}
}

// detach removes a run from its task and its worker.
func (c *Cell) detach(now time.Time, r *run) {
	r.worker.history.end(now, r)
	t := r.task()
	for i, other := range t.runs {
		if other == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			break
		}
	}
	r.worker.remove(r)
	c.misses.changed(r.worker)
}

// lose gives up a run that can't be running any more, and puts its task back into the queue.
func (c *Cell) lose(now time.Time, r *run, reason string) {
	c.detach(now, r)
	t := r.task()
	t.endedRun = max(t.endedRun, r.number)
	c.note(Note{Kind: NoteTaskLost, Task: r.name(), Run: r.number, Worker: r.worker.info.ID, Reason: reason, Age: now.Sub(r.sentAt)})
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
	if s.queued || len(s.ready) == 0 || s.blockers > 0 || s.occurrence.job.state.IsFinal() {
		return
	}
	s.queued, s.readySince = true, now
	if s.miss == nil {
		s.miss = c.misses.of(s)
	}
	c.fresh = append(c.fresh, s)
}
