package medlarplacement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"medlarwheel"
)

// Plan is a set of evictions that makes room for a task on one worker.
type Plan struct {
	Worker medlarwheel.WorkerID
	// Committed is what to commit for the task after the evictions.
	Committed medlarwheel.Resources
	Evictions []Eviction
	// Cost is the run time lost, with Config.Search.EvictionCost for each victim.
	Cost time.Duration
}

// Eviction is one task to evict.
type Eviction struct {
	Task medlarwheel.TaskID
	// LostProgress is the run time since the start or the last checkpoint. It is saved if the task can still write a checkpoint.
	LostProgress time.Duration
}

// Preempt finds the cheapest evictions on one worker that make room for a single task of r. Victims are batch tasks of a
// less urgent class. Gangs are not supported. The search is bounded: it visits Config.ScanLimit workers, searches
// Config.Search.Workers of them and takes Config.Search.Nodes steps; beyond these the plan may not be the cheapest.
func (x *Index) Preempt(now time.Time, r *Request) (Plan, bool) {
	rank := r.Class.Rank()
	if len(r.Check()) > 0 || r.taskCount() > 1 || rank >= evictableClasses {
		return Plan{}, false
	}
	s := &x.search
	*s = preemptionSearch{classRank: rank, now: now, evictionCost: x.config.Preemption.EvictionCost, nodesLeft: x.config.Preemption.MaxNodes,
		bestCost: time.Duration(math.MaxInt64), freedFrom: s.freedFrom[:0], chosen: s.chosen[:0]}
	size, searched := r.maxUsage(), 0
	x.iterator.reset(&x.schedulable, &bucketFilter{anyTenancy: true}, x.random)
	for range x.config.ScanLimit {
		w := x.iterator.next()
		if w == nil || searched == x.config.Preemption.MaxWorkers {
			break
		}
		if !size.Fits(w.free().Plus(w.evictable[rank])) || slices.Contains(r.ExcludedWorkers, w.id) {
			continue
		}
		if x.searchWorker(s, r, w, size) {
			searched++
		}
	}
	if s.bestWorker == nil {
		return Plan{}, false
	}
	return Plan{Worker: s.bestWorker.id, Committed: size, Evictions: s.bestEvictions, Cost: s.bestCost}, true
}

// searchWorker searches the cheapest victims on w. It reports false if the rules of r leave none.
func (x *Index) searchWorker(s *preemptionSearch, r *Request, w *worker, size medlarwheel.Resources) bool {
	missing := size.Minus(w.free())
	forced, ok := x.mandatoryEvictions(s, r, w, &missing)
	if !ok {
		return false
	}
	s.candidates = s.candidates[:0]
	for i := range w.tasks {
		if t := &w.tasks[i]; s.mayEvict(t) && !slices.Contains(forced, t.ID) {
			s.candidates = append(s.candidates, candidate{id: t.ID, cost: s.cost(t), frees: t.Committed, lostProgress: t.LostProgress(s.now)})
		}
	}
	base := time.Duration(0)
	s.chosen = s.chosen[:0]
	for _, id := range forced {
		at, _ := w.find(id)
		t := &w.tasks[at]
		base += s.cost(t)
		s.chosen = append(s.chosen, Eviction{Task: id, LostProgress: t.LostProgress(s.now)})
	}
	s.run(w, missing, base)
	return true
}

// mandatoryEvictions returns the tasks that must go because of the rules on sharing and spread, and takes what they free off missing.
func (x *Index) mandatoryEvictions(s *preemptionSearch, r *Request, w *worker, missing *medlarwheel.Resources) ([]medlarwheel.TaskID, bool) {
	var ids []medlarwheel.TaskID
	if !w.admits(x.estimator.TemplateIDOf(r.Template), r.MayShare) {
		for i := range w.tasks {
			t := &w.tasks[i]
			if r.MayShare && t.MayShare || !r.MayShare && t.Template == r.Template {
				continue
			}
			if !s.mayEvict(t) {
				return nil, false
			}
			ids = append(ids, t.ID)
			*missing = missing.Minus(t.Committed)
		}
	}
	full := r.MaxPerRack > 0 && x.groupCounts.onRack(w, r.Group) >= r.MaxPerRack
	return ids, !full
}

