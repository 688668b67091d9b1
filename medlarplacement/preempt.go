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
	Victims   []Eviction
	// Cost is the run time lost, with Config.Search.EvictionCost for each victim.
	Cost time.Duration
}

// Eviction is one task to evict.
type Eviction struct {
	Task medlarwheel.TaskID
	// Lost is the run time since the start or the last checkpoint. It is saved if the task can still write a checkpoint.
	Lost time.Duration
}

// Preempt finds the cheapest evictions on one worker that make room for a single task of r. Victims are batch tasks of a
// less urgent class. Gangs are not supported. The search is bounded: it visits Config.ScanLimit workers, searches
// Config.Search.Workers of them and takes Config.Search.Nodes steps; beyond these the plan may not be the cheapest.
func (x *Index) Preempt(now time.Time, r *Request) (Plan, bool) {
	rank := r.Class.Rank()
	if len(r.Check()) > 0 || r.count() > 1 || rank >= evictableClasses {
		return Plan{}, false
	}
	s := &x.search
	*s = search{rank: rank, now: now, evictionCost: x.config.Search.EvictionCost, nodes: x.config.Search.Nodes,
		best: time.Duration(math.MaxInt64), suffix: s.suffix[:0], chosen: s.chosen[:0]}
	size, searched := r.full(), 0
	x.walk.start(&x.open, &need{anyTenancy: true}, x.random)
	for range x.config.ScanLimit {
		w := x.walk.visit()
		if w == nil || searched == x.config.Search.Workers {
			break
		}
		if !size.Fits(w.free().Plus(w.evictable[rank])) || slices.Contains(r.Exclude, w.id) {
			continue
		}
		if x.searchWorker(s, r, w, size) {
			searched++
		}
	}
	if s.bestWorker == nil {
		return Plan{}, false
	}
	return Plan{Worker: s.bestWorker.id, Committed: size, Victims: s.bestVictims, Cost: s.best}, true
}

// searchWorker searches the cheapest victims on w. It reports false if the rules of r leave none.
func (x *Index) searchWorker(s *search, r *Request, w *worker, size medlarwheel.Resources) bool {
	missing := size.Minus(w.free())
	forced, ok := x.forced(s, r, w, &missing)
	if !ok {
		return false
	}
	s.candidates = s.candidates[:0]
	for i := range w.tasks {
		if t := &w.tasks[i]; s.mayEvict(t) && !slices.Contains(forced, t.ID) {
			s.candidates = append(s.candidates, candidate{id: t.ID, cost: s.cost(t), frees: t.Committed, lost: t.LostProgress(s.now)})
		}
	}
	base := time.Duration(0)
	s.chosen = s.chosen[:0]
	for _, id := range forced {
		at, _ := w.find(id)
		t := &w.tasks[at]
		base += s.cost(t)
		s.chosen = append(s.chosen, Eviction{Task: id, Lost: t.LostProgress(s.now)})
	}
	s.run(w, missing, base)
	return true
}

// forced returns the tasks that must go because of the rules on sharing and spread, and takes what they free off missing.
func (x *Index) forced(s *search, r *Request, w *worker, missing *medlarwheel.Resources) ([]medlarwheel.TaskID, bool) {
	var ids []medlarwheel.TaskID
	if !w.admits(x.estimator.KindOf(r.Template), r.MayShare) {
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
	full := r.Spread > 0 && x.spread.onRack(w, r.Group) >= r.Spread
	return ids, !full
}

// search is a branch and bound search for the cheapest victims, over several workers with one bound.
type search struct {
	rank         int
	now          time.Time
	evictionCost time.Duration
	nodes        int

	candidates []candidate
	// suffix holds what all candidates from an index on would free together.
	suffix []medlarwheel.Resources
	chosen []Eviction

	best        time.Duration
	bestWorker  *worker
	bestVictims []Eviction
}

// candidate is a task that may be evicted.
type candidate struct {
	id    medlarwheel.TaskID
	cost  time.Duration
	frees medlarwheel.Resources
	lost  time.Duration
}

func (s *search) mayEvict(t *task) bool {
	return t.Kind == medlarwheel.KindBatch && t.Class.Rank() > s.rank
}

func (s *search) cost(t *task) time.Duration { return s.evictionCost + t.LostProgress(s.now) }

// run searches one worker. The search starts with the cheapest tasks first, which gives a first plan at once.
func (s *search) run(w *worker, missing medlarwheel.Resources, base time.Duration) {
	slices.SortFunc(s.candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.id, b.id))
	})
	s.suffix = slices.Grow(s.suffix[:0], len(s.candidates)+1)[:len(s.candidates)+1]
	s.suffix[len(s.candidates)] = medlarwheel.Resources{}
	for i := len(s.candidates) - 1; i >= 0; i-- {
		s.suffix[i] = s.suffix[i+1].Plus(s.candidates[i].frees)
	}
	s.greedy(w, missing, base)
	s.branch(w, 0, missing, base)
}

// greedy takes tasks in order of cost until there is room, and then drops the most expensive ones that are not needed.
// It gives a plan even when the steps run out.
func (s *search) greedy(w *worker, missing medlarwheel.Resources, cost time.Duration) {
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
		s.chosen = append(s.chosen, Eviction{Task: c.id, Lost: c.lost})
	}
	s.keep(w, cost)
	s.chosen = s.chosen[:forced]
}

// branch decides on the candidates from index i on.
func (s *search) branch(w *worker, i int, missing medlarwheel.Resources, cost time.Duration) {
	if cost >= s.best || s.nodes <= 0 {
		return
	}
	s.nodes--
	if covered(missing) {
		s.keep(w, cost)
		return
	}
	if i == len(s.candidates) || !covered(missing.Minus(s.suffix[i])) {
		return
	}
	c := &s.candidates[i]
	if useful(missing, c.frees) {
		s.chosen = append(s.chosen, Eviction{Task: c.id, Lost: c.lost})
		s.branch(w, i+1, missing.Minus(c.frees), cost+c.cost)
		s.chosen = s.chosen[:len(s.chosen)-1]
	}
	s.branch(w, i+1, missing, cost)
}

func (s *search) keep(w *worker, cost time.Duration) {
	if cost >= s.best {
		return
	}
	s.best, s.bestWorker, s.bestVictims = cost, w, slices.Clone(s.chosen)
}

// covered reports whether nothing is missing in any component.
func covered(missing medlarwheel.Resources) bool { return missing.Fits(medlarwheel.Resources{}) }

// useful reports whether frees reduces a component that is missing.
func useful(missing, frees medlarwheel.Resources) bool {
	return missing.CPU > 0 && frees.CPU > 0 || missing.Memory > 0 && frees.Memory > 0 ||
		missing.Accelerators > 0 && frees.Accelerators > 0
}
