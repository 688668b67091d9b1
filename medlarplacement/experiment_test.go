package medlarplacement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"medlarwheel"
)

// The experiment runs one policy on workers whose interference is hidden from it. Services run throughout, and batch
// tasks are offered without end. Measurements are noisy and arrive 5 to 30 s late.
const (
	updateEvery       = 5 * time.Second
	reportEvery       = 10 * time.Second
	scheduleEvery     = 15 * time.Second
	checkpointEvery   = 5 * time.Minute
	checkpointTakes   = 10 * time.Second
	restartCost       = 30 * time.Second // Work done again after an eviction with a checkpoint.
	throttledSpeed    = 0.3
	warmUp            = 30 * time.Minute // Not measured, for every policy.
	waitingPerWorker  = 1                // Batch tasks waiting at any time, per worker.
	startsPerRound    = 2250             // Starts tried every 15 s: 150 a second.
	serviceTemplates  = 30
	batchTemplates    = 60
	servicesPerWorker = 5.4 // Services: 15,000 on 2,800 workers.
)

var (
	workerSize = medlarwheel.Resources{CPU: 32_000, Memory: 125_000}
	epoch      = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

// simTemplate is a template with its hidden behaviour.
type simTemplate struct {
	declared medlarwheel.Template
	// actual is the use relative to the declared size.
	actual, phase           float64
	aggression, sensitivity float64
}

type simTask struct {
	id                        medlarwheel.TaskID
	template                  int
	work, done, checkpointed  float64 // Seconds at full speed.
	startedAt, checkpointedAt time.Time
	stopAt                    time.Time
	waitingSince              time.Time
	throttled                 bool
	lastWorker                int
	slowdown, cpu             float64
}

type simWorker struct {
	id       medlarwheel.WorkerID
	index    int
	tasks    []*simTask
	load     float64
	sequence uint64
}

// policy is what the experiment compares.
type policy interface {
	place(now time.Time, w *simulation, t *simTask) (worker int, ok bool)
	ended(worker int, t *simTask)
	report(now time.Time, u Usage, present []TemplateCount, victims []Observation) []Action
}

type simulation struct {
	random      *rand.Rand
	templates   []simTemplate
	trueEffects [][]float64
	workers     []*simWorker
	pending     []*simTask
	events      map[int64][]func() // What happens, by Unix second.
	now         time.Time
	policy      policy
	nextID      int
	metrics
}

// metrics are set back after the warm-up.
type metrics struct {
	histogram    [4000]int // Slowdowns of services in steps of 0.01.
	samples      int
	work         float64
	running      time.Duration
	evictions    int
	templateWork [serviceTemplates + batchTemplates]float64
}

// results are the figures of one run.
type results struct {
	tail        float64 // 99th percentile of the slowdown of services.
	throughput  float64 // Batch work done, in hours at full speed per hour and worker.
	evictions   float64 // Per 1,000 hours of batch tasks running.
	leastServed float64 // Share of the batch work of the least served kind, relative to an equal share.
}

func newSimulation(seed uint64, workers int) *simulation {
	w := &simulation{random: rand.New(rand.NewPCG(seed, 1)), now: epoch, events: map[int64][]func(){}}
	for k := range serviceTemplates + batchTemplates {
		w.templates = append(w.templates, w.newTemplate(k))
	}
	for v := range w.templates {
		row := make([]float64, len(w.templates))
		for a := range row {
			row[a] = w.templates[v].sensitivity * w.templates[a].aggression * math.Exp(0.5*w.random.NormFloat64())
		}
		w.trueEffects = append(w.trueEffects, row)
	}
	for i := range workers {
		w.workers = append(w.workers, &simWorker{id: medlarwheel.WorkerID(fmt.Sprintf("w%04d", i)), index: i})
	}
	return w
}

func (w *simulation) newTemplate(k int) simTemplate {
	uniform := func(low, high float64) float64 { return low + (high-low)*w.random.Float64() }
	kind := simTemplate{phase: uniform(0, 2*math.Pi), aggression: uniform(0, 0.02), sensitivity: uniform(0.2, 1.5)}
	spec := &medlarwheel.TaskSpec{MayShare: true}
	name, class, is := fmt.Sprintf("batch-%d", k), medlarwheel.ClassBackground, medlarwheel.KindBatch
	if k < serviceTemplates {
		name, class, is = fmt.Sprintf("service-%d", k), medlarwheel.ClassUrgent, medlarwheel.KindService
		spec.Size = medlarwheel.Resources{CPU: medlarwheel.MilliCPU(uniform(1000, 4000)), Memory: medlarwheel.MegaBytes(uniform(2000, 10_000))}
		kind.actual, kind.aggression = uniform(0.3, 0.6), uniform(0, 0.01)
	} else {
		spec.Size = medlarwheel.Resources{CPU: medlarwheel.MilliCPU(uniform(1000, 6000)), Memory: medlarwheel.MegaBytes(uniform(4000, 16_000))}
		kind.actual = uniform(0.3, 0.8)
		if k%10 == 0 {
			kind.actual = uniform(1, 1.2) // Declared too small.
		}
		if k%6 == 0 {
			kind.aggression = uniform(0.1, 0.6)
		}
	}
	kind.declared = medlarwheel.Template{Name: medlarwheel.TemplateName(name), Kind: is, Class: class, Task: spec}
	return kind
}

func (w *simulation) after(delay time.Duration, run func()) {
	at := w.now.Add(delay).Unix()
	w.events[at] = append(w.events[at], run)
}

func (w *simulation) newTask(kind int) *simTask {
	w.nextID++
	return &simTask{
		id: medlarwheel.TaskID(fmt.Sprintf("t%06d", w.nextID)), template: kind, work: 600 + 1800*w.random.Float64(), lastWorker: -1,
		waitingSince: w.now,
	}
}

// run plays the policy for a time after the warm-up and returns its figures.
func (w *simulation) run(p policy, length time.Duration) results {
	w.policy = p
	for range int(servicesPerWorker * float64(len(w.workers))) {
		if t := w.newTask(w.random.IntN(serviceTemplates)); !w.start(t) {
			panic("a service found no place")
		}
	}
	for _, worker := range w.workers {
		w.after(time.Duration(w.random.Int64N(int64(updateEvery))), func() { w.update(worker) })
		w.after(time.Duration(w.random.Int64N(int64(reportEvery))), func() { w.measure(worker) })
	}
	w.after(0, w.schedule)
	w.after(warmUp, func() { w.metrics = metrics{} })
	end := epoch.Add(warmUp + length)
	for ; w.now.Before(end); w.now = w.now.Add(time.Second) {
		// Events for the present second may be added while it runs.
		for at := w.now.Unix(); len(w.events[at]) > 0; {
			due := w.events[at]
			delete(w.events, at)
			for _, run := range due {
				run()
			}
		}
	}
	r := results{
		throughput: w.work / length.Seconds() / float64(len(w.workers)),
		evictions:  1000 * float64(w.evictions) / w.running.Hours(),
	}
	r.leastServed = slices.Min(w.templateWork[serviceTemplates:]) * batchTemplates / w.work
	for seen, i := 0, 0; i < len(w.histogram); i++ {
		if seen += w.histogram[i]; seen*100 >= w.samples*99 {
			r.tail = 1 + float64(i)/100
			break
		}
	}
	return r
}

func (w *simulation) start(t *simTask) bool {
	at, ok := w.policy.place(w.now, w, t)
	if ok {
		t.startedAt, t.checkpointedAt, t.throttled, t.stopAt = w.now, w.now, false, time.Time{}
		w.workers[at].tasks = append(w.workers[at].tasks, t)
	}
	return ok
}

// schedule tries waiting tasks in turn. Those that find no place go to the back of the queue.
func (w *simulation) schedule() {
	for len(w.pending) < waitingPerWorker*len(w.workers) {
		w.pending = append(w.pending, w.newTask(serviceTemplates+w.random.IntN(batchTemplates)))
	}
	tried := slices.Clone(w.pending[:min(startsPerRound, len(w.pending))])
	w.pending = append(w.pending[len(tried):], slices.DeleteFunc(tried, w.start)...)
	w.after(scheduleEvery, w.schedule)
}

func (w *simulation) end(worker *simWorker, t *simTask) {
	worker.tasks = slices.DeleteFunc(worker.tasks, func(o *simTask) bool { return o == t })
	w.policy.ended(worker.index, t)
}

// cpu returns the processors that a task uses now, in cores.
func (w *simulation) cpu(t *simTask) float64 {
	k := &w.templates[t.template]
	use := k.actual * float64(k.declared.Task.Size.CPU) / 1000
	if k.declared.Kind == medlarwheel.KindService {
		return use * (1 + 0.6*math.Sin(2*math.Pi*w.now.Sub(epoch).Hours()/2+k.phase/4))
	}
	if t.throttled {
		return use * throttledSpeed
	}
	return use
}

// update moves the tasks of one worker on by one period.
func (w *simulation) update(worker *simWorker) {
	total := 0.0
	for _, t := range worker.tasks {
		t.cpu = w.cpu(t)
		total += t.cpu
	}
	worker.load = total / (float64(workerSize.CPU) / 1000)
	strain := 0.3 + worker.load*worker.load
	for _, t := range slices.Clone(worker.tasks) {
		t.slowdown = 1
		for _, o := range worker.tasks {
			if o == t {
				continue
			}
			effect := w.trueEffects[t.template][o.template] * strain
			if o.throttled {
				effect *= throttledSpeed
			}
			t.slowdown += effect
		}
		if worker.load > 0.7 {
			t.slowdown *= 1 + 2*(worker.load-0.7)*(worker.load-0.7) + max(0, worker.load-1)
		}
		if w.templates[t.template].declared.Kind == medlarwheel.KindService {
			w.histogram[min(len(w.histogram)-1, int((t.slowdown-1)*100))]++
			w.samples++
			continue
		}
		w.progress(worker, t)
	}
	w.after(updateEvery, func() { w.update(worker) })
}

func (w *simulation) progress(worker *simWorker, t *simTask) {
	speed := 1 / (max(1, worker.load) * (1 + (t.slowdown-1)/2))
	if t.throttled {
		speed *= throttledSpeed
	}
	step := speed * updateEvery.Seconds()
	t.done += step
	w.work += step
	w.templateWork[t.template] += step
	w.running += updateEvery
	if w.now.Sub(t.checkpointedAt) >= checkpointEvery {
		t.checkpointed, t.checkpointedAt = t.done, w.now
	}
	switch {
	case t.done >= t.work:
		w.end(worker, t)
	case !t.stopAt.IsZero() && !w.now.Before(t.stopAt):
		t.checkpointed = t.done
		w.requeue(worker, t)
	}
}

func (w *simulation) requeue(worker *simWorker, t *simTask) {
	w.evictions++
	w.end(worker, t)
	kept := max(0, t.checkpointed-restartCost.Seconds())
	w.work -= t.done - kept
	w.templateWork[t.template] -= t.done - kept
	t.done, t.lastWorker, t.waitingSince = kept, worker.index, w.now
	w.pending = append([]*simTask{t}, w.pending...)
}

// measure sends a noisy report, which arrives late.
func (w *simulation) measure(worker *simWorker) {
	worker.sequence += 100
	u := Usage{Worker: worker.id, Sequence: worker.sequence, At: w.now}
	counts := map[int]int{}
	var observations []Observation
	for _, t := range worker.tasks {
		k := &w.templates[t.template]
		counts[t.template]++
		used := medlarwheel.Resources{
			CPU:    medlarwheel.MilliCPU(1000 * w.cpu(t) * (1 + 0.1*w.random.NormFloat64())),
			Memory: medlarwheel.MegaBytes(min(1, k.actual) * float64(k.declared.Task.Size.Memory)),
		}
		report := TaskUsage{Task: t.id, Used: used, Throttled: t.throttled, CheckpointAt: t.checkpointedAt}
		if k.declared.Kind == medlarwheel.KindService && t.slowdown > 0 {
			report.Slowdown = t.slowdown * math.Exp(0.1*w.random.NormFloat64())
			observations = append(observations, Observation{
				Worker: worker.id, Sequence: worker.sequence + uint64(len(observations)), At: w.now,
				Victim: k.declared.Name, Load: worker.load, Slowdown: report.Slowdown,
			})
		}
		u.Used = u.Used.Plus(used)
		u.Tasks = append(u.Tasks, report)
	}
	var present []TemplateCount
	for k := range w.templates {
		if counts[k] > 0 {
			present = append(present, TemplateCount{Template: w.templates[k].declared.Name, Count: counts[k]})
		}
	}
	delay := 5*time.Second + time.Duration(w.random.Int64N(int64(25*time.Second)))
	w.after(delay, func() {
		for _, a := range w.policy.report(w.now, u, present, observations) {
			w.act(worker, a)
		}
	})
	w.after(reportEvery, func() { w.measure(worker) })
}

func (w *simulation) act(worker *simWorker, a Action) {
	at := slices.IndexFunc(worker.tasks, func(t *simTask) bool { return t.id == a.Task })
	if at < 0 {
		return
	}
	switch t := worker.tasks[at]; a.Kind {
	case ActionThrottle, ActionRelease:
		t.throttled = a.Kind == ActionThrottle
	case ActionEvict:
		t.stopAt = w.now.Add(checkpointTakes)
	case ActionStop:
		w.requeue(worker, t)
	}
}
