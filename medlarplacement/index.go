package medlarplacement

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"medlarwheel"
)

// ErrNoCapacity means that a commitment would exceed the worker's size.
var ErrNoCapacity = errors.New("not enough free capacity on the worker")

// Index holds the workers of one shard or data centre for placement.
type Index struct {
	config      Config
	estimator   Estimator
	random      *rand.Rand
	workers     map[medlarwheel.WorkerID]*worker
	schedulable buckets
	groupCounts groupCounts
	iterator    workerIterator
	search      preemptionSearch
}

// NewIndex returns an empty index. With a nil estimator no interference is predicted.
func NewIndex(config Config, estimator Estimator, random *rand.Rand) *Index {
	if estimator == nil {
		estimator = &noInterference{templateIDs: newTemplateIDs()}
	}
	return &Index{
		config: config, estimator: estimator, random: random,
		workers:     make(map[medlarwheel.WorkerID]*worker),
		schedulable: buckets{byKey: make(map[bucketKey]*bucket)},
		groupCounts: groupCounts{},
	}
}

// Upsert adds a worker or replaces its state. The usage report of the worker and the measurements of tasks that are
// still on it are kept.
func (x *Index) Upsert(state WorkerState) {
	old := x.workers[state.ID]
	w := &worker{
		id: state.ID, dataCentre: state.DataCentre, rack: state.Rack, size: state.Size,
		reserved: state.Reserved, committed: state.Reserved, marks: state.Marks,
	}
	if old != nil {
		w.usageVersion, w.usageAt, w.used = old.usageVersion, old.usageAt, old.used
		x.detach(old)
	}
	tasks := slices.Clone(state.Tasks)
	slices.SortFunc(tasks, func(a, b TaskState) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for _, t := range slices.CompactFunc(tasks, func(a, b TaskState) bool { return a.ID == b.ID }) {
		added := task{TaskState: t, templateID: x.estimator.TemplateIDOf(t.Template)}
		if old != nil {
			if i, found := old.find(t.ID); found {
				added = old.tasks[i]
				added.TaskState = t
				added.templateID = x.estimator.TemplateIDOf(t.Template)
			}
		}
		w.add(added)
		x.groupCounts.add(w, t.Group, 1)
	}
	x.workers[w.id] = w
	x.schedulable.update(w)
}

// Remove removes a worker. Unknown workers are ignored.
func (x *Index) Remove(id medlarwheel.WorkerID) {
	if w := x.workers[id]; w != nil {
		x.detach(w)
		delete(x.workers, id)
	}
}

// detach removes a worker from the group counts and from its bucket.
func (x *Index) detach(w *worker) {
	for i := range w.tasks {
		x.groupCounts.add(w, w.tasks[i].Group, -1)
	}
	x.schedulable.remove(w)
}

// Commit adds a task to a worker. It does nothing for a task that is on the worker already.
func (x *Index) Commit(id medlarwheel.WorkerID, t TaskState) error {
	w := x.workers[id]
	if w == nil {
		return medlarwheel.WithOperation("commit task "+string(t.ID), string(id), medlarwheel.ErrNotFound)
	}
	if _, found := w.find(t.ID); found {
		return nil
	}
	if !t.Committed.Fits(w.free()) {
		return medlarwheel.WithOperation("commit", string(id),
			errors.WithMessagef(ErrNoCapacity, "task %s requires %+v, free: %+v", t.ID, t.Committed, w.free()))
	}
	x.commit(w, t)
	return nil
}

func (x *Index) commit(w *worker, t TaskState) {
	w.add(task{TaskState: t, templateID: x.estimator.TemplateIDOf(t.Template)})
	x.groupCounts.add(w, t.Group, 1)
	x.schedulable.update(w)
}

// Release removes a task from a worker. It reports whether the task was on it.
func (x *Index) Release(id medlarwheel.WorkerID, t medlarwheel.TaskID) bool {
	w := x.workers[id]
	if w == nil {
		return false
	}
	i, found := w.find(t)
	if found {
		x.release(w, i)
	}
	return found
}

func (x *Index) release(w *worker, i int) {
	x.groupCounts.add(w, w.tasks[i].Group, -1)
	w.remove(i)
	x.schedulable.update(w)
}

// Observe applies a usage report. It reports false for an unknown worker and for a report that is not newer than the
// last one of the worker.
func (x *Index) Observe(u Usage) bool {
	w := x.workers[u.Worker]
	return w != nil && w.observe(&u, x.config.SlowdownSmoothing)
}

// SetMarks replaces the marks of a worker. It reports false for an unknown worker.
func (x *Index) SetMarks(id medlarwheel.WorkerID, marks Marks) bool {
	w := x.workers[id]
	if w == nil {
		return false
	}
	w.marks = marks
	x.schedulable.update(w)
	return true
}