// preemptionSearch is a branch and bound search for the cheapest victims, over several workers with one bound.
type preemptionSearch struct {
	classRank    int
	now          time.Time
	evictionCost time.Duration
	nodesLeft    int

	candidates []candidate
	// freedFrom holds what all candidates from an index on would free together.
	freedFrom []medlarwheel.Resources
	chosen    []Eviction

	bestCost      time.Duration
	bestWorker    *worker
	bestEvictions []Eviction
}

// candidate is a task that may be evicted.
type candidate struct {
	id           medlarwheel.TaskID
	cost         time.Duration
	frees        medlarwheel.Resources
	lostProgress time.Duration
}

func (s *preemptionSearch) mayEvict(t *task) bool {
	return t.Kind == medlarwheel.KindBatch && t.Class.Rank() > s.classRank
}

func (s *preemptionSearch) cost(t *task) time.Duration { return s.evictionCost + t.LostProgress(s.now) }

// run searches one worker. The search starts with the cheapest tasks first, which gives a first plan at once.
func (s *preemptionSearch) run(w *worker, missing medlarwheel.Resources, base time.Duration) {
	slices.SortFunc(s.candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.id, b.id))
	})
	s.freedFrom = slices.Grow(s.freedFrom[:0], len(s.candidates)+1)[:len(s.candidates)+1]
	s.freedFrom[len(s.candidates)] = medlarwheel.Resources{}
	for i := len(s.candidates) - 1; i >= 0; i-- {
		s.freedFrom[i] = s.freedFrom[i+1].Plus(s.candidates[i].frees)
	}
	s.greedy(w, missing, base)
	s.branch(w, 0, missing, base)
}

// greedy takes tasks in order of cost until there is room, and then drops the most expensive ones that are not needed.
// It gives a plan even when the steps run out.
func (s *preemptionSearch) greedy(w *worker, missing medlarwheel.Resources, cost time.Duration) {
	taken := 0
	for taken < len(s.candidates) && !covered(missing) {
		missing = missing.Minus(s.candidates[taken].frees)
		cost += s.candidates[taken].cost
		taken++
	}
	if !covered(missing) {
		return
	}
	forced := len(s.chosen)
	for i := taken - 1; i >= 0; i-- {
		c := &s.candidates[i]
		if without := missing.Plus(c.frees); covered(without) {
			missing, cost = without, cost-c.cost
			continue
		}
		s.chosen = append(s.chosen, Eviction{Task: c.id, LostProgress: c.lostProgress})
	}
	s.recordIfCheaper(w, cost)
	s.chosen = s.chosen[:forced]
}

// branch decides on the candidates from index i on.
func (s *preemptionSearch) branch(w *worker, i int, missing medlarwheel.Resources, cost time.Duration) {
	if cost >= s.bestCost || s.nodesLeft <= 0 {
		return
	}
	s.nodesLeft--
	if covered(missing) {
		s.recordIfCheaper(w, cost)
		return
	}
	if i == len(s.candidates) || !covered(missing.Minus(s.freedFrom[i])) {
		return
	}
	c := &s.candidates[i]
	if useful(missing, c.frees) {
		s.chosen = append(s.chosen, Eviction{Task: c.id, LostProgress: c.lostProgress})
		s.branch(w, i+1, missing.Minus(c.frees), cost+c.cost)
		s.chosen = s.chosen[:len(s.chosen)-1]
	}
	s.branch(w, i+1, missing, cost)
}

func (s *preemptionSearch) recordIfCheaper(w *worker, cost time.Duration) {
	if cost >= s.bestCost {
		return
	}
	s.bestCost, s.bestWorker, s.bestEvictions = cost, w, slices.Clone(s.chosen)
}

// covered reports whether nothing is missing in any component.
func covered(missing medlarwheel.Resources) bool { return missing.Fits(medlarwheel.Resources{}) }

// useful reports whether frees reduces a component that is missing.
func useful(missing, frees medlarwheel.Resources) bool {
	return missing.CPU > 0 && frees.CPU > 0 || missing.Memory > 0 && frees.Memory > 0 ||
		missing.Accelerators > 0 && frees.Accelerators > 0
}
