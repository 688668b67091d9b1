package medlarplacement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"medlarwheel"
)

// The simulation runs one policy on workers whose true interference the policy does not know. Services run throughout,
// and there are always batch tasks waiting. Measurements are noisy and arrive 5 to 30 s late.
const (
	updateInterval     = 5 * time.Second
	reportInterval     = 10 * time.Second
	scheduleInterval   = 15 * time.Second
	checkpointInterval = 5 * time.Minute
	checkpointDuration = 10 * time.Second
	restartCost        = 30 * time.Second // Work that is repeated after an eviction.
	throttledSpeed     = 0.3
	warmUp             = 30 * time.Minute // Excluded from the metrics of every policy.
	waitingPerWorker   = 1                // Batch tasks waiting at any time, per worker.
	startsPerRound     = 2250             // Placements attempted every 15 s: 150 a second.
	serviceTemplates   = 30
	batchTemplates     = 60
	servicesPerWorker  = 5.4 // Services: 15,000 on 2,800 workers.
)

var (
	workerSize = medlarwheel.Resources{CPU: 32_000, Memory: 125_000}
	epoch      = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

// simTemplate is a template with the behaviour that the policies do not know.
type simTemplate struct {
	declared medlarwheel.Template
	// actual is the processor use relative to the declared size, and phase shifts the periodic load of a service.
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

// policy is a scheduling policy to compare.
type policy interface {
	place(now time.Time, s *simulation, t *simTask) (worker int, ok bool)
	ended(worker int, t *simTask)
	report(now time.Time, u Usage, templateCounts []TemplateCount, victims []Observation) []Action
}

type simulation struct {
	random      *rand.Rand
	templates   []simTemplate
	trueEffects [][]float64
	workers     []*simWorker
	pending     []*simTask
	events      map[int64][]func() // By Unix second.
	now         time.Time
	policy      policy
	nextID      int
	metrics
}

// metrics are reset after the warm-up.
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
	leastServed float64 // Batch work of the least served template, relative to an equal share.
}

func newSimulation(seed uint64, workers int) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), now: epoch, events: map[int64][]func(){}}
	for k := range serviceTemplates + batchTemplates {
		s.templates = append(s.templates, s.newTemplate(k))
	}
	for v := range s.templates {
		row := make([]float64, len(s.templates))
		for a := range row {
			row[a] = s.templates[v].sensitivity * s.templates[a].aggression * math.Exp(0.5*s.random.NormFloat64())
		}
		s.trueEffects = append(s.trueEffects, row)
	}
	for i := range workers {
		s.workers = append(s.workers, &simWorker{id: medlarwheel.WorkerID(fmt.Sprintf("w%04d", i)), index: i})
	}
	return s
}

func (s *simulation) newTemplate(k int) simTemplate {
	uniform := func(low, high float64) float64 { return low + (high-low)*s.random.Float64() }
	template := simTemplate{phase: uniform(0, 2*math.Pi), aggression: uniform(0, 0.02), sensitivity: uniform(0.2, 1.5)}
	spec := &medlarwheel.TaskSpec{MayShare: true}
	name, class, kind := fmt.Sprintf("batch-%d", k), medlarwheel.ClassBackground, medlarwheel.KindBatch
	if k < serviceTemplates {
		name, class, kind = fmt.Sprintf("service-%d", k), medlarwheel.ClassUrgent, medlarwheel.KindService
		spec.Size = medlarwheel.Resources{CPU: medlarwheel.MilliCPU(uniform(1000, 4000)), Memory: medlarwheel.MegaBytes(uniform(2000, 10_000))}
		template.actual, template.aggression = uniform(0.3, 0.6), uniform(0, 0.01)
	} else {
		spec.Size = medlarwheel.Resources{CPU: medlarwheel.MilliCPU(uniform(1000, 6000)), Memory: medlarwheel.MegaBytes(uniform(4000, 16_000))}
		template.actual = uniform(0.3, 0.8)
		if k%10 == 0 {
			template.actual = uniform(1, 1.2) // Declared too small.
		}
		if k%6 == 0 {
			template.aggression = uniform(0.1, 0.6)
		}
	}
	template.declared = medlarwheel.Template{Name: medlarwheel.TemplateName(name), Kind: kind, Class: class, Task: spec}
	return template
}

