package medlarplacement

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwheel"
)

// referenceIndex is a simple reference implementation of Index. It recomputes every sum over the tasks for each query.
type referenceIndex struct {
	workers []*WorkerState
	usage   map[medlarwheel.WorkerID]Usage
}

func (reference *referenceIndex) fits(now time.Time, w *WorkerState, r *Request) (medlarwheel.Resources, bool) {
	committed, onRack, closed, others := w.Reserved, 0, false, false
	u, measured := reference.usage[w.ID]
	measured = measured && now.Sub(u.At) <= DefaultConfig().MaxUsageAge
	expected := u.Used
	for i := range w.Tasks {
		t := &w.Tasks[i]
		committed = committed.Plus(t.Committed)
		closed = closed || !t.MayShare
		others = others || t.Template != r.Template
		if !slices.ContainsFunc(u.Tasks, func(o TaskUsage) bool { return o.Task == t.ID }) {
			expected = expected.Plus(t.Size)
		}
	}
	for _, o := range reference.workers {
		for i := range o.Tasks {
			if o.Rack == w.Rack && o.DataCentre == w.DataCentre && o.Tasks[i].Group == r.Group {
				onRack++
			}
		}
	}
	switch {
	case w.Marks.any(), slices.Contains(r.ExcludedWorkers, w.ID), r.MaxPerRack > 0 && onRack >= r.MaxPerRack,
		r.MayShare && closed, !r.MayShare && others:
		return medlarwheel.Resources{}, false
	}
	free, idle := w.Size.Minus(committed), w.Size.Minus(expected)
	idle.CPU -= w.Size.CPU / 10
	idle.Memory -= w.Size.Memory / 10
	idle.Accelerators = free.Accelerators
	if measured && r.maxUsage().Fits(idle) && r.minCommitment().Fits(free) {
		return r.minCommitment(), true
	}
	return r.maxUsage(), r.maxUsage().Fits(free)
}

// place scans all workers for all tasks of a gang. First fit finds a placement if there is one, because the tasks are
// equal and the bounds by worker and by rack are independent of each other.
func (reference *referenceIndex) place(now time.Time, r *Request) bool {
	placed := 0
	defer func() {
		for _, w := range reference.workers {
			w.Tasks = slices.DeleteFunc(w.Tasks, func(t TaskState) bool { return t.ID[0] == '_' })
		}
	}()
	for _, w := range reference.workers {
		for placed < r.taskCount() {
			committed, ok := reference.fits(now, w, r)
			if !ok {
				break
			}
			w.Tasks = append(w.Tasks, r.TaskState(gangTask(placed), Assignment{Committed: committed}, now))
			placed++
		}
	}
	return placed == r.taskCount()
}

func (reference *referenceIndex) find(id medlarwheel.WorkerID) *WorkerState {
	at := slices.IndexFunc(reference.workers, func(w *WorkerState) bool { return w.ID == id })
	if at < 0 {
		return nil
	}
	return reference.workers[at]
}

// drawUniform draws a number from a uniform distribution. The ranges of rapid prefer small numbers, with which most
// requests fit anywhere.
func drawUniform(rt *rapid.T, label string, low, high int) int {
	numbers := make([]int, high-low+1)
	for i := range numbers {
		numbers[i] = low + i
	}
	return rapid.SampledFrom(numbers).Draw(rt, label)
}

func drawSize(rt *rapid.T, label string, cpu, memory int) medlarwheel.Resources {
	return medlarwheel.Resources{
		CPU:    medlarwheel.MilliCPU(drawUniform(rt, label+"-cpu", 1, cpu)),
		Memory: medlarwheel.MegaBytes(drawUniform(rt, label+"-memory", 0, memory)),
	}
}

