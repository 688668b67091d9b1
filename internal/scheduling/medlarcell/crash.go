package medlarcell

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// Crash is a run under which a worker crashed, or went silent until its lease must have ended.
type Crash struct {
	Run         medlarorder.RunNumber   `json:"run"`
	Worker      medlarwheel.WorkerID    `json:"worker"`
	Incarnation medlarorder.Incarnation `json:"life,omitempty"`
	Address     string                  `json:"address,omitempty"`
	// Confirmed is true if another process is known to have taken the worker's place. Otherwise the worker may have been
	// unreachable.
	Confirmed bool `json:"confirmed,omitempty"`
	// Started is true if the worker has confirmed the start of the run.
	Started bool `json:"started,omitempty"`
	// Prompt is true if the worker stopped responding right after the start of the run, and Alone if no run of another
	// submission was started there at that time.
	Prompt bool `json:"prompt,omitempty"`
	Alone  bool `json:"alone,omitempty"`
	// Closed is true if the worker's connections were closed right after the start of the run was sent. A worker that falls
	// silent may end the run before it crashes.
	Closed bool `json:"closed,omitempty"`
}

const (
	// promptCrashTime is how long a run has been reported at most if its start may have caused the crash of its worker.
	promptCrashTime = 250 * time.Millisecond
	// crashProbation is how long a run has to be reported until its task is no longer suspected.
	crashProbation = 10 * time.Second
	// certainCrashes is the number of crashes, each right after a start of the task, that the task is blamed for.
	certainCrashes = 2
	// ambiguousCrashes is the number of crashes that the task is blamed for although others may have caused each of them.
	ambiguousCrashes = 3
	// maxCrashes is the number of confirmed crashes, or of workers lost right after a start of the task, that the task is
	// blamed for in any case. No more crashes of a task are kept.
	maxCrashes = 4
)

// recordCrashes records that this incarnation of a worker has crashed, or was silent until its lease must have ended. It
// is called before the runs are marked as lost.
func (c *Cell) recordCrashes(now time.Time, w *worker, incarnation medlarorder.Incarnation, reason string) {
	if w.info.Draining {
		// A draining worker terminates what still runs on it when it leaves.
		return
	}
	restarted := reason == lostRestart
	submissions := map[*job]struct{}{}
	for _, r := range w.runs {
		if r.isPrompt() {
			submissions[r.job()] = struct{}{}
		}
	}
	var suspects []*run
	for _, r := range w.runs {
		if r.reportedFor() >= crashProbation || r.job().state.IsFinal() || r.task().done {
			continue
		}
		crash := r.crashOf(incarnation)
		crash.Confirmed, crash.Prompt, crash.Alone, crash.Closed = restarted, r.isPrompt(), r.isPrompt() && len(submissions) == 1, r.isClosedPromptly()
		if restarted && !r.isReported() {
			// The new incarnation may have accepted the run.
			r.pendingCrash = &crash
			continue
		}
		suspects = append(suspects, r)
		c.recordCrash(now, r.step, r.index, crash, now.Sub(r.sentAt))
	}
	// The task with the strongest evidence is assessed first, because that may clear the others.
	slices.SortFunc(suspects, func(a, b *run) int {
		_, promptA, aloneA := countCrashes(a.task().crashes)
		_, promptB, aloneB := countCrashes(b.task().crashes)
		return cmp.Or(cmp.Compare(promptB, promptA), cmp.Compare(aloneB, aloneA), cmp.Compare(a.name().String(), b.name().String()))
	})
	for _, r := range suspects {
		c.assess(now, r.step, r.index)
	}
}

// crashOf returns the crash of an incarnation of the run's worker under the run.
func (r *run) crashOf(incarnation medlarorder.Incarnation) Crash {
	return Crash{
		Run: r.number, Worker: r.worker.info.ID, Incarnation: incarnation, Address: r.worker.info.Address, Started: r.phase == runConfirmed,
	}
}