func (s *simulation) after(delay time.Duration, run func()) {
	at := s.now.Add(delay).Unix()
	s.events[at] = append(s.events[at], run)
}

func (s *simulation) newTask(template int) *simTask {
	s.nextID++
	return &simTask{
		id: medlarwheel.TaskID(fmt.Sprintf("t%06d", s.nextID)), template: template, work: 600 + 1800*s.random.Float64(), lastWorker: -1,
		waitingSince: s.now,
	}
}

// run simulates the policy for the warm-up and the given time, and returns the figures of the latter.
func (s *simulation) run(p policy, length time.Duration) results {
	s.policy = p
	for range int(servicesPerWorker * float64(len(s.workers))) {
		if t := s.newTask(s.random.IntN(serviceTemplates)); !s.start(t) {
			panic("no placement for a service")
		}
	}
	for _, worker := range s.workers {
		s.after(time.Duration(s.random.Int64N(int64(updateInterval))), func() { s.update(worker) })
		s.after(time.Duration(s.random.Int64N(int64(reportInterval))), func() { s.measure(worker) })
	}
	s.after(0, s.schedule)
	s.after(warmUp, func() { s.metrics = metrics{} })
	end := epoch.Add(warmUp + length)
	for ; s.now.Before(end); s.now = s.now.Add(time.Second) {
		// Events may add more events for the same second.
		for at := s.now.Unix(); len(s.events[at]) > 0; {
			due := s.events[at]
			delete(s.events, at)
			for _, run := range due {
				run()
			}
		}
	}
	r := results{
		throughput: s.work / length.Seconds() / float64(len(s.workers)),
		evictions:  1000 * float64(s.evictions) / s.running.Hours(),
	}
	r.leastServed = slices.Min(s.templateWork[serviceTemplates:]) * batchTemplates / s.work
	for seen, i := 0, 0; i < len(s.histogram); i++ {
		if seen += s.histogram[i]; seen*100 >= s.samples*99 {
			r.tail = 1 + float64(i)/100
			break
		}
	}
	return r
}

func (s *simulation) start(t *simTask) bool {
	at, ok := s.policy.place(s.now, s, t)
	if ok {
		t.startedAt, t.checkpointedAt, t.throttled, t.stopAt = s.now, s.now, false, time.Time{}
		s.workers[at].tasks = append(s.workers[at].tasks, t)
	}
	return ok
}

// schedule tries to place waiting tasks in the order of the queue. Those without a placement go to its end.
func (s *simulation) schedule() {
	for len(s.pending) < waitingPerWorker*len(s.workers) {
		s.pending = append(s.pending, s.newTask(serviceTemplates+s.random.IntN(batchTemplates)))
	}
	tried := slices.Clone(s.pending[:min(startsPerRound, len(s.pending))])
	s.pending = append(s.pending[len(tried):], slices.DeleteFunc(tried, s.start)...)
	s.after(scheduleInterval, s.schedule)
}

func (s *simulation) end(worker *simWorker, t *simTask) {
	worker.tasks = slices.DeleteFunc(worker.tasks, func(o *simTask) bool { return o == t })
	s.policy.ended(worker.index, t)
}

// cpu returns the current processor use of a task in cores.
func (s *simulation) cpu(t *simTask) float64 {
	template := &s.templates[t.template]
	use := template.actual * float64(template.declared.Task.Size.CPU) / 1000
	if template.declared.Kind == medlarwheel.KindService {
		return use * (1 + 0.6*math.Sin(2*math.Pi*s.now.Sub(epoch).Hours()/2+template.phase/4))
	}
	if t.throttled {
		return use * throttledSpeed
	}
	return use
}

