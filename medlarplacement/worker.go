package medlarplacement

import (
	"math"
	"slices"
	"strings"
	"time"

	"medlarwheel"
)

// evictableClasses is the number of classes that may evict batch tasks of a less urgent class.
const evictableClasses = 3

// task is a TaskState with its last measurement.
type task struct {
	TaskState
	kind KindID
	used medlarwheel.Resources
	// measured tells that a usage report has listed the task.
	measured  bool
	throttled bool
	// slowdown is the smoothed logarithm of the measured slowdown.
	slowdown float64
}

// resident sums the tasks of one template on a worker.
type resident struct {
	kind       KindID
	service    bool
	count      int
	unmeasured int
	closed     int
	// slowdown is the largest of the tasks' smoothed logarithms.
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
	residents []resident
	// evictable sums, by rank of a class, the batch commitments that a task of that class may evict.
	evictable [evictableClasses]medlarwheel.Resources

	usageVersion version
	usageAt      time.Time
	used         medlarwheel.Resources
	// unmeasured sums the sizes of tasks that no usage report has listed.
	unmeasured medlarwheel.Resources

	// bucket is nil while the worker is not open to placement.
	bucket   *bucket
	position int
}

func (w *worker) free() medlarwheel.Resources { return w.size.Minus(w.committed) }

func (w *worker) find(id medlarwheel.TaskID) (int, bool) {
	return slices.BinarySearchFunc(w.tasks, id, func(t task, id medlarwheel.TaskID) int {
		return strings.Compare(string(t.ID), string(id))
	})
}

func (w *worker) resident(kind KindID) int {
	for i := range w.residents {
		if w.residents[i].kind == kind {
			return i
		}
	}
	return -1
}

func (w *worker) add(t task) {
	i, _ := w.find(t.ID)
	w.tasks = slices.Insert(w.tasks, i, t)
	w.committed = w.committed.Plus(t.Committed)
	w.count(&t, 1)
}

func (w *worker) remove(i int) {
	t := w.tasks[i]
	w.tasks = slices.Delete(w.tasks, i, i+1)
	w.committed = w.committed.Minus(t.Committed)
	w.count(&t, -1)
}

// count adds t to the sums, or takes it out with a sign of -1.
func (w *worker) count(t *task, sign int) {
	if t.Kind == medlarwheel.KindBatch {
		for rank := range min(t.Class.Rank(), evictableClasses) {
			w.evictable[rank] = w.evictable[rank].Plus(t.Committed.Times(sign))
		}
	}
	at := w.resident(t.kind)
	if at < 0 {
		at = len(w.residents)
		w.residents = append(w.residents, resident{kind: t.kind, service: t.Kind == medlarwheel.KindService})
	}
	r := &w.residents[at]
	r.count += sign
	if !t.MayShare {
		r.closed += sign
	}
	if !t.measured {
		r.unmeasured += sign
		w.unmeasured = w.unmeasured.Plus(t.Size.Times(sign))
	}
	r.slowdown = max(r.slowdown, t.slowdown)
	if r.count == 0 {
		w.residents = slices.Delete(w.residents, at, at+1)
	}
}

// observe takes over a usage report. It reports false for one that is not newer than the last.
func (w *worker) observe(u *Usage, smoothing float64) bool {
	v := version{incarnation: u.Incarnation, sequence: u.Sequence}
	if !v.after(w.usageVersion) {
		return false
	}
	w.usageVersion, w.usageAt, w.used = v, u.At, u.Used
	for i := range u.Tasks {
		report := &u.Tasks[i]
		at, found := w.find(report.Task)
		if !found {
			continue
		}
		t := &w.tasks[at]
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
	w.recount()
	return true
}

// recount rebuilds the sums that depend on measurements.
func (w *worker) recount() {
	w.unmeasured = medlarwheel.Resources{}
	for i := range w.residents {
		w.residents[i].unmeasured, w.residents[i].slowdown = 0, 0
	}
	for i := range w.tasks {
		t := &w.tasks[i]
		r := &w.residents[w.resident(t.kind)]
		r.slowdown = max(r.slowdown, t.slowdown)
		if !t.measured {
			r.unmeasured++
			w.unmeasured = w.unmeasured.Plus(t.Size)
		}
	}
}

// fresh reports whether the last usage report still describes the worker.
func (w *worker) fresh(now time.Time, maxAge time.Duration) bool {
	return w.usageVersion != version{} && now.Sub(w.usageAt) <= maxAge
}

// expected returns the use to expect of what is on the worker: the measured use and the sizes of tasks not measured yet.
func (w *worker) expected(now time.Time, maxAge time.Duration) medlarwheel.Resources {
	if w.fresh(now, maxAge) {
		return w.used.Plus(w.unmeasured)
	}
	all := w.reserved
	for i := range w.tasks {
		all = all.Plus(w.tasks[i].Size)
	}
	return all
}

// admits reports whether the rules on sharing allow a task of the template.
func (w *worker) admits(kind KindID, mayShare bool) bool {
	if mayShare {
		return !slices.ContainsFunc(w.residents, func(r resident) bool { return r.closed > 0 })
	}
	return len(w.residents) == 0 || len(w.residents) == 1 && w.residents[0].kind == kind
}
