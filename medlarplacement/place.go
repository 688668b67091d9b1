package medlarplacement

import (
	"math"
	"slices"
	"strconv"
	"time"

	"medlarwheel"
)

// scoredWorker is a worker with what would be committed on it.
type scoredWorker struct {
	worker *worker
	Assignment
	cost float64
}

// Place finds a worker for the task of r, or workers for every task of its gang. It changes nothing: the shell commits
// the assignments. Up to Config.ScanLimit of the workers that can hold the task by their bucket are looked at before
// Place gives up.
func (x *Index) Place(now time.Time, r *Request) (Decision, bool) {
	if len(r.Check()) > 0 {
		return Decision{}, false
	}
	if r.taskCount() == 1 {
		c, visited, found := x.selectWorker(now, r)
		if !found {
			return Decision{Examined: visited}, false
		}
		return Decision{Assignments: []Assignment{c.Assignment}, Examined: visited}, true
	}
	return x.placeGang(now, r)
}

// placeGang commits the tasks one after another, so that each choice sees the earlier ones, and then takes them all out.
func (x *Index) placeGang(now time.Time, r *Request) (Decision, bool) {
	var d Decision
	var placed []*worker
	complete := true
	for i := range r.taskCount() {
		c, visited, found := x.selectWorker(now, r)
		d.Examined += visited
		if !found {
			complete = false
			break
		}
		d.Assignments = append(d.Assignments, c.Assignment)
		placed = append(placed, c.worker)
		x.commit(c.worker, r.TaskState(gangTask(i), c.Assignment, now))
	}
	for i, w := range placed {
		at, _ := w.find(gangTask(i))
		x.release(w, at)
	}
	if !complete {
		return Decision{Examined: d.Examined}, false
	}
	return d, true
}

// gangTask names a task of a gang while the gang is being placed. No task id can start with an underscore.
func gangTask(i int) medlarwheel.TaskID { return medlarwheel.TaskID("_" + strconv.Itoa(i)) }

// selectWorker returns the worker of least cost in a sample of those that fit.
func (x *Index) selectWorker(now time.Time, r *Request) (scoredWorker, int, bool) {
	best := scoredWorker{cost: math.Inf(1)}
	fitting, preferred, harmed, visited := 0, 0, 0, 0
	x.iterator.reset(&x.schedulable, &bucketFilter{size: r.minCommitment(), mayShare: r.MayShare}, x.random)
	for visited < x.config.ScanLimit {
		if fitting > 0 && (preferred >= x.config.SampleSize || visited >= x.config.SampleScanLimit) {
			break
		}
		w := x.iterator.next()
		if w == nil {
			break
		}
		visited++
		a, fits := x.assign(now, r, w)
		if !fits || !x.meetsConstraints(r, w) {
			continue
		}
		c := scoredWorker{worker: w, Assignment: a}
		if !x.score(now, r, &c) {
			if harmed++; harmed >= x.config.MaxInterferenceRejections {
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
	return best, visited, fitting > 0
}

// meetsConstraints checks the rules of r other than capacity and interference.
func (x *Index) meetsConstraints(r *Request, w *worker) bool {
	if !w.admits(x.estimator.TemplateIDOf(r.Template), r.MayShare) || slices.Contains(r.ExcludedWorkers, w.id) {
		return false
	}
	return r.MaxPerRack == 0 || x.groupCounts.onRack(w, r.Group) < r.MaxPerRack
}

// score sets the cost of c. It reports false if a batch task would slow a service down beyond the bound.
func (x *Index) score(now time.Time, r *Request, c *scoredWorker) bool {
	limit := math.Inf(1)
	if r.Kind == medlarwheel.KindBatch && x.config.MaxSlowdown > 0 && r.WaitTime < x.config.IgnoreMaxSlowdownAfter {
		limit = math.Log(x.config.MaxSlowdown)
	}
	load := fraction(c.worker.expectedUsage(now, x.config.MaxUsageAge).CPU+r.minCommitment().CPU, c.worker.size.CPU)
	h, ok := x.predictInterference(now, r, c.worker, load, limit)
	if ok {
		c.cost = x.cost(r, c.worker, load, h)
	}
	return ok
}

// assign returns what to commit on w. The measured size is used only where the worker's measured idle capacity, less the
// reserve, covers the whole size. What is committed always fits into the uncommitted capacity.
func (x *Index) assign(now time.Time, r *Request, w *worker) (Assignment, bool) {
	full, small, free := r.maxUsage(), r.minCommitment(), w.free()
	if !small.Fits(free) {
		return Assignment{}, false
	}
	if small != full && w.hasFreshUsage(now, x.config.MaxUsageAge) {
		idle := w.size.Minus(w.expectedUsage(now, x.config.MaxUsageAge))
		idle.CPU -= medlarwheel.MilliCPU(x.config.OvercommitReserve * float64(w.size.CPU))
		idle.Memory -= medlarwheel.MegaBytes(x.config.OvercommitReserve * float64(w.size.Memory))
		idle.Accelerators = free.Accelerators
		if full.Fits(idle) {
			return Assignment{Worker: w.id, Committed: small, Overcommitted: true}, true
		}
	}
	return Assignment{Worker: w.id, Committed: full}, full.Fits(free)
}
