package medlarplacement

import (
	"math/rand/v2"
	"slices"
	"time"

	"medlarwheel"
)

// naivePolicy places tasks by first fit on declared sizes, with half of each worker for batch tasks. It does not learn,
// and evicts the newest batch task of a worker at the first measurement of a degraded service.
type naivePolicy struct {
	committed  map[medlarwheel.Kind][]medlarwheel.Resources
	simulation *simulation
}

func newNaivePolicy(sim *simulation) *naivePolicy {
	return &naivePolicy{simulation: sim, committed: map[medlarwheel.Kind][]medlarwheel.Resources{
		medlarwheel.KindService: make([]medlarwheel.Resources, len(sim.workers)),
		medlarwheel.KindBatch:   make([]medlarwheel.Resources, len(sim.workers)),
	}}
}

func (p *naivePolicy) place(_ time.Time, sim *simulation, t *simTask) (int, bool) {
	template := &sim.templates[t.template].declared
	half := medlarwheel.Resources{CPU: workerSize.CPU / 2, Memory: workerSize.Memory / 2}
	for i, used := range p.committed[template.Kind] {
		if i != t.lastWorker && used.Plus(template.Task.Size).Fits(half) {
			p.committed[template.Kind][i] = used.Plus(template.Task.Size)
			return i, true
		}
	}
	return 0, false
}

func (p *naivePolicy) ended(worker int, t *simTask) {
	template := &p.simulation.templates[t.template].declared
	p.committed[template.Kind][worker] = p.committed[template.Kind][worker].Minus(template.Task.Size)
}

func (p *naivePolicy) report(_ time.Time, u Usage, _ []TemplateCount, victims []Observation) []Action {
	return evictNewest(u, victims)
}

// evictNewest evicts the newest batch task if a service is degraded.
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

// usageRatio is the mean measured use of a template relative to its declared size.
type usageRatio struct {
	count, mean float64
}

// fullPolicy uses the package as its callers do. Each flag replaces one part by its naive counterpart.
type fullPolicy struct {
	firstFit, noOvercommit, noLearning, immediate bool

	simulation   *simulation
	index        *Index
	interference *InterferenceModel
	controller   *InterferenceController
	usageRatios  []usageRatio
	templates    map[medlarwheel.TaskID]int
}

func newFullPolicy(sim *simulation, seed uint64, change func(*fullPolicy)) *fullPolicy {
	p := &fullPolicy{
		simulation: sim, interference: NewInterferenceModel(DefaultInterferenceModelConfig()),
		usageRatios: make([]usageRatio, len(sim.templates)), templates: map[medlarwheel.TaskID]int{},
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
	config.EvictionsPerMinute = max(1, config.EvictionsPerMinute*len(sim.workers)/2800)
	p.controller = NewInterferenceController(config, estimator)
	for i, worker := range sim.workers {
		p.index.Upsert(WorkerState{ID: worker.id, DataCentre: "dc", Rack: medlarwheel.RackID(rune('a' + i/8)), Size: workerSize})
	}
	return p
}

func (p *fullPolicy) place(now time.Time, sim *simulation, t *simTask) (int, bool) {
	template := &sim.templates[t.template].declared
	r := Request{
		Template: template.Name, Kind: template.Kind, Class: template.Class, Group: Group(template.Name), Size: template.Task.Size, MayShare: true,
		CanCheckpoint: true, Measured: p.measuredSize(t.template), WaitTime: now.Sub(t.waitingSince),
	}
	if template.Kind == medlarwheel.KindBatch {
		r.Group = ""
	}
	if t.lastWorker >= 0 {
		r.ExcludedWorkers = []medlarwheel.WorkerID{sim.workers[t.lastWorker].id}
	}
	a, ok := p.choose(now, &r)
	if !ok {
		return 0, false
	}
	if err := p.index.Commit(a.Worker, r.TaskState(t.id, a, now)); err != nil {
		panic(err)
	}
	p.templates[t.id] = t.template
	return slices.IndexFunc(sim.workers, func(o *simWorker) bool { return o.id == a.Worker }), true
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

// measuredSize replaces the size correction of medlarworker: the mean use plus 5%, after 20 samples.
func (p *fullPolicy) measuredSize(template int) medlarwheel.Resources {
	ratios := &p.usageRatios[template]
	if ratios.count < 20 || p.noOvercommit {
		return medlarwheel.Resources{}
	}
	padded := 1.05 * ratios.mean
	size := p.simulation.templates[template].declared.Task.Size
	return medlarwheel.Resources{
		CPU: medlarwheel.MilliCPU(padded * float64(size.CPU)), Memory: medlarwheel.MegaBytes(padded * float64(size.Memory)),
	}
}

func (p *fullPolicy) ended(worker int, t *simTask) {
	p.index.Release(p.simulation.workers[worker].id, t.id)
	delete(p.templates, t.id)
}

func (p *fullPolicy) report(now time.Time, u Usage, templateCounts []TemplateCount, victims []Observation) []Action {
	for i := range u.Tasks {
		template, found := p.templates[u.Tasks[i].Task]
		if !found || u.Tasks[i].Throttled || template < serviceTemplates {
			continue
		}
		s := &p.usageRatios[template]
		ratio := float64(u.Tasks[i].Used.CPU) / float64(p.simulation.templates[template].declared.Task.Size.CPU)
		s.count++
		weight := 1 / min(s.count, 500)
		s.mean += weight * (ratio - s.mean)
	}
	if !p.index.Observe(u) {
		return nil
	}
	for _, o := range victims {
		o.Aggressors = templateCounts
		p.interference.Learn(now, o)
	}
	if p.immediate {
		return evictNewest(u, victims)
	}
	report, ok := p.index.InterferenceReport(now, u.Worker)
	if !ok {
		return nil
	}
	if a, ok := p.controller.HandleReport(now, report); ok {
		return []Action{a}
	}
	return nil
}
