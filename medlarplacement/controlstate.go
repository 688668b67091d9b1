package medlarplacement

import (
	"cmp"
	"slices"
	"time"

	"medlarwheel"
)

// suspect returns the suspect with the given task, or nil.
func (r *InterferenceReport) suspect(task medlarwheel.TaskID) *Suspect {
	for i := range r.Suspects {
		if r.Suspects[i].Task == task {
			return &r.Suspects[i]
		}
	}
	return nil
}

// reconcile drops tasks that have ended, and adopts tasks that a previous owner of the worker has throttled.
func (state *controlState) reconcile(report *InterferenceReport) {
	state.throttled = slices.DeleteFunc(state.throttled, func(t throttledTask) bool { return report.suspect(t.task) == nil })
	state.evicting = slices.DeleteFunc(state.evicting, func(t evictingTask) bool { return report.suspect(t.task) == nil })
	if report.At.Before(state.actedAt) {
		return
	}
	for _, s := range report.Suspects {
		if s.Throttled && !state.isThrottled(s.Task) && report.At.After(state.releasedAt) {
			state.throttled = append(state.throttled, throttledTask{task: s.Task, since: report.At})
		}
	}
}

func (state *controlState) isThrottled(task medlarwheel.TaskID) bool {
	return slices.ContainsFunc(state.throttled, func(t throttledTask) bool { return t.task == task })
}

// overdue returns a task that has not ended within the limit after it was requested to end. It restarts the time of that
// task, so that the stop is repeated if it has no effect.
func (state *controlState) overdue(now time.Time, limit time.Duration) (medlarwheel.TaskID, bool) {
	for i := range state.evicting {
		if t := &state.evicting[i]; now.Sub(t.since) >= limit {
			t.since = now
			return t.task, true
		}
	}
	return "", false
}

// rankSuspects orders the suspects by how much of the victims' slowdown they are estimated to cause. It omits suspects
// of a more urgent class than every victim.
func (c *InterferenceController) rankSuspects(report *InterferenceReport, victims []Victim) []Suspect {
	type ranked struct {
		suspect Suspect
		effect  float64
	}
	var list []ranked
	for _, s := range report.Suspects {
		r, eligible := ranked{suspect: s}, false
		for _, v := range victims {
			if s.Class.Rank() < v.Class.Rank() {
				continue
			}
			eligible = true
			r.effect += c.estimator.Effect(c.estimator.TemplateIDOf(v.Template), c.estimator.TemplateIDOf(s.Template), report.Load)
		}
		if eligible {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.effect, a.effect), cmp.Compare(b.suspect.Used, a.suspect.Used),
			cmp.Compare(a.suspect.LostProgress, b.suspect.LostProgress), cmp.Compare(a.suspect.Task, b.suspect.Task))
	})
	suspects := make([]Suspect, len(list))
	for i, r := range list {
		suspects[i] = r.suspect
	}
	return suspects
}