// reportedFor returns how long the reports of the worker have listed the run.
func (r *run) reportedFor() time.Duration {
	if !r.isReported() {
		return 0
	}
	return r.reportedAt.Sub(r.confirmedAt)
}

// isPrompt reports whether the start of the run may be what its worker has crashed of.
func (r *run) isPrompt() bool { return !r.adopted && r.reportedFor() < promptCrashTime }

// isClosedPromptly reports whether the worker's connections were closed right after the start of the run was sent, be it before its
// response. The time is counted from the order, since a slow owner may process the response late.
func (r *run) isClosedPromptly() bool {
	closedAt := r.worker.disconnectedAt
	return !closedAt.Before(r.sentAt) && closedAt.Sub(r.sentAt) < promptCrashTime
}

// recordDisconnect records that a call to a worker has failed because its connections are closed.
func (w *worker) recordDisconnect(now time.Time, err error) {
	if w.disconnectedAt.IsZero() && medlarwheel.IsDisconnect(err) {
		w.disconnectedAt = now
	}
}

// recordCrash records a crash under a run that was started the given time ago, or zero if that is unknown.
func (c *Cell) recordCrash(now time.Time, s *step, index int, crash Crash, age time.Duration) {
	t := &s.tasks[index]
	if slices.ContainsFunc(t.crashes, func(k Crash) bool { return k.Run == crash.Run }) {
		return
	}
	t.crashes = append(t.crashes, crash)
	c.confirmCrashes(t)
	t.limitCrashes()
	if t.isSuspect() {
		c.markTaskDirty(s, index)
		if len(t.crashes) > 1 || t.crashes[0].Confirmed && t.crashes[0].Started {
			c.holdUntilStored(now, s, index)
		}
	}
	if len(t.crashes) > 1 {
		c.emit(Event{
			Kind: EventTaskSuspected, Task: s.name(index), Run: crash.Run, Worker: crash.Worker, Count: len(t.crashes), Reason: describeCrashes(t.crashes),
			Age: age,
		})
	}
}

// assess fails the submission of a task that is to blame for the crashes of its workers.
func (c *Cell) assess(now time.Time, s *step, index int) {
	j, t := s.occurrence.job, &s.tasks[index]
	if j.state.IsFinal() || !isBlamed(t.crashes) {
		return
	}
	c.clearOthers(j, t.crashes)
	last := t.crashes[len(t.crashes)-1]
	c.finish(now, j, medlarsubmission.StateFailed)
	c.emit(Event{
		Kind: EventFailed, Submission: j.submission.ID, Route: j.submission.Route, Task: s.name(index), Run: last.Run, Worker: last.Worker,
		Reason: "crashed its workers: " + describeCrashes(t.crashes), Age: now.Sub(j.submission.AcceptedAt),
	})
}

// clearOthers removes the crashes that a task is blamed for from the records of other submissions.
func (c *Cell) clearOthers(blamed *job, crashes []Crash) {
	for _, j := range c.jobs {
		if j == blamed || j.state.IsFinal() {
			continue
		}
		j.forEachTask(func(s *step, index int) {
			t := &s.tasks[index]
			n := len(t.crashes)
			t.crashes = slices.DeleteFunc(t.crashes, func(crash Crash) bool {
				return slices.ContainsFunc(crashes, func(own Crash) bool {
					return own.Prompt && own.Worker == crash.Worker && own.Incarnation == crash.Incarnation
				})
			})
			if len(t.crashes) < n {
				c.markTaskDirty(s, index)
			}
		})
	}
}

// countInheritedRuns records a crash for each run of a suspect that an earlier owner has started, that neither runs nor has
// ended, and whose worker is gone: the earlier owner may have died before it noticed.
func (c *Cell) countInheritedRuns(now time.Time) {
	for _, j := range c.jobs {
		if !j.inheritedSuspects || j.state.IsFinal() {
			continue
		}
		j.forEachTask(func(s *step, index int) {
			t := &s.tasks[index]
			if t.inheritedRun == nil || t.done || j.state.IsFinal() {
				return
			}
			crash := *t.inheritedRun
			t.inheritedRun = nil
			if w := c.workers[crash.Worker]; w != nil && w.reported {
				if w.incarnation == crash.Incarnation {
					return
				}
				crash.Confirmed = true
			}
			c.recordCrash(now, s, index, crash, 0)
			c.assess(now, s, index)
		})
	}
}

