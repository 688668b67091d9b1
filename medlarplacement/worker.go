package medlarplacement

import (
	"math"
	"slices"
	"strings"
	"time"

	"medlarwheel"
)

// evictableClasses is the number of classes that have a less urgent class below them, whose batch tasks they may evict.
const evictableClasses = 3

// task is a TaskState with its last measurement.
type task struct {
	TaskState
	templateID TemplateID
	used       medlarwheel.Resources
	// measured is set once a usage report has listed the task.
	measured  bool
	throttled bool
	// slowdown is the exponential moving average of the logarithm of the measured slowdown.
	slowdown float64
}

// templateTotals holds the totals over the tasks of one template on a worker.
type templateTotals struct {
	template   TemplateID
	service    bool
	count      int
	unmeasured int
	exclusive  int
	// slowdown is the largest slowdown of the tasks, as in task.
	slowdown float64
}

// worker is the index's record of one worker.
type worker struct {
	id         medlarwheel.WorkerID
	dataCentre medlarwheel.DataCentreID
	rack       medlarwheel.RackID
	size       medlarwheel.Resources
	reserved   medlarwheel.Resources
	committed  medlarwheel.Resources
	marks      Marks
	// tasks is ordered by id.
	tasks     []task
	templates []templateTotals
	// evictable holds, by the rank of a class, the sum of the batch commitments that a task of that class may evict.
	evictable [evictableClasses]medlarwheel.Resources

	usageVersion measurementVersion
	usageAt      time.Time
	used         medlarwheel.Resources
	// unmeasured is the sum of the sizes of tasks that no usage report has listed.
	unmeasured medlarwheel.Resources

	// bucket is nil while the worker has marks, which exclude it from placement.
	bucket *bucket
	// bucketPosition is the index of the worker in bucket.workers.
	bucketPosition int
}

func (w *worker) free() medlarwheel.Resources { return w.size.Minus(w.committed) }

func (w *worker) find(id medlarwheel.TaskID) (int, bool) {
	return slices.BinarySearchFunc(w.tasks, id, func(t task, id medlarwheel.TaskID) int {
		return strings.Compare(string(t.ID), string(id))
	})
}

func (w *worker) templateIndex(template TemplateID) int {
	for i := range w.templates {
		if w.templates[i].template == template {
			return i
		}
	}
	return -1
}

func (w *worker) add(t task) {
	i, _ := w.find(t.ID)
	w.tasks = slices.Insert(w.tasks, i, t)
	w.committed = w.committed.Plus(t.Committed)
	w.updateTotals(&t, 1)
}

func (w *worker) remove(i int) {
	t := w.tasks[i]
	w.tasks = slices.Delete(w.tasks, i, i+1)
	w.committed = w.committed.Minus(t.Committed)
	w.updateTotals(&t, -1)
}

// updateTotals adds t to the totals with a sign of 1 and subtracts it with a sign of -1.
func (w *worker) updateTotals(t *task, sign int) {
	if t.Kind == medlarwheel.KindBatch {
		for rank := range min(t.Class.Rank(), evictableClasses) {
			w.evictable[rank] = w.evictable[rank].Plus(t.Committed.Times(sign))
		}
	}
	index := w.templateIndex(t.templateID)
	if index < 0 {
		index = len(w.templates)
		w.templates = append(w.templates, templateTotals{template: t.templateID, service: t.Kind == medlarwheel.KindService})
	}
	totals := &w.templates[index]
	totals.count += sign
	if !t.MayShare {
		totals.exclusive += sign
	}
	if !t.measured {
		totals.unmeasured += sign
		w.unmeasured = w.unmeasured.Plus(t.Size.Times(sign))
	}
	totals.slowdown = max(totals.slowdown, t.slowdown)
	if totals.count == 0 {
		w.templates = slices.Delete(w.templates, index, index+1)
	}
}

// observe applies a usage report. It reports false for one that is not newer than the last.
func (w *worker) observe(u *Usage, smoothing float64) bool {
	v := measurementVersion{incarnation: u.Incarnation, sequence: u.Sequence}
	if !v.after(w.usageVersion) {
		return false
	}
	w.usageVersion, w.usageAt, w.used = v, u.At, u.Used
	for i := range u.Tasks {
		report := &u.Tasks[i]
		index, found := w.find(report.Task)
		if !found {
			continue
		}
		t := &w.tasks[index]
		t.used, t.throttled = report.Used, report.Throttled
		if report.CheckpointAt.After(t.CheckpointAt) {
			t.CheckpointAt = report.CheckpointAt
		}
		if report.Slowdown > 0 {
			weight := smoothing
			if !t.measured {
				weight = 1
			}
			t.slowdown += weight * (math.Log(report.Slowdown) - t.slowdown)
		}
		t.measured = true
	}
	w.recomputeTotals()
	return true
}

// recomputeTotals recomputes the totals that depend on measurements from all tasks of the worker.
func (w *worker) recomputeTotals() {
	w.unmeasured = medlarwheel.Resources{}
	for i := range w.templates {
		w.templates[i].unmeasured, w.templates[i].slowdown = 0, 0
	}
	for i := range w.tasks {
		t := &w.tasks[i]
		totals := &w.templates[w.templateIndex(t.templateID)]
		totals.slowdown = max(totals.slowdown, t.slowdown)
		if !t.measured {
			totals.unmeasured++
			w.unmeasured = w.unmeasured.Plus(t.Size)
		}
	}
}

// hasFreshUsage reports whether the last usage report is at most maxAge old.
func (w *worker) hasFreshUsage(now time.Time, maxAge time.Duration) bool {
	return w.usageVersion != measurementVersion{} && now.Sub(w.usageAt) <= maxAge
}

// expectedUsage returns the expected use of the worker: the measured use and the sizes of tasks without a measurement,
// or without a fresh report the sizes of all tasks and what is reserved.
func (w *worker) expectedUsage(now time.Time, maxAge time.Duration) medlarwheel.Resources {
	if w.hasFreshUsage(now, maxAge) {
		return w.used.Plus(w.unmeasured)
	}
	all := w.reserved
	for i := range w.tasks {
		all = all.Plus(w.tasks[i].Size)
	}
	return all
}

// admits reports whether the rules on sharing allow a task of the template.
func (w *worker) admits(template TemplateID, mayShare bool) bool {
	if mayShare {
		return !slices.ContainsFunc(w.templates, func(t templateTotals) bool { return t.exclusive > 0 })
	}
	return len(w.templates) == 0 || len(w.templates) == 1 && w.templates[0].template == template
}
