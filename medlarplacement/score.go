package medlarplacement

import (
	"math"
	"time"

	"medlarwheel"
)

// prediction is the predicted interference if a task is placed on a worker, in logarithms of slowdowns.
type prediction struct {
	// caused is the sum of the slowdowns that the new task adds to services, weighted by the number of their tasks.
	caused float64
	// received is the slowdown of the new task by the tasks on the worker.
	received float64
}

// predictInterference predicts the interference if a task of r is placed on w. It reports false if the total slowdown
// of a service on w would exceed the limit.
func (x *Index) predictInterference(now time.Time, r *Request, w *worker, load, limit float64) (prediction, bool) {
	var p prediction
	template := x.estimator.TemplateIDOf(r.Template)
	fresh := w.hasFreshUsage(now, x.config.MaxUsageAge)
	templates := w.templates[:min(len(w.templates), x.config.MaxTemplatesScored)]
	for i := range templates {
		victim := &templates[i]
		if !victim.service {
			continue
		}
		caused := x.estimator.Effect(victim.template, template, load)
		if caused+x.currentSlowdown(w, victim, load, fresh) > limit {
			return p, false
		}
		p.caused += float64(victim.count) * caused
	}
	for i := range templates {
		p.received += float64(templates[i].count) * x.estimator.Effect(template, templates[i].template, load)
	}
	return p, true
}

// currentSlowdown returns the slowdown of a service on w without the new task: the measured slowdown, plus the
// predicted one by tasks that the last usage report did not list.
func (x *Index) currentSlowdown(w *worker, victim *templateTotals, load float64, fresh bool) float64 {
	total := 0.0
	if fresh {
		total = victim.slowdown
	}
	if fresh && w.unmeasured.IsZero() {
		return total
	}
	templates := w.templates[:min(len(w.templates), x.config.MaxTemplatesScored)]
	for i := range templates {
		count := templates[i].count
		if fresh {
			count = templates[i].unmeasured
		}
		if count > 0 && &templates[i] != victim {
			total += float64(count) * x.estimator.Effect(victim.template, templates[i].template, load)
		}
	}
	return total
}

// cost returns the cost of placing a task of r on w. The worker of least cost is chosen.
func (x *Index) cost(r *Request, w *worker, load float64, p prediction) float64 {
	weights := &x.config.Weights
	total := weights.CausedInterference*p.caused + weights.ReceivedInterference*p.received + weights.Load*load
	left := w.free().Minus(r.minCommitment())
	total += weights.Imbalance * math.Abs(fraction(left.CPU, w.size.CPU)-fraction(left.Memory, w.size.Memory))
	if r.Group != "" {
		total += weights.RackSpread*float64(x.groupCounts.onRack(w, r.Group)) +
			weights.DataCentreSpread*x.groupCounts.fractionInDataCentre(w, r.Group)
	}
	if r.Size.Accelerators == 0 {
		total += weights.UnusedAccelerator * float64(left.Accelerators)
	}
	if r.PreferredDataCentre != "" && r.PreferredDataCentre != w.dataCentre {
		total += weights.OtherDataCentre
	}
	return total
}

// InterferenceReport returns the input of InterferenceController.HandleReport for a worker. It reports false for an
// unknown worker and for one without a fresh usage report.
func (x *Index) InterferenceReport(now time.Time, id medlarwheel.WorkerID) (InterferenceReport, bool) {
	w := x.workers[id]
	if w == nil || !w.hasFreshUsage(now, x.config.MaxUsageAge) {
		return InterferenceReport{}, false
	}
	report := InterferenceReport{
		Worker: id, Incarnation: w.usageVersion.incarnation, Sequence: w.usageVersion.sequence, At: w.usageAt,
		Load: fraction(w.used.CPU, w.size.CPU),
	}
	for i := range w.tasks {
		t := &w.tasks[i]
		switch {
		case !t.measured:
		case t.Kind == medlarwheel.KindService:
			report.Victims = append(report.Victims, Victim{
				Task: t.ID, Template: t.Template, Class: t.Class, Slowdown: math.Exp(t.slowdown),
			})
		default:
			report.Suspects = append(report.Suspects, Suspect{
				Task: t.ID, Template: t.Template, Class: t.Class, Used: t.used.CPU, Throttled: t.throttled,
				CanCheckpoint: t.CanCheckpoint, LostProgress: t.LostProgress(now),
			})
		}
	}
	return report, true
}
