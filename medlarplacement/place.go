package medlarplacement

import (
	"math"
	"slices"
	"strconv"
	"time"

	"medlarwheel"
)

// scoredWorker is a worker that fits, with the assignment to it and its cost.
type scoredWorker struct {
	worker *worker
	Assignment
	cost float64
}

// Place finds a worker for the task of r, or workers for every task of its gang. It changes nothing: the caller commits
// the assignments. Place examines at most Config.ScanLimit of the workers in the buckets that may fit the task.
func (x *Index) Place(now time.Time, r *Request) (Decision, bool) {
	if len(r.Check()) > 0 {
		return Decision{}, false
	}
	if r.taskCount() == 1 {
		c, examined, found := x.selectWorker(now, r)
		if !found {
			return Decision{Examined: examined}, false
		}
		return Decision{Assignments: []Assignment{c.Assignment}, Examined: examined}, true
	}
	return x.placeGang(now, r)
}

// placeGang commits the tasks one after another, so that each placement takes the earlier ones into account, and then
// releases them all.
func (x *Index) placeGang(now time.Time, r *Request) (Decision, bool) {
	var d Decision
	var placed []*worker
	complete := true
	for i := range r.taskCount() {
		c, examined, found := x.selectWorker(now, r)
		d.Examined += examined
		if !found {
			complete = false
			break
		}
		d.Assignments = append(d.Assignments, c.Assignment)
		placed = append(placed, c.worker)
		x.commit(c.worker, r.TaskState(gangTask(i), c.Assignment, now))
	}
	for i, w := range placed {
		index, _ := w.find(gangTask(i))
		x.release(w, index)
	}
	if !complete {
		return Decision{Examined: d.Examined}, false
	}
	return d, true
}

// gangTask returns a temporary id for a task of a gang that is being placed. Ids of real tasks cannot start with an
// underscore.
func gangTask(i int) medlarwheel.TaskID { return medlarwheel.TaskID("_" + strconv.Itoa(i)) }

// selectWorker returns the worker of least cost in a sample of those that fit, and the number of workers examined.
func (x *Index) selectWorker(now time.Time, r *Request) (scoredWorker, int, bool) {
	best := scoredWorker{cost: math.Inf(1)}
	fitting, preferred, rejected, examined := 0, 0, 0, 0
	x.iterator.reset(&x.schedulable, &bucketFilter{size: r.minCommitment(), mayShare: r.MayShare}, x.random)
	for examined < x.config.ScanLimit {
		if fitting > 0 && (preferred >= x.config.SampleSize || examined >= x.config.SampleScanLimit) {
			break
		}
		w := x.iterator.next()
		if w == nil {
			break
		}
		examined++
		a, fits := x.assign(now, r, w)
		if !fits || !x.meetsConstraints(r, w) {
			continue
		}
		c := scoredWorker{worker: w, Assignment: a}
		if !x.score(now, r, &c) {
			if rejected++; rejected >= x.config.MaxInterferenceRejections {
				break
			}
			continue
		}
		fitting++
		if r.PreferredDataCentre == "" || r.PreferredDataCentre == w.dataCentre {
			preferred++
		}
		if c.cost < best.cost || best.worker == nil {
			best = c
		}
	}
	return best, examined, fitting > 0
}

// meetsConstraints reports whether w satisfies the sharing, exclusion and rack constraints of r.
func (x *Index) meetsConstraints(r *Request, w *worker) bool {
	if !w.admits(x.estimator.TemplateIDOf(r.Template), r.MayShare) || slices.Contains(r.ExcludedWorkers, w.id) {
		return false
	}
	return r.MaxPerRack == 0 || x.groupCounts.onRack(w, r.Group) < r.MaxPerRack
}

// score sets the cost of c. It reports false if a batch task would slow down a service on the worker beyond
// Config.MaxSlowdown.
func (x *Index) score(now time.Time, r *Request, c *scoredWorker) bool {
	limit := math.Inf(1)
	if r.Kind == medlarwheel.KindBatch && x.config.MaxSlowdown > 0 && r.WaitTime < x.config.IgnoreMaxSlowdownAfter {
		limit = math.Log(x.config.MaxSlowdown)
	}
	load := fraction(c.worker.expectedUsage(now, x.config.MaxUsageAge).CPU+r.minCommitment().CPU, c.worker.size.CPU)
	predicted, ok := x.predictInterference(now, r, c.worker, load, limit)
	if ok {
		c.cost = x.cost(r, c.worker, load, predicted)
	}
	return ok
}

// assign returns the amount to commit on w. The measured size is committed only if the worker's measured idle capacity,
// less the reserve, covers the whole size. The committed amount always fits into the uncommitted capacity.
func (x *Index) assign(now time.Time, r *Request, w *worker) (Assignment, bool) {
	maxUsage, minCommitment, free := r.maxUsage(), r.minCommitment(), w.free()
	if !minCommitment.Fits(free) {
		return Assignment{}, false
	}
	if minCommitment != maxUsage && w.hasFreshUsage(now, x.config.MaxUsageAge) {
		idle := w.size.Minus(w.expectedUsage(now, x.config.MaxUsageAge))
		idle.CPU -= medlarwheel.MilliCPU(x.config.OvercommitReserve * float64(w.size.CPU))
		idle.Memory -= medlarwheel.MegaBytes(x.config.OvercommitReserve * float64(w.size.Memory))
		idle.Accelerators = free.Accelerators
		if maxUsage.Fits(idle) {
			return Assignment{Worker: w.id, Committed: minCommitment, Overcommitted: true}, true
		}
	}
	return Assignment{Worker: w.id, Committed: maxUsage}, maxUsage.Fits(free)
}
