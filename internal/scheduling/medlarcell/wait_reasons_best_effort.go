package medlarcell

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"medlarwheel/internal/scheduling/medlarrank"
)

// maxBestEffortWaits bounds the number of best-effort submissions whose wait is explained at a time.
const maxBestEffortWaits = 3

// emitBestEffortWaits emits why the best-effort submissions that were accepted first have nothing running although the turn of one
// of their steps has come. It looks at the submissions rather than the queue, so that a step that is missing in the queue shows.
func (c *Cell) emitBestEffortWaits(now time.Time) {
	waiting := c.waitingBestEffortSteps(now)
	if len(waiting) == 0 {
		return
	}
	expired := 0
	for _, s := range waiting {
		if now.After(s.occurrence.hardDeadline()) {
			expired++
		}
	}
	for _, s := range waiting[:min(len(waiting), maxBestEffortWaits)] {
		c.emit(Event{
			Kind: EventBestEffortWaiting, Task: s.name(s.ready[0]), Count: len(s.ready), Age: now.Sub(s.occurrence.job.submission.AcceptedAt),
			Reason: fmt.Sprintf("%s; submissions like it %d, past their hard deadline %d", c.bestEffortWaitReason(now, s), len(waiting), expired),
		})
	}
}

// waitingBestEffortSteps returns the first waiting best-effort step of each submission that has no run and has waited for
// waitEventDelay, in the order of acceptance.
func (c *Cell) waitingBestEffortSteps(now time.Time) []*step {
	var waiting []*step
	for _, j := range c.jobs {
		if s := j.firstWaitingStep(now); s != nil && s.spec.BestEffort && now.Sub(s.waitsSince(&s.tasks[s.ready[0]])) >= waitEventDelay {
			waiting = append(waiting, s)
		}
	}
	slices.SortFunc(waiting, func(a, b *step) int {
		first, second := &a.occurrence.job.submission, &b.occurrence.job.submission
		return cmp.Or(first.AcceptedAt.Compare(second.AcceptedAt), cmp.Compare(first.ID, second.ID))
	})
	return waiting
}

// firstWaitingStep returns the first step with waiting tasks whose turn has come, or nil if there is none or a task of the
// submission has a run.
func (j *job) firstWaitingStep(now time.Time) *step {
	if j.state.IsFinal() {
		return nil
	}
	var first *step
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, s := range o.steps {
			if first == nil && len(s.ready) > 0 && s.unmetDependencies == 0 && !now.Before(o.startAt) {
				first = s
			}
			if s.hasRuns() {
				return nil
			}
		}
	}
	return first
}

func (s *step) hasRuns() bool {
	for i := range s.tasks {
		if len(s.tasks[i].runs) > 0 {
			return true
		}
	}
	return false
}

// bestEffortWaitReason returns what decides whether the step gets a worker: its place in the queue, its rank and shape, and the
// number of workers by the reason that excludes each.
func (c *Cell) bestEffortWaitReason(now time.Time, s *step) string {
	return fmt.Sprintf("%s, %s, %s, width %d, size %s, in queue for %.1f s: %s",
		c.queuePosition(s), timelinessName(s.rank.Timeliness), s.shape(), len(s.tasks), s.sizeText(), now.Sub(s.readySince).Seconds(),
		c.waitReasons(now, s))
}

// queuePosition returns the place of the step in the queue, or why it has none.
func (c *Cell) queuePosition(s *step) string {
	if i := slices.Index(c.queue, s); i >= 0 {
		return fmt.Sprintf("position %d of %d", i+1, len(c.queue))
	}
	if slices.Contains(c.unranked, s) {
		return "not ranked yet"
	}
	return "in no queue"
}

func timelinessName(t medlarrank.Timeliness) string {
	switch t {
	case medlarrank.TimelinessInTime:
		return "can be in time"
	case medlarrank.TimelinessLate:
		return "late"
	default:
		return "past its hard deadline"
	}
}

// shape names what makes a step different from one whose tasks start one by one.
func (s *step) shape() string {
	switch {
	case s.spec.Gang:
		return "gang"
	case len(s.spec.After) > 0:
		return "after other steps"
	default:
		return "first step"
	}
}

func (s *step) sizeText() string {
	return fmt.Sprintf("%d/%d/%d", s.spec.Size.MilliCPU, s.spec.Size.MemoryMB, s.spec.Size.GPU)
}
