package medlarplacement

import (
	"cmp"
	"slices"
	"time"

	"medlarwheel"
)

// suspect returns the suspect with the task, or nil.
func (c *InterferenceReport) suspect(task medlarwheel.TaskID) *Suspect {
	for i := range c.Suspects {
		if c.Suspects[i].Task == task {
			return &c.Suspects[i]
		}
	}
	return nil
}

// reconcile drops tasks that have ended, and adopts throttles that an earlier owner of the worker has left.
func (w *controlState) reconcile(c *InterferenceReport) {
	w.throttled = slices.DeleteFunc(w.throttled, func(t throttledTask) bool { return c.suspect(t.task) == nil })
	w.evicting = slices.DeleteFunc(w.evicting, func(l evictingTask) bool { return c.suspect(l.task) == nil })
	if c.At.Before(w.actedAt) {
		return
	}
	for _, s := range c.Suspects {
		if s.Throttled && !w.isThrottled(s.Task) && c.At.After(w.releasedAt) {
			w.throttled = append(w.throttled, throttledTask{task: s.Task, since: c.At})
		}
	}
}

func (w *controlState) isThrottled(task medlarwheel.TaskID) bool {
	return slices.ContainsFunc(w.throttled, func(t throttledTask) bool { return t.task == task })
}

// overdue returns a task that was told to checkpoint and has not ended in time. A stop that has no effect is repeated.
func (w *controlState) overdue(now time.Time, limit time.Duration) (medlarwheel.TaskID, bool) {
	for i := range w.evicting {
		if l := &w.evicting[i]; now.Sub(l.since) >= limit {
			l.since = now
			return l.task, true
		}
	}
	return "", false
}

// rankSuspects orders the suspects by how much of the victims' slowdown they are estimated to cause. A suspect of a more urgent
// class than every victim is left alone.
func (g *InterferenceController) rankSuspects(c *InterferenceReport, victims []Victim) []Suspect {
	type ranked struct {
		suspect Suspect
		blame   float64
	}
	var list []ranked
	for _, s := range c.Suspects {
		r, eligible := ranked{suspect: s}, false
		for _, v := range victims {
			if s.Class.Rank() < v.Class.Rank() {
				continue
			}
			eligible = true
			r.blame += g.estimator.Effect(g.estimator.TemplateIDOf(v.Template), g.estimator.TemplateIDOf(s.Template), c.Load)
		}
		if eligible {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.blame, a.blame), cmp.Compare(b.suspect.Used, a.suspect.Used),
			cmp.Compare(a.suspect.LostProgress, b.suspect.LostProgress), cmp.Compare(a.suspect.Task, b.suspect.Task))
	})
	suspects := make([]Suspect, len(list))
	for i, r := range list {
		suspects[i] = r.suspect
	}
	return suspects
}
