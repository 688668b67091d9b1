package medlarplacement

import (
	"math/rand/v2"
	"slices"
	"time"

	"medlarwheel"
)

// naivePolicy places by first fit on declared sizes with half of each worker for batch tasks, learns nothing, and evicts
// the newest batch task of a worker at the first measurement of a suffering service.
type naivePolicy struct {
	committed  map[medlarwheel.Kind][]medlarwheel.Resources
	simulation *simulation
}

func newNaivePolicy(w *simulation) *naivePolicy {
	return &naivePolicy{simulation: w, committed: map[medlarwheel.Kind][]medlarwheel.Resources{
		medlarwheel.KindService: make([]medlarwheel.Resources, len(w.workers)),
		medlarwheel.KindBatch:   make([]medlarwheel.Resources, len(w.workers)),
	}}
}

func (p *naivePolicy) place(_ time.Time, w *simulation, t *simTask) (int, bool) {
	k := &w.templates[t.template].declared
	half := medlarwheel.Resources{CPU: workerSize.CPU / 2, Memory: workerSize.Memory / 2}
	for i, used := range p.committed[k.Kind] {
		if i != t.lastWorker && used.Plus(k.Task.Size).Fits(half) {
			p.committed[k.Kind][i] = used.Plus(k.Task.Size)
			return i, true
		}
	}
	return 0, false
}

func (p *naivePolicy) ended(worker int, t *simTask) {
	k := &p.simulation.templates[t.template].declared
	p.committed[k.Kind][worker] = p.committed[k.Kind][worker].Minus(k.Task.Size)
}

func (p *naivePolicy) report(_ time.Time, u Usage, _ []TemplateCount, victims []Observation) []Action {
	return evictNewest(u, victims)
}

func evictNewest(u Usage, victims []Observation) []Action {
	if !slices.ContainsFunc(victims, func(o Observation) bool { return o.Slowdown >= DefaultInterferenceControllerConfig().DegradedSlowdown }) {
		return nil
	}
	for _, t := range slices.Backward(u.Tasks) {
		if t.Slowdown == 0 {
			return []Action{{Worker: u.Worker, Task: t.Task, Kind: ActionEvict}}
		}
	}
	return nil
}

// usageRatio is the measured use of a template as a share of the declared size.
type usageRatio struct {
	count, mean float64
}

// fullPolicy uses the package as a shell would. Each flag replaces one part by its naive version.
type fullPolicy struct {
	firstFit, noOvercommit, noLearning, immediate bool

	simulation   *simulation
	index        *Index
	interference *InterferenceModel
	controller   *InterferenceController
	usageRatios  []usageRatio
	templates    map[medlarwheel.TaskID]int
}

func newFullPolicy(w *simulation, seed uint64, change func(*fullPolicy)) *fullPolicy {
	p := &fullPolicy{
		simulation: w, interference: NewInterferenceModel(DefaultInterferenceModelConfig()),
		usageRatios: make([]usageRatio, len(w.templates)), templates: map[medlarwheel.TaskID]int{},
	}
	if change != nil {
		change(p)
	}
	var estimator Estimator = p.interference
	if p.noLearning {
		estimator = nil
	}
	p.index = NewIndex(DefaultConfig(), estimator, rand.New(rand.NewPCG(seed, 2)))
	config := DefaultInterferenceControllerConfig()
	config.EvictionsPerMinute = max(1, config.EvictionsPerMinute*len(w.workers)/2800)
	p.controller = NewInterferenceController(config, estimator)
	for i, worker := range w.workers {
		p.index.Upsert(WorkerState{ID: worker.id, DataCentre: "dc", Rack: medlarwheel.RackID(rune('a' + i/8)), Size: workerSize})
	}
	return p
}

func (p *fullPolicy) place(now time.Time, w *simulation, t *simTask) (int, bool) {
	k := &w.templates[t.template].declared
	r := Request{
		Template: k.Name, Kind: k.Kind, Class: k.Class, Group: Group(k.Name), Size: k.Task.Size, MayShare: true,
		CanCheckpoint: true, Measured: p.measuredSize(t.template), WaitTime: now.Sub(t.waitingSince),
	}
	if k.Kind == medlarwheel.KindBatch {
		r.Group = ""
	}
	if t.lastWorker >= 0 {
		r.ExcludedWorkers = []medlarwheel.WorkerID{w.workers[t.lastWorker].id}
	}
	a, ok := p.choose(now, &r)
	if !ok {
		return 0, false
	}
	if err := p.index.Commit(a.Worker, r.TaskState(t.id, a, now)); err != nil {
		panic(err)
	}
	p.templates[t.id] = t.template
	return slices.IndexFunc(w.workers, func(o *simWorker) bool { return o.id == a.Worker }), true
}

func (p *fullPolicy) choose(now time.Time, r *Request) (Assignment, bool) {
	if !p.firstFit {
		d, ok := p.index.Place(now, r)
		return append(d.Assignments, Assignment{})[0], ok
	}
	for _, worker := range p.simulation.workers {
		w := p.index.workers[worker.id]
		if a, fits := p.index.assign(now, r, w); fits && p.index.meetsConstraints(r, w) {
			return a, true
		}
	}
	return Assignment{}, false
}

// measuredSize stands for the size correction: the mean use and 5%, after 20 samples.
func (p *fullPolicy) measuredSize(kind int) medlarwheel.Resources {
	s := &p.usageRatios[kind]
	if s.count < 20 || p.noOvercommit {
		return medlarwheel.Resources{}
	}
	ratio := 1.05 * s.mean
	size := p.simulation.templates[kind].declared.Task.Size
	return medlarwheel.Resources{
		CPU: medlarwheel.MilliCPU(ratio * float64(size.CPU)), Memory: medlarwheel.MegaBytes(ratio * float64(size.Memory)),
	}
}

func (p *fullPolicy) ended(worker int, t *simTask) {
	p.index.Release(p.simulation.workers[worker].id, t.id)
	delete(p.templates, t.id)
}

func (p *fullPolicy) report(now time.Time, u Usage, present []TemplateCount, victims []Observation) []Action {
	for i := range u.Tasks {
		kind, found := p.templates[u.Tasks[i].Task]
		if !found || u.Tasks[i].Throttled || kind < serviceTemplates {
			continue
		}
		s := &p.usageRatios[kind]
		ratio := float64(u.Tasks[i].Used.CPU) / float64(p.simulation.templates[kind].declared.Task.Size.CPU)
		s.count++
		weight := 1 / min(s.count, 500)
		s.mean += weight * (ratio - s.mean)
	}
	if !p.index.Observe(u) {
		return nil
	}
	for _, o := range victims {
		o.Aggressors = present
		p.interference.Learn(now, o)
	}
	if p.immediate {
		return evictNewest(u, victims)
	}
	c, ok := p.index.InterferenceReport(now, u.Worker)
	if !ok {
		return nil
	}
	if a, ok := p.controller.HandleReport(now, c); ok {
		return []Action{a}
	}
	return nil
}