// update computes the load and the slowdowns on one worker and advances its tasks by one period.
func (s *simulation) update(worker *simWorker) {
	total := 0.0
	for _, t := range worker.tasks {
		t.cpu = s.cpu(t)
		total += t.cpu
	}
	worker.load = total / (float64(workerSize.CPU) / 1000)
	loadFactor := 0.3 + worker.load*worker.load
	for _, t := range slices.Clone(worker.tasks) {
		t.slowdown = 1
		for _, o := range worker.tasks {
			if o == t {
				continue
			}
			effect := s.trueEffects[t.template][o.template] * loadFactor
			if o.throttled {
				effect *= throttledSpeed
			}
			t.slowdown += effect
		}
		if worker.load > 0.7 {
			t.slowdown *= 1 + 2*(worker.load-0.7)*(worker.load-0.7) + max(0, worker.load-1)
		}
		if s.templates[t.template].declared.Kind == medlarwheel.KindService {
			s.histogram[min(len(s.histogram)-1, int((t.slowdown-1)*100))]++
			s.samples++
			continue
		}
		s.progress(worker, t)
	}
	s.after(updateInterval, func() { s.update(worker) })
}

func (s *simulation) progress(worker *simWorker, t *simTask) {
	speed := 1 / (max(1, worker.load) * (1 + (t.slowdown-1)/2))
	if t.throttled {
		speed *= throttledSpeed
	}
	step := speed * updateInterval.Seconds()
	t.done += step
	s.work += step
	s.templateWork[t.template] += step
	s.running += updateInterval
	if s.now.Sub(t.checkpointedAt) >= checkpointInterval {
		t.checkpointed, t.checkpointedAt = t.done, s.now
	}
	switch {
	case t.done >= t.work:
		s.end(worker, t)
	case !t.stopAt.IsZero() && !s.now.Before(t.stopAt):
		t.checkpointed = t.done
		s.requeue(worker, t)
	}
}

// requeue ends a task that was evicted or stopped and puts it at the front of the queue.
func (s *simulation) requeue(worker *simWorker, t *simTask) {
	s.evictions++
	s.end(worker, t)
	kept := max(0, t.checkpointed-restartCost.Seconds())
	s.work -= t.done - kept
	s.templateWork[t.template] -= t.done - kept
	t.done, t.lastWorker, t.waitingSince = kept, worker.index, s.now
	s.pending = append([]*simTask{t}, s.pending...)
}

// measure sends a noisy usage report, which arrives late.
func (s *simulation) measure(worker *simWorker) {
	worker.sequence += 100
	u := Usage{Worker: worker.id, Sequence: worker.sequence, At: s.now}
	counts := map[int]int{}
	var observations []Observation
	for _, t := range worker.tasks {
		template := &s.templates[t.template]
		counts[t.template]++
		used := medlarwheel.Resources{
			CPU:    medlarwheel.MilliCPU(1000 * s.cpu(t) * (1 + 0.1*s.random.NormFloat64())),
			Memory: medlarwheel.MegaBytes(min(1, template.actual) * float64(template.declared.Task.Size.Memory)),
		}
		report := TaskUsage{Task: t.id, Used: used, Throttled: t.throttled, CheckpointAt: t.checkpointedAt}
		if template.declared.Kind == medlarwheel.KindService && t.slowdown > 0 {
			report.Slowdown = t.slowdown * math.Exp(0.1*s.random.NormFloat64())
			observations = append(observations, Observation{
				Worker: worker.id, Sequence: worker.sequence + uint64(len(observations)), At: s.now,
				Victim: template.declared.Name, Load: worker.load, Slowdown: report.Slowdown,
			})
		}
		u.Used = u.Used.Plus(used)
		u.Tasks = append(u.Tasks, report)
	}
	var templateCounts []TemplateCount
	for i := range s.templates {
		if counts[i] > 0 {
			templateCounts = append(templateCounts, TemplateCount{Template: s.templates[i].declared.Name, Count: counts[i]})
		}
	}
	delay := 5*time.Second + time.Duration(s.random.Int64N(int64(25*time.Second)))
	s.after(delay, func() {
		for _, a := range s.policy.report(s.now, u, templateCounts, observations) {
			s.act(worker, a)
		}
	})
	s.after(reportInterval, func() { s.measure(worker) })
}

func (s *simulation) act(worker *simWorker, a Action) {
	at := slices.IndexFunc(worker.tasks, func(t *simTask) bool { return t.id == a.Task })
	if at < 0 {
		return
	}
	switch t := worker.tasks[at]; a.Kind {
	case ActionThrottle, ActionRelease:
		t.throttled = a.Kind == ActionThrottle
	case ActionEvict:
		t.stopAt = s.now.Add(checkpointDuration)
	case ActionStop:
		s.requeue(worker, t)
	}
}
