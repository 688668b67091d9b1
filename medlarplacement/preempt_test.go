package medlarplacement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwheel"
)

// cheapestByEnumeration returns the cost of the cheapest evictions by trying every set of tasks on every worker.
func cheapestByEnumeration(config Config, now time.Time, workers []WorkerState, r *Request) (time.Duration, bool) {
	best, found := time.Duration(0), false
	for i := range workers {
		w := &workers[i]
		for set := range 1 << len(w.Tasks) {
			remaining := WorkerState{ID: w.ID, Size: w.Size, Marks: w.Marks}
			cost, allowed := time.Duration(0), true
			for j := range w.Tasks {
				t := &w.Tasks[j]
				if set&(1<<j) == 0 {
					remaining.Tasks = append(remaining.Tasks, *t)
					continue
				}
				allowed = allowed && t.Kind == medlarwheel.KindBatch && t.Class.Rank() > r.Class.Rank()
				cost += config.Preemption.EvictionCost + t.LostProgress(now)
			}
			reference := referenceIndex{workers: []*WorkerState{&remaining}}
			if _, fits := reference.fits(now, &remaining, r); fits && allowed && (!found || cost < best) {
				best, found = cost, true
			}
		}
	}
	return best, found
}

// checkPreempt compares the plans of Preempt for generated workers and requests with an enumeration. injectFault changes
// the tasks that the index contains, but not those that are enumerated.
func checkPreempt(tb testing.TB, config Config, injectFault func(*TaskState)) {
	rapid.Check(tb, func(rt *rapid.T) {
		now := epoch.Add(time.Hour)
		x := NewIndex(config, nil, rand.New(rand.NewPCG(1, 1)))
		var workers []WorkerState
		for i := range rapid.IntRange(1, 4).Draw(rt, "workers") {
			w := WorkerState{ID: medlarwheel.WorkerID(fmt.Sprint("w", i)), Size: drawSize(rt, "worker-size", 25, 25)}
			w.Marks.Draining = rapid.IntRange(0, 5).Draw(rt, "draining") == 0
			for j := range rapid.IntRange(2, 8).Draw(rt, "tasks") {
				t := TaskState{
					ID: medlarwheel.TaskID(fmt.Sprint("t", j)), Template: "a", MayShare: rapid.IntRange(0, 6).Draw(rt, "share") > 0,
					Kind:      rapid.SampledFrom([]medlarwheel.Kind{medlarwheel.KindBatch, medlarwheel.KindBatch, medlarwheel.KindService}).Draw(rt, "kind"),
					Class:     rapid.SampledFrom(medlarwheel.Classes()).Draw(rt, "class"),
					Committed: drawSize(rt, "committed", 10, 3),
					StartedAt: now.Add(-time.Duration(rapid.IntRange(0, 900).Draw(rt, "age")) * time.Second),
				}
				t.Size = t.Committed
				w.Tasks = append(w.Tasks, t)
			}
			workers = append(workers, w)
			indexed := w
			indexed.Tasks = append([]TaskState(nil), w.Tasks...)
			for j := range indexed.Tasks {
				injectFault(&indexed.Tasks[j])
			}
			x.Upsert(indexed)
		}
		r := &Request{Template: "b", Kind: medlarwheel.KindService, Class: rapid.SampledFrom(medlarwheel.Classes()).Draw(rt, "request-class"),
			Size: drawSize(rt, "size", 20, 5), MayShare: rapid.IntRange(0, 4).Draw(rt, "may-share") > 0}
		want, possible := cheapestByEnumeration(config, now, workers, r)
		plan, ok := x.Preempt(now, r)
		if ok != possible || plan.Cost != want {
			rt.Fatalf("got plan %+v (found: %v), want cost %v (possible: %v)", plan, ok, want, possible)
		}
		for _, eviction := range plan.Evictions {
			x.Release(plan.Worker, eviction.Task)
		}
		if ok && x.Commit(plan.Worker, TaskState{ID: "new", Committed: plan.Committed}) != nil {
			rt.Fatalf("the commit fails after the evictions of plan %+v", plan)
		}
	})
}

// checkSingleVictim runs three small tasks, each of them cheaper to evict than the large task whose eviction suffices.
func checkSingleVictim(tb testing.TB, config Config) {
	x := NewIndex(config, nil, rand.New(rand.NewPCG(1, 1)))
	w := WorkerState{ID: "w", Size: medlarwheel.Resources{CPU: 22}}
	for i, cpu := range []medlarwheel.MilliCPU{4, 4, 4, 10} {
		w.Tasks = append(w.Tasks, TaskState{ID: medlarwheel.TaskID(fmt.Sprint("t", i)), Kind: medlarwheel.KindBatch, MayShare: true,
			Class: medlarwheel.ClassBackground, Committed: medlarwheel.Resources{CPU: cpu}, StartedAt: epoch.Add(-time.Duration(cpu) * time.Second)})
	}
	x.Upsert(w)
	r := &Request{Template: "b", Kind: medlarwheel.KindService, Class: medlarwheel.ClassUrgent, MayShare: true, Size: medlarwheel.Resources{CPU: 10}}
	if plan, _ := x.Preempt(epoch, r); len(plan.Evictions) != 1 || plan.Evictions[0].Task != "t3" {
		tb.Fatalf("got plan %+v, want the eviction of t3 alone", plan)
	}
}

// Guards against evictions of work of the same or a more urgent class, against evictions that do not free enough
// capacity, and against a set of evictions that is more expensive than necessary, as a greedy choice alone would find
// it.
func TestPreemptFindsCheapestEvictions(t *testing.T) {
	unchanged := func(*TaskState) {}
	checkPreempt(t, DefaultConfig(), unchanged)
	checkSingleVictim(t, DefaultConfig())
	mustDetect(t, "only greedy choice", func(tb testing.TB) {
		c := DefaultConfig()
		c.Preemption.MaxNodes = 0
		checkSingleVictim(tb, c)
	})
	mustDetect(t, "classes are ignored", func(tb testing.TB) {
		checkPreempt(tb, DefaultConfig(), func(t *TaskState) { t.Class = "" })
	})
	mustDetect(t, "checkpoints are ignored", func(tb testing.TB) {
		checkPreempt(tb, DefaultConfig(), func(t *TaskState) { t.StartedAt = epoch })
	})
}
