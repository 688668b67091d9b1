package medlarcell

import (
	"time"

	"medlarwheel"
	"medlarwheel/internal/execution/medlarorder"
)

// Started takes in the answer to a start.
func (c *Cell) Started(now time.Time, id medlarwheel.WorkerID, s medlarorder.Start, answer medlarorder.Response, err error) {
	w := c.workers[id]
	if w == nil {
		return
	}
	r := w.find(s.Task, s.Run)
	if r == nil {
		return
	}
	if err != nil {
		c.startFailed(now, w, r, err)
		return
	}
	if answer.Clock > 0 {
		c.heard(now, w, answer.Clock)
	}
	switch answer.Verdict {
	case medlarorder.VerdictAccepted:
		if r.phase == runSent {
			c.confirm(now, r)
		}
		return
	case medlarorder.VerdictFenced:
		c.fencedOff(now, w, s.Fence)
	case medlarorder.VerdictNoCapacity, medlarorder.VerdictUnhealthy:
		w.pausedTo = now.Add(c.config.UnhealthyPause)
	case medlarorder.VerdictOtherIncarnation:
		w.reported = false
	case medlarorder.VerdictSuperseded:
		r.task().lastRun += runsAfterOld
	}
	c.rejected(now, r, string(answer.Verdict))
}

// runsAfterOld is the number of run numbers that are skipped after a worker has called one old.
const runsAfterOld = 16

// rejected puts a task back whose start the worker has refused without effect.
func (c *Cell) rejected(now time.Time, r *run, reason string) {
	if r.phase == runConfirmed {
		return
	}
	c.note(Note{Kind: NoteStartRejected, Task: r.name(), Run: r.number, Worker: r.worker.info.ID, Reason: reason, Age: now.Sub(r.sentAt)})
	c.detach(now, r)
	c.requeue(now, r.step, r.index)
}

// startFailed handles a start without an answer.
func (c *Cell) startFailed(now time.Time, w *worker, r *run, err error) {
	if r.phase == runConfirmed {
		return
	}
	if medlarwheel.HasNoEffect(err) {
		w.pausedTo = now.Add(c.config.UnhealthyPause)
		c.rejected(now, r, err.Error())
		return
	}
	c.note(Note{Kind: NoteStartUncertain, Task: r.name(), Run: r.number, Worker: w.info.ID, Reason: err.Error(), Age: now.Sub(r.sentAt)})
	r.phase = runUncertain
	c.settle(now, w, r)
}

// Stopped takes in the answer to a stop. A stop without effect is repeated by Tick.
func (c *Cell) Stopped(now time.Time, id medlarwheel.WorkerID, s medlarorder.Stop, answer medlarorder.Response, err error) {
	w := c.workers[id]
	if w == nil || err != nil {
		return
	}
	if answer.Clock > 0 {
		c.heard(now, w, answer.Clock)
	}
	if answer.Verdict == medlarorder.VerdictFenced {
		c.fencedOff(now, w, s.Fence)
	}
}

// stop orders a run to stop. Its room stays taken until the worker lists its end.
func (c *Cell) stop(now time.Time, r *run) {
	if r.stopping {
		return
	}
	r.stopping = true
	// A stopping run no longer counts in the levels of the serving tasks beside it.
	r.worker.roomsStale = true
	c.misses.changed(r.worker)
	c.sendStop(now, r)
}

func (c *Cell) sendStop(now time.Time, r *run) {
	r.stopSentAt = now
	c.commands = append(c.commands, Command{
		Kind: CommandStop, Worker: r.worker.info.ID, Address: r.worker.info.Address,
		Stop: medlarorder.Stop{Task: r.name(), Run: r.number, Fence: r.worker.fence},
	})
}
