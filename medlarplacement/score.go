package medlarplacement

import (
	"math"
	"time"

	"medlarwheel"
)

// harm is the predicted interference of a start, in logarithms of slowdowns.
type harm struct {
	// added sums the slowdowns that the new task adds to services, weighted by their number.
	added float64
	// own is the slowdown of the new task by what runs on the worker.
	own float64
}

// harm predicts the interference of a task of r on w. It reports false as soon as a service on w would be slowed down
// beyond the limit, from all causes.
func (x *Index) harm(now time.Time, r *Request, w *worker, load, limit float64) (harm, bool) {
	var h harm
	kind := x.estimator.KindOf(r.Template)
	fresh := w.fresh(now, x.config.MaxUsageAge)
	residents := w.residents[:min(len(w.residents), x.config.MaxKindsScored)]
	for i := range residents {
		victim := &residents[i]
		if !victim.service {
			continue
		}
		added := x.estimator.Effect(victim.kind, kind, load)
		if added+x.present(w, victim, load, fresh) > limit {
			return h, false
		}
		h.added += float64(victim.count) * added
	}
	for i := range residents {
		h.own += float64(residents[i].count) * x.estimator.Effect(kind, residents[i].kind, load)
	}
	return h, true
}

// present returns the slowdown of a service on w without the new task: the measured one, and the predicted one of tasks
// that the last measurement did not cover.
func (x *Index) present(w *worker, victim *resident, load float64, fresh bool) float64 {
	total := 0.0
	if fresh {
		total = victim.slowdown
	}
	if fresh && w.unmeasured.IsZero() {
		return total
	}
	residents := w.residents[:min(len(w.residents), x.config.MaxKindsScored)]
	for i := range residents {
		count := residents[i].count
		if fresh {
			count = residents[i].unmeasured
		}
		if count > 0 && &residents[i] != victim {
			total += float64(count) * x.estimator.Effect(victim.kind, residents[i].kind, load)
		}
	}
	return total
}

// cost scores a worker that fits. Lower is better.
func (x *Index) cost(r *Request, w *worker, load float64, h harm) float64 {
	weights := &x.config.Weights
	total := weights.Harm*h.added + weights.Suffer*h.own + weights.Load*load
	left := w.free().Minus(r.small())
	total += weights.Fit * math.Abs(share(left.CPU, w.size.CPU)-share(left.Memory, w.size.Memory))
	if r.Group != "" {
		total += weights.Rack*float64(x.spread.onRack(w, r.Group)) + weights.DataCentre*x.spread.inDataCentre(w, r.Group)
	}
	if r.Size.Accelerators == 0 {
		total += weights.Accelerator * float64(left.Accelerators)
	}
	if r.Prefer != "" && r.Prefer != w.dataCentre {
		total += weights.Preference
	}
	return total
}

// Condition returns what Governor.Step needs to know of a worker. It reports false for an unknown worker and for one
// without a fresh usage report.
func (x *Index) Condition(now time.Time, id medlarwheel.WorkerID) (Condition, bool) {
	w := x.workers[id]
	if w == nil || !w.fresh(now, x.config.MaxUsageAge) {
		return Condition{}, false
	}
	c := Condition{
		Worker: id, Incarnation: w.usageVersion.incarnation, Sequence: w.usageVersion.sequence, At: w.usageAt,
		Load: share(w.used.CPU, w.size.CPU),
	}
	for i := range w.tasks {
		t := &w.tasks[i]
		switch {
		case !t.measured:
		case t.Kind == medlarwheel.KindService:
			c.Victims = append(c.Victims, Victim{Task: t.ID, Template: t.Template, Class: t.Class, Slowdown: math.Exp(t.slowdown)})
		default:
			c.Suspects = append(c.Suspects, Suspect{
				Task: t.ID, Template: t.Template, Class: t.Class, Used: t.used.CPU, Throttled: t.throttled,
				CanCheckpoint: t.CanCheckpoint, LostProgress: t.LostProgress(now),
			})
		}
	}
	return c, true
}