func drawRequest(rt *rapid.T) *Request {
	kind := rapid.SampledFrom([]medlarwheel.Kind{medlarwheel.KindService, medlarwheel.KindBatch}).Draw(rt, "kind")
	template := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "template")
	r := &Request{
		Template: medlarwheel.TemplateName(template), Kind: kind, Class: medlarwheel.ClassStandard, Group: Group(template),
		Size: drawSize(rt, "size", 12, 12), MaxPerRack: drawUniform(rt, "max-per-rack", 0, 3),
		MayShare: drawUniform(rt, "share", 0, 4) > 0, Gang: rapid.SampledFrom([]int{0, 0, 0, 2, 5}).Draw(rt, "gang"),
	}
	r.Size.Accelerators = medlarwheel.Accelerators(max(0, drawUniform(rt, "accelerators", 0, 10)-8))
	if rapid.Bool().Draw(rt, "measured") {
		r.Measured = drawSize(rt, "measured-size", 14, 14)
	}
	if drawUniform(rt, "excludes", 0, 3) == 0 {
		r.ExcludedWorkers = []medlarwheel.WorkerID{"w1", "w2"}
	}
	return r
}

// checkPlace applies generated changes and requests to an Index. It fails if a placement exceeds a worker's capacity or
// violates a constraint, and if no placement is found although a full scan finds one.
func checkPlace(tb testing.TB, config Config, fault injectedFault) {
	rapid.Check(tb, func(rt *rapid.T) {
		reference := &referenceIndex{usage: map[medlarwheel.WorkerID]Usage{}}
		x := NewIndex(config, nil, rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0)))
		now, sequence := epoch, uint64(0)
		for step := range drawUniform(rt, "steps", 10, 60) {
			now = now.Add(time.Duration(drawUniform(rt, "seconds", 0, 40)) * time.Second)
			id := medlarwheel.WorkerID(fmt.Sprintf("w%d", drawUniform(rt, "worker", 0, 5)))
			w := reference.find(id)
			switch action := drawUniform(rt, "action", 0, 9); {
			case w == nil:
				w = &WorkerState{ID: id, DataCentre: "dc", Rack: medlarwheel.RackID(rapid.SampledFrom([]string{"r1", "r2", ""}).Draw(rt, "rack"))}
				w.Size = drawSize(rt, "worker-size", 40, 40)
				w.Size.Accelerators = medlarwheel.Accelerators(drawUniform(rt, "devices", 0, 3))
				reference.workers = append(reference.workers, w)
				x.Upsert(*w)
			case action == 0:
				reference.workers = slices.DeleteFunc(reference.workers, func(o *WorkerState) bool { return o == w })
				delete(reference.usage, id)
				x.Remove(id)
			case action == 1:
				w.Marks = Marks{Probation: rapid.Bool().Draw(rt, "probation"), Draining: rapid.Bool().Draw(rt, "draining")}
				if fault != dropsMarks {
					x.SetMarks(id, w.Marks)
				}
			case action == 2 && len(w.Tasks) > 0:
				if fault != dropsReleases {
					x.Release(id, w.Tasks[0].ID)
				}
				w.Tasks = slices.Delete(w.Tasks, 0, 1)
			case action == 3:
				sequence++
				u := Usage{Worker: id, Sequence: sequence, At: now, Used: drawSize(rt, "used", 20, 20)}
				for i := range w.Tasks {
					u.Tasks = append(u.Tasks, TaskUsage{Task: w.Tasks[i].ID})
				}
				reference.usage[id] = u
				x.Observe(u)
			case action == 4:
				x.Upsert(*w)
			default:
				placeOnce(rt, reference, x, now, step, fault)
			}
		}
	})
}

