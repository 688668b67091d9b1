package medlarcell

import (
	"fmt"
	"slices"
	"time"

	"medlarwheel"
	"medlarwheel/internal/execution/medlarorder"
)

// Crash is a run under which a worker crashed, or went silent until its lease must have ended.
type Crash struct {
	Run     medlarorder.RunNumber `json:"run"`
	Worker  medlarwheel.WorkerID  `json:"worker"`
	Address string                `json:"address,omitempty"`
	// Confirmed is true if another process is known to have taken the worker's place. Otherwise the worker may have been
	// unreachable.
	Confirmed bool `json:"confirmed,omitempty"`
	// Started is true if the worker has confirmed the start of the run.
	Started bool `json:"started,omitempty"`
	// Prompt is true if the worker stopped responding right after the start of the run, and Alone if no run of another
	// submission was started there at that time.
	Prompt bool `json:"prompt,omitempty"`
	Alone  bool `json:"alone,omitempty"`
}

const (
	// promptCrashTime is how long a run has been reported at most if its start may have caused the crash of its worker.
	promptCrashTime = time.Second
	// crashProbation is how long a run has to be reported until its task is no longer suspected.
	crashProbation = 10 * time.Second
	// maxCrashes bounds the records of one task.
	maxCrashes = 5
)

// recordCrashes records that a worker with these runs has crashed or was silent until its lease must have ended. It is
// called before the runs are marked as lost.
func (c *Cell) recordCrashes(now time.Time, w *worker, reason string) {
	if w.info.Draining {
		// A draining worker terminates what still runs on it when it leaves.
		return
	}
	restarted := reason == lostRestart
	submissions := map[*job]struct{}{}
	for r := range w.runs {
		if r.isPrompt() {
			submissions[r.job()] = struct{}{}
		}
	}
	for r := range w.runs {
		if r.reportedFor() >= crashProbation || r.step.occurrence.job.state.IsFinal() {
			continue
		}
		c.recordCrash(now, r, Crash{
			Run: r.number, Worker: w.info.ID, Address: w.info.Address, Confirmed: restarted,
			Started: r.phase == runConfirmed, Prompt: r.isPrompt(), Alone: r.isPrompt() && len(submissions) == 1,
		})
	}
}

// reportedFor returns how long the reports of the worker have listed the run.
func (r *run) reportedFor() time.Duration {
	if r.reportedAt.IsZero() {
		return 0
	}
	return r.reportedAt.Sub(r.confirmedAt)
}

// isPrompt reports whether the start of the run may be what its worker has crashed of.
func (r *run) isPrompt() bool { return !r.adopted && r.reportedFor() < promptCrashTime }

func (c *Cell) recordCrash(now time.Time, r *run, crash Crash) {
	t := r.task()
	if t.done || len(t.crashes) >= maxCrashes || slices.ContainsFunc(t.crashes, func(k Crash) bool { return k.Run == crash.Run }) {
		return
	}
	t.crashes = append(t.crashes, crash)
	c.confirmCrashes(t)
	if len(t.crashes) > 1 {
		c.emit(Event{
			Kind: EventTaskSuspected, Task: r.name(), Run: r.number, Worker: crash.Worker, Count: len(t.crashes), Reason: describeCrashes(t.crashes),
			Age: now.Sub(r.sentAt),
		})
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
func (t *task) withdrawCrash(number medlarorder.RunNumber) {
	t.crashes = slices.DeleteFunc(t.crashes, func(crash Crash) bool { return crash.Run == number })
}

// observeSurvival clears the task of earlier crashes once a run of it has been reported for long enough. A worker that
// lists a run has not crashed under it.
func (r *run) observeSurvival(now time.Time) {
	r.reportedAt = now
	t := r.task()
	if r.reportedFor() >= crashProbation {
		t.crashes = nil
	}
	t.withdrawCrash(r.number)
}