// suspectRun returns the crash that the next owner records if the run of the suspect neither runs nor has ended by then, or
// nil if no run is known to have been accepted.
func (t *task) suspectRun() *Crash {
	for _, r := range t.runs {
		if r.suspect && r.phase == runConfirmed {
			crash := r.crashOf(r.worker.incarnation)
			return &crash
		}
	}
	return t.inheritedRun
}

// storeSuspectRun stores that a run of a suspect has been confirmed or has ended.
func (c *Cell) storeSuspectRun(r *run) {
	if r.suspect && r.phase == runConfirmed && !r.job().state.IsFinal() {
		c.markTaskDirty(r.step, r.index)
	}
}

// isSuspect reports whether the next run of the task may crash its worker. A single crash long after the start of the
// run says little, since one crash hits all runs on the worker.
func (t *task) isSuspect() bool {
	return len(t.crashes) > 1 || len(t.crashes) == 1 && t.crashes[0].Prompt
}

// isBlamed reports whether the task is the cause of the crashes, or of so many that it may not be started again. A worker that
// fell silent before it crashed may have ended the run, and one that fell silent some time after a start may only have been
// unreachable. A start without a response may not have reached its worker, so that it takes maxCrashes of them.
func isBlamed(crashes []Crash) bool {
	confirmed, prompt, alone := countCrashes(crashes)
	closed, closedAlone, closedForGood, lostAtStart, lostResponses := 0, 0, 0, 0, 0
	for _, crash := range crashes {
		if !crash.Prompt {
			continue
		}
		if !crash.Started {
			if crash.Confirmed && crash.Closed {
				lostResponses++
			}
			continue
		}
		lostAtStart++
		switch {
		case crash.Closed && !crash.Confirmed:
			closedForGood++
		case crash.Closed:
			closed++
			if crash.Alone {
				closedAlone++
			}
		}
	}
	switch {
	case closed >= certainCrashes && (closedAlone > 0 || confirmed+closedForGood >= ambiguousCrashes):
		return true
	case alone > 0 && prompt+closedForGood >= ambiguousCrashes:
		return true
	default:
		return max(confirmed+lostResponses, lostAtStart) >= maxCrashes
	}
}

// limitCrashes drops the weakest evidence, the oldest first, if there are more than maxCrashes crashes.
func (t *task) limitCrashes() {
	if len(t.crashes) <= maxCrashes {
		return
	}
	weakest := slices.MinFunc(t.crashes, func(a, b Crash) int { return cmp.Compare(a.evidence(), b.evidence()) })
	i := slices.Index(t.crashes, weakest)
	t.crashes = slices.Delete(t.crashes, i, i+1)
}

// evidence counts the facts that point to the task as the cause of the crash.
func (k Crash) evidence() (n int) {
	for _, fact := range []bool{k.Confirmed, k.Started, k.Prompt, k.Closed} {
		if fact {
			n++
		}
	}
	return n
}

// isReservedForSuspect reports whether a suspect of another submission was started on the worker just now. Nothing else is
// started there until a report shows that the worker has survived, so that a crash tells which task is the cause.
func (w *worker) isReservedForSuspect(j *job) bool {
	if w.suspectRuns == 0 {
		return false
	}
	for _, r := range w.runs {
		if r.suspect && r.isPrompt() && r.job() != j {
			return true
		}
	}
	return false
}

// crashExposure returns the used share of the worker's CPU, which a crash would interrupt, and one more if another run
// was started there just now, which could be the cause of a crash as well.
func (w *worker) crashExposure() float64 {
	exposure := float64(w.committed.MilliCPU+w.bestEffortCPU) / float64(max(1, w.info.Capacity.MilliCPU))
	for _, r := range w.runs {
		if r.isPrompt() {
			return exposure + 1
		}
	}
	return exposure
}

