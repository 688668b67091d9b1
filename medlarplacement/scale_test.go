package medlarplacement

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"medlarwheel"
)

// The design size: 32,000 tasks, of which 15,000 are services, 3,100 accelerators and 300 templates.
const (
	scaleTasks        = 32_000
	scaleServices     = 15_000
	scaleAccelerators = 3100
	scaleTemplates    = 300
	startsPerSecond   = 150
	startsPerReport   = startsPerSecond * 10
	// The control overhead per node is at most 64 MB. Placement gets half of it.
	heapLimit = 32_000_000
)

// scaleFixture is an index at scale with the tasks that run.
type scaleFixture struct {
	index        *Index
	interference *InterferenceModel
	random       *rand.Rand
	workers      int
	running      []Assignment
	ids          []medlarwheel.TaskID
	now          time.Time
	sequence     uint64
}

func newScaleFixture(tb testing.TB, workers int) *scaleFixture {
	s := &scaleFixture{random: rand.New(rand.NewPCG(41, 1)), workers: workers, now: epoch}
	s.interference = NewInterferenceModel(DefaultInterferenceModelConfig())
	s.index = NewIndex(DefaultConfig(), s.interference, rand.New(rand.NewPCG(41, 2)))
	each := max(4, scaleAccelerators/workers)
	hosts := scaleAccelerators / each
	for i := range workers {
		size := workerSize
		if (i+1)*hosts/workers > i*hosts/workers {
			size.Accelerators = medlarwheel.Accelerators(each)
		}
		s.index.Upsert(WorkerState{ID: s.worker(i), DataCentre: "dc", Rack: medlarwheel.RackID(fmt.Sprint("r", i/8)), Size: size})
	}
	for i := range scaleTasks {
		if i%startsPerReport == 0 {
			s.reportAll()
		}
		if !s.start(i < scaleServices) {
			tb.Fatalf("no place for task %d on %d workers", i, workers)
		}
	}
	s.reportAll()
	return s
}

func (s *scaleFixture) worker(i int) medlarwheel.WorkerID {
	return medlarwheel.WorkerID(fmt.Sprintf("worker-%04d", i))
}

// request draws a task of which 32,000 take three quarters of the workers.
func (s *scaleFixture) request(service bool) Request {
	mean := int64(s.workers) * int64(workerSize.CPU) * 3 / 4 / scaleTasks
	k := s.random.IntN(scaleTemplates / 2)
	r := Request{Template: medlarwheel.TemplateName(fmt.Sprint("batch-", k)), Kind: medlarwheel.KindBatch,
		Class: medlarwheel.ClassBackground, MayShare: true, CanCheckpoint: true}
	r.Size = medlarwheel.Resources{CPU: medlarwheel.MilliCPU(mean/2 + s.random.Int64N(mean)), Memory: medlarwheel.MegaBytes(mean + s.random.Int64N(mean))}
	r.Measured = medlarwheel.Resources{CPU: r.Size.CPU * 3 / 4, Memory: r.Size.Memory * 3 / 4}
	r.Group = Group(fmt.Sprint("job-", s.random.IntN(14_000)))
	switch {
	case service:
		r.Template, r.Kind, r.Class = medlarwheel.TemplateName(fmt.Sprint("service-", k)), medlarwheel.KindService, medlarwheel.ClassUrgent
		r.Group, r.MaxPerRack = Group(r.Template), max(10, 10*scaleTasks/scaleTemplates*8/s.workers)
	case s.random.IntN(12) == 0:
		r.Size.Accelerators = 1
	}
	return r
}

func (s *scaleFixture) start(service bool) bool {
	r := s.request(service)
	d, ok := s.index.Place(s.now, &r)
	if !ok {
		return false
	}
	s.sequence++
	id := medlarwheel.TaskID(fmt.Sprintf("task-%08d", s.sequence))
	a := d.Assignments[0]
	if err := s.index.Commit(a.Worker, r.TaskState(id, a, s.now)); err != nil {
		panic(err)
	}
	s.running, s.ids = append(s.running, a), append(s.ids, id)
	return true
}

func (s *scaleFixture) end(i int) {
	last := len(s.running) - 1
	s.index.Release(s.running[i].Worker, s.ids[i])
	s.running[i], s.ids[i] = s.running[last], s.ids[last]
	s.running, s.ids = s.running[:last], s.ids[:last]
}

// report measures one worker and learns from up to 16 of its templates.
func (s *scaleFixture) report(i int) {
	w := s.index.workers[s.worker(i)]
	s.sequence++
	u := Usage{Worker: w.id, Sequence: s.sequence, At: s.now}
	o := Observation{Worker: w.id, At: s.now, Load: 0.6}
	for j := range w.tasks {
		t := &w.tasks[j]
		half := medlarwheel.Resources{CPU: t.Committed.CPU / 2, Memory: t.Committed.Memory / 2}
		u.Used = u.Used.Plus(half)
		u.Tasks = append(u.Tasks, TaskUsage{Task: t.ID, Used: half, Slowdown: 1 + 0.2*s.random.Float64()})
		if j < 16 {
			o.Aggressors = append(o.Aggressors, TemplateCount{Template: t.Template, Count: 1})
		}
	}
	s.index.Observe(u)
	for j := range w.tasks[:min(len(w.tasks), 16)] {
		if t := &w.tasks[j]; t.Kind == medlarwheel.KindService {
			s.sequence++
			o.Sequence, o.Victim, o.Slowdown = s.sequence, t.Template, u.Tasks[j].Slowdown
			s.interference.Learn(s.now, o)
		}
	}
}

func (s *scaleFixture) reportAll() {
	for i := range s.workers {
		s.report(i)
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against memory per task or worker that outgrows the node's budget.
func TestHeapStaysWithinLimitAtDesignSize(t *testing.T) {
	before := heapInUse()
	s := newScaleFixture(t, 2800)
	used := heapInUse() - before
	t.Logf("seed 41: %d workers and %d tasks take %.1f MB with %d pairs", 2800, len(s.running), float64(used)/1e6, s.interference.Pairs())
	if used > heapLimit {
		t.Errorf("%d bytes are in use", used)
	}
	runtime.KeepAlive(s)
}

// BenchmarkStart measures one start (Place and Commit) with the end of another task, and one usage report with what is
// learnt from it, with 32,000 tasks.
func BenchmarkStart(b *testing.B) {
	for _, workers := range []int{100, 1000, 2800} {
		before := heapInUse()
		s := newScaleFixture(b, workers)
		heap := float64(heapInUse()-before) / 1e6
		b.Run(fmt.Sprintf("place/workers=%d", workers), func(b *testing.B) {
			failed := 0
			for i := 1; b.Loop(); i++ {
				if i%startsPerReport == 0 {
					b.StopTimer()
					s.reportAll()
					b.StartTimer()
				}
				s.end(s.random.IntN(len(s.running)))
				if !s.start(s.random.IntN(32) < 15) {
					failed++
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)*startsPerSecond/1e7, "%core-at-150/s")
			b.ReportMetric(heap, "heap-MB")
			b.ReportMetric(float64(failed)/float64(b.N), "failed")
		})
		b.Run(fmt.Sprintf("report/workers=%d", workers), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				s.report(i % workers)
			}
			// Each worker reports every 10 s.
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)*float64(workers)/10/1e7, "%core-at-report-per-10s")
		})
	}
}
