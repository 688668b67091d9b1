package medlarplacement

import (
	"math"
	"time"

	"medlarwheel"
)

// prediction is the predicted interference of a start, in logarithms of slowdowns.
type prediction struct {
	// caused sums the slowdowns that the new task adds to services, weighted by their number.
	caused float64
	// received is the slowdown of the new task by what runs on the worker.
	received float64
}

// predictInterference predicts the interference of a task of r on w. It reports false as soon as a service on w would be slowed down
// beyond the limit, from all causes.
func (x *Index) predictInterference(now time.Time, r *Request, w *worker, load, limit float64) (prediction, bool) {
	var h prediction
	kind := x.estimator.TemplateIDOf(r.Template)
	fresh := w.hasFreshUsage(now, x.config.MaxUsageAge)
	residents := w.templates[:min(len(w.templates), x.config.MaxTemplatesScored)]
	for i := range residents {
		victim := &residents[i]
		if !victim.service {
			continue
		}
		added := x.estimator.Effect(victim.template, kind, load)
		if added+x.currentSlowdown(w, victim, load, fresh) > limit {
			return h, false
		}
		h.caused += float64(victim.count) * added
	}
	for i := range residents {
		h.received += float64(residents[i].count) * x.estimator.Effect(kind, residents[i].template, load)
	}
	return h, true
}

// currentSlowdown returns the slowdown of a service on w without the new task: the measured one, and the predicted one of tasks
// that the last measurement did not cover.
func (x *Index) currentSlowdown(w *worker, victim *templateTotals, load float64, fresh bool) float64 {
	total := 0.0
	if fresh {
		total = victim.slowdown
	}
	if fresh && w.unmeasured.IsZero() {
		return total
	}
	residents := w.templates[:min(len(w.templates), x.config.MaxTemplatesScored)]
	for i := range residents {
		count := residents[i].count
		if fresh {
			count = residents[i].unmeasured
		}
		if count > 0 && &residents[i] != victim {
			total += float64(count) * x.estimator.Effect(victim.template, residents[i].template, load)
		}
	}
	return total
}

// cost scores a worker that fits. Lower is better.
func (x *Index) cost(r *Request, w *worker, load float64, h prediction) float64 {
	weights := &x.config.Weights
	total := weights.CausedInterference*h.caused + weights.ReceivedInterference*h.received + weights.Load*load
	left := w.free().Minus(r.minCommitment())
	total += weights.Imbalance * math.Abs(fraction(left.CPU, w.size.CPU)-fraction(left.Memory, w.size.Memory))
	if r.Group != "" {
		total += weights.RackSpread*float64(x.groupCounts.onRack(w, r.Group)) + weights.DataCentreSpread*x.groupCounts.fractionInDataCentre(w, r.Group)
	}
	if r.Size.Accelerators == 0 {
		total += weights.UnusedAccelerator * float64(left.Accelerators)
	}
	if r.PreferredDataCentre != "" && r.PreferredDataCentre != w.dataCentre {
		total += weights.OtherDataCentre
	}
	return total
}

// InterferenceReport returns what Governor.Step needs to know of a worker. It reports false for an unknown worker and for one
// without a fresh usage report.
func (x *Index) InterferenceReport(now time.Time, id medlarwheel.WorkerID) (InterferenceReport, bool) {
	w := x.workers[id]
	if w == nil || !w.hasFreshUsage(now, x.config.MaxUsageAge) {
		return InterferenceReport{}, false
	}
	c := InterferenceReport{
		Worker: id, Incarnation: w.usageVersion.incarnation, Sequence: w.usageVersion.sequence, At: w.usageAt,
		Load: fraction(w.used.CPU, w.size.CPU),
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