// holdUntilStored keeps a suspect from being started until its crashes are stored, since the next owner would not know
// their count.
func (c *Cell) holdUntilStored(now time.Time, s *step, index int) {
	j, t := s.occurrence.job, &s.tasks[index]
	c.markTaskDirty(s, index)
	t.waiting, t.crashesUnstored, t.heldSince, j.crashesUnstored = false, true, now, true
	s.removeReady(index)
	c.needsCompaction = true
}

// releaseSuspects requeues the tasks of a segment whose crashes are stored now.
func (c *Cell) releaseSuspects(now time.Time, g *segment) {
	if !g.job.crashesUnstored || g.dirty {
		return
	}
	g.forEachTask(func(s *step, index int) {
		if t := &s.tasks[index]; t.crashesUnstored {
			t.crashesUnstored = false
			c.requeue(now, s, index)
		}
	})
}

// limitCrashes keeps the records of the tasks with the most crashes, up to the given size.
func (p *Progress) limitCrashes(size int) {
	keys := slices.SortedFunc(maps.Keys(p.Crashes), func(a, b string) int {
		return cmp.Or(cmp.Compare(len(p.Crashes[b]), len(p.Crashes[a])), cmp.Compare(a, b))
	})
	for _, key := range keys {
		size -= 2*maxTaskKeyBytes + crashesBytes(p.Crashes[key])
		if run, ok := p.SuspectRuns[key]; ok {
			size -= run.bytes()
		}
		if size < 0 {
			delete(p.Crashes, key)
			delete(p.SuspectRuns, key)
		}
	}
}

// confirmCrashes confirms the crashes of workers whose address another worker has registered since.
func (c *Cell) confirmCrashes(t *task) {
	for i := range t.crashes {
		crash := &t.crashes[i]
		if crash.Confirmed || crash.Address == "" {
			continue
		}
		for id, w := range c.workers {
			if id != crash.Worker && w.info.Address == crash.Address {
				crash.Confirmed = true
				break
			}
		}
	}
}

// describeCrashes returns the evidence that the task is what crashes its workers.
func describeCrashes(crashes []Crash) string {
	confirmed, prompt, alone := countCrashes(crashes)
	return fmt.Sprintf("confirmed %d, right after the start %d, alone %d", confirmed, prompt, alone)
}

// countCrashes counts the confirmed crashes, those of them right after the start of the run, and those of the latter with
// no other suspect.
func countCrashes(crashes []Crash) (confirmed, prompt, alone int) {
	for _, crash := range crashes {
		if !crash.Confirmed || !crash.Started {
			continue
		}
		confirmed++
		if crash.Prompt {
			prompt++
		}
		if crash.Alone {
			alone++
		}
	}
	return confirmed, prompt, alone
}

// withdrawCrash removes the record of a crash, because the worker had the run after all.
func (c *Cell) withdrawCrash(s *step, index int, number medlarorder.RunNumber) {
	t := &s.tasks[index]
	if t.inheritedRun != nil && t.inheritedRun.Run <= number {
		t.inheritedRun = nil
	}
	n := len(t.crashes)
	t.crashes = slices.DeleteFunc(t.crashes, func(crash Crash) bool {
		return crash.Run == number
	})
	if len(t.crashes) < n {
		c.markTaskDirty(s, index)
	}
}

// observeSurvival clears the task of earlier crashes once a run of it has been reported for long enough. A worker that
// lists a run has not crashed under it.
func (c *Cell) observeSurvival(now time.Time, r *run) {
	r.reportedAt, r.pendingCrash = now, nil
	t := r.task()
	if len(t.crashes) == 0 {
		return
	}
	if r.reportedFor() < crashProbation {
		c.withdrawCrash(r.step, r.index, r.number)
		return
	}
	t.crashes = nil
	c.markTaskDirty(r.step, r.index)
}