func placeOnce(rt *rapid.T, reference *referenceIndex, x *Index, now time.Time, step int, fault injectedFault) {
	r := drawRequest(rt)
	d, ok := x.Place(now, r)
	if !ok {
		if reference.place(now, r) {
			rt.Fatalf("no placement found for %+v, but a full scan finds one", r)
		}
		return
	}
	if len(d.Assignments) != r.taskCount() {
		rt.Fatalf("got %d assignments for a gang of %d tasks", len(d.Assignments), r.taskCount())
	}
	for i, a := range d.Assignments {
		w := reference.find(a.Worker)
		committed, fits := reference.fits(now, w, r)
		if !fits || a.Committed != committed {
			rt.Fatalf("request %+v got assignment %+v on worker %+v, want %+v committed (fits: %v)", r, a, w, committed, fits)
		}
		t := r.TaskState(medlarwheel.TaskID(fmt.Sprintf("t%d-%d", step, i)), a, now)
		if fault != dropsCommits {
			if err := x.Commit(a.Worker, t); err != nil {
				rt.Fatalf("commit of %+v on worker %s: %v", t, a.Worker, err)
			}
		}
		w.Tasks = append(w.Tasks, t)
	}
}

// smallSampleConfig returns a configuration with which the scan has to go beyond the sample on a few workers.
func smallSampleConfig() Config {
	c := DefaultConfig()
	c.SampleSize, c.SampleScanLimit = 2, 3
	return c
}

// injectedFault is a kind of change that checkPlace does not pass on to the index.
type injectedFault int

const (
	noFault injectedFault = iota
	dropsMarks
	dropsCommits
	dropsReleases
)

// Guards against placements that exceed a worker's capacity, ignore its marks or violate the constraints on sharing and
// racks, and against failed placements when the sample has no fit but a full scan finds one. Both come about when the
// incremental sums or buckets of the index differ from the tasks on the workers.
func TestPlaceAgreesWithFullScan(t *testing.T) {
	// Some faults, such as measurements lost in Upsert, are detected only by a few of 1,000 runs.
	flags := flag.Lookup("rapid.checks").Value
	checks := flags.String()
	_ = flags.Set("10000")
	checkPlace(t, smallSampleConfig(), noFault)
	_ = flags.Set(checks)
	for name, injected := range map[string]injectedFault{"marks": dropsMarks, "commitments": dropsCommits, "releases": dropsReleases} {
		mustDetect(t, name+" do not reach the index", func(tb testing.TB) { checkPlace(tb, smallSampleConfig(), injected) })
	}
	mustDetect(t, "no scan beyond the sample", func(tb testing.TB) {
		c := smallSampleConfig()
		c.ScanLimit = c.SampleScanLimit
		checkPlace(tb, c, noFault)
	})
}

// Guards against an iteration order that skips neighbouring workers: a placement must be found if as many workers fit
// as DefaultConfig documents, even if they are next to each other. It fails if the permutation mixes too little.
func TestScanFindsPlaceWhenDocumentedMinimumFits(t *testing.T) {
	const workers, fitting, trials = 2800, 36, 20_000
	check := func(tb testing.TB, config Config) {
		x := NewIndex(config, nil, rand.New(rand.NewPCG(7, 7)))
		r := &Request{Template: "a", Kind: medlarwheel.KindService, Class: medlarwheel.ClassUrgent, Group: "g",
			Size: medlarwheel.Resources{CPU: 1000}, MaxPerRack: 1, MayShare: true}
		for i := range workers {
			w := WorkerState{ID: medlarwheel.WorkerID(fmt.Sprint(i)), Rack: medlarwheel.RackID(fmt.Sprint(i)), Size: workerSize}
			if i < 1000 || i >= 1000+fitting {
				w.Tasks = []TaskState{{ID: "t", Template: "a", Group: "g", MayShare: true}}
			}
			x.Upsert(w)
		}
		for i := range trials {
			if _, ok := x.Place(epoch, r); !ok {
				tb.Fatalf("trial %d: no placement found, although %d of %d workers fit", i, fitting, workers)
			}
		}
	}
	check(t, DefaultConfig())
	mustDetect(t, "scan of a quarter of the limit", func(tb testing.TB) {
		c := DefaultConfig()
		c.ScanLimit /= 4
		check(tb, c)
	})
}
