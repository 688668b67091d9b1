package medlarscheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/medlarjob"
	"medlarwheel/medlarlease"
	"medlarwheel/medlarplacement"
	"medlarwheel/medlarquota"
)

// proposal is a choice of workers for one task or a gang. It waits until the clocks of the workers have been read, and then
// for its transaction. The placement index counts it as committed.
type proposal struct {
	job         *medlarwheel.Job
	tasks       []int
	assignments []medlarplacement.Assignment
	request     medlarplacement.Request
	createdAt   time.Time
}

// firstTask returns the task that identifies the proposal.
func (p *proposal) firstTask() medlarwheel.TaskID { return p.job.TaskID(p.tasks[0]) }

// place advances the earlier proposals and chooses workers for waiting tasks in the order of the queue.
func (s *state) place(now time.Time) {
	s.advanceProposals(now)
	if now.Before(s.nextPlacement) {
		return
	}
	s.nextPlacement = now.Add(s.scheduler.config.PlaceInterval)
	queue, waiting := s.buildQueue(now)
	if queue == nil {
		return
	}
	failed := make(map[equivalenceClass]bool)
	for range s.scheduler.config.MaxPlacements {
		item, ok := queue.Next()
		if !ok {
			return
		}
		w := waiting[item.ID]
		if class := w.equivalenceClass(); failed[class] || !s.placeOne(w, now) {
			failed[class] = true
			queue.Refund(item.Usage)
		}
	}
	s.nextPlacement = now
}

// waitingItem is one task, or all tasks of a gang, that waits for workers.
type waitingItem struct {
	entry *jobEntry
	tasks []int
}

// equivalenceClass identifies items with the same requirements. If one of them cannot be placed, neither can the others.
type equivalenceClass struct {
	template medlarwheel.TemplateName
	size     medlarwheel.Resources
	class    medlarwheel.Class
	gang     int
	job      medlarwheel.JobID
}

func (w *waitingItem) equivalenceClass() equivalenceClass {
	job := w.entry.record.Job()
	class := equivalenceClass{template: job.Template, size: job.Spec.Size, class: job.Class, gang: len(w.tasks)}
	if job.Spec.MaxPerRack > 0 || len(job.Tasks[w.tasks[0]].FailedOn) > 0 {
		class.job = job.ID
	}
	return class
}

// buildQueue returns the queue of waiting items, charged with the current usage of the teams of the owned shards, and the
// items by first task. It returns nil if nothing waits.
func (s *state) buildQueue(now time.Time) (*medlarquota.Queue, map[medlarwheel.TaskID]*waitingItem) {
	items := make(map[medlarwheel.TaskID]*waitingItem)
	var jobs []*medlarwheel.Job
	var pending []medlarquota.Item
	for _, entry := range s.jobs {
		job := entry.record.Job()
		if job.State.IsFinal() {
			continue
		}
		if _, ok := s.mayAct(entry.shard, now); !ok {
			continue
		}
		jobs = append(jobs, job)
		for _, tasks := range s.waitingGroups(entry) {
			first := job.TaskID(tasks[0])
			items[first] = &waitingItem{entry: entry, tasks: tasks}
			pending = append(pending, medlarquota.Item{
				ID: first, Usage: usageOf(job, job.Spec.Size.Times(len(tasks))), Class: job.Class, SubmittedAt: job.SubmittedAt,
			})
		}
	}
	if len(pending) == 0 {
		return nil, nil
	}
	slices.SortFunc(pending, func(a, b medlarquota.Item) int {
		return cmp.Or(a.SubmittedAt.Compare(b.SubmittedAt), cmp.Compare(a.ID, b.ID))
	})
	queue := medlarquota.NewQueue(s.totalCapacity())
	s.setLimits(queue, jobs)
	for _, job := range jobs {
		s.charge(queue, job)
	}
	for _, item := range pending {
		queue.Add(item)
	}
	return queue, items
}

// setLimits sets the configured quotas of the accounts and templates of the jobs. The configuration has no entries for
// teams, so a team has no quota and all teams have the same weight.
func (s *state) setLimits(queue *medlarquota.Queue, jobs []*medlarwheel.Job) {
	configuration := s.scheduler.deps.Configuration()
	limits := make(map[medlarwheel.AccountID]medlarquota.AccountLimit)
	for _, job := range jobs {
		account, _ := configuration.Account(job.Account)
		limit, known := limits[job.Account]
		if !known {
			limit.Templates = make(map[medlarwheel.TemplateName]medlarwheel.Resources)
			if account != nil {
				limit.Quota = account.Quota
			}
			limits[job.Account] = limit
		}
		if _, known := limit.Templates[job.Template]; known {
			continue
		}
		if template, ok := configuration.Template(job.Template); ok {
			limit.Templates[job.Template] = account.ParametersFor(template).Quota
		}
	}
	for _, job := range jobs {
		team := medlarquota.TeamName(job.Team)
		if limit, due := limits[job.Account]; due {
			delete(limits, job.Account)
			queue.SetTeam(team, medlarquota.TeamLimit{Weight: 1})
			queue.SetAccount(team, job.Account, limit)
		}
	}
}

// charge adds the resources of the placed and proposed tasks of a job to the usage in the queue.
func (s *state) charge(queue *medlarquota.Queue, job *medlarwheel.Job) {
	for i := range job.Tasks {
		if run := job.Tasks[i].Run; run != nil {
			queue.Charge(usageOf(job, run.Resources))
		} else if s.proposals[job.TaskID(i)] != nil {
			queue.Charge(usageOf(job, job.Spec.Size))
		}
	}
}

func usageOf(job *medlarwheel.Job, amount medlarwheel.Resources) medlarquota.Usage {
	return medlarquota.Usage{
		Team: medlarquota.TeamName(job.Team), Account: job.Account, Template: job.Template, Resources: amount,
	}
}

// waitingGroups returns the waiting tasks of a job that have no proposal, in groups of one or as one gang.
func (s *state) waitingGroups(entry *jobEntry) [][]int {
	job := entry.record.Job()
	free := slices.DeleteFunc(entry.record.WaitingTasks(), func(i int) bool { return s.proposals[job.TaskID(i)] != nil })
	if len(free) == 0 {
		return nil
	}
	if job.Spec.Gang {
		return [][]int{free}
	}
	groups := make([][]int, len(free))
	for i, index := range free {
		groups[i] = []int{index}
	}
	return groups
}

func (s *state) totalCapacity() medlarwheel.Resources {
	var sum medlarwheel.Resources
	for _, w := range s.workers {
		sum = sum.Plus(w.record.Worker().Size)
	}
	return sum
}

// placeOne creates a proposal for an item and reports whether there was capacity. Without capacity for a single urgent task
// it evicts batch tasks.
func (s *state) placeOne(w *waitingItem, now time.Time) bool {
	job := w.entry.record.Job()
	request := s.placementRequest(job, w.tasks, now)
	decision, ok := s.index.Place(now, &request)
	if !ok {
		if job.Class == medlarwheel.ClassUrgent && len(w.tasks) == 1 {
			s.preempt(job, w.tasks[0], &request, now)
		}
		return false
	}
	p := &proposal{job: job, tasks: w.tasks, assignments: decision.Assignments, request: request, createdAt: now}
	for i, a := range p.assignments {
		id := job.TaskID(p.tasks[i])
		if err := s.index.Commit(a.Worker, request.TaskState(id, a, now)); err != nil {
			s.scheduler.deps.Log.Error().Str("event", "index").Err(err).
				Msg("cannot add a proposed task to the placement index; continuing with the proposal")
		}
		s.proposals[id] = p
	}
	s.advance(p, now)
	return true
}

// placementRequest returns the request for the placement of tasks of a job. It excludes workers on which the first task has
// failed, workers that have not responded, and for less urgent work the workers reserved by preemptions.
func (s *state) placementRequest(job *medlarwheel.Job, tasks []int, now time.Time) medlarplacement.Request {
	r := medlarplacement.Request{
		Template: job.Template, Kind: job.Kind, Class: job.Class, Group: medlarplacement.Group(job.Template),
		Size: job.Spec.Size, MaxPerRack: job.Spec.MaxPerRack, MayShare: job.Spec.MayShare,
		CanCheckpoint: job.Kind == medlarwheel.KindBatch, WaitTime: max(0, now.Sub(job.SubmittedAt)), Gang: len(tasks),
	}
	if job.Kind == medlarwheel.KindBatch {
		r.Group = medlarplacement.Group(job.ID)
	}
	for _, f := range job.Tasks[tasks[0]].FailedOn {
		r.ExcludedWorkers = append(r.ExcludedWorkers, f.Worker)
	}
	for id, w := range s.workers {
		if now.Before(w.avoidUntil) {
			r.ExcludedWorkers = append(r.ExcludedWorkers, id)
		}
	}
	if job.Class != medlarwheel.ClassUrgent {
		for _, p := range s.preemptions {
			r.ExcludedWorkers = append(r.ExcludedWorkers, p.worker)
		}
	}
	return r
}

// advanceProposals queues the placement of proposals whose workers' clocks are known, and drops those with a worker that has
// not responded in time.
func (s *state) advanceProposals(now time.Time) {
	for id, p := range s.proposals {
		if p.firstTask() == id {
			s.advance(p, now)
		}
	}
}

// advance queues the placement of a proposal, requests the clocks that are missing, or drops the proposal after
// Config.ClockTimeout.
func (s *state) advance(p *proposal, now time.Time) {
	known := true
	for _, a := range p.assignments {
		if _, ok := s.taskLeases.Incarnation(a.Worker, now); ok {
			continue
		}
		known = false
		if now.Sub(p.createdAt) >= s.scheduler.config.ClockTimeout {
			s.avoidWorker(a.Worker, now.Add(s.scheduler.config.AvoidDuration))
			s.dropProposal(p.firstTask())
			return
		}
		s.requestClock(a.Worker)
	}
	if known {
		s.intents.add(s.placeIntent(p))
	}
}

func (s *state) placeIntent(p *proposal) intent {
	key := fmt.Sprintf("place/%s", p.firstTask())
	return intent{key: key, job: p.job.ID, apply: func(
		r *medlarjob.Record, workers *workerView, owned medlarlease.OwnedShard, now time.Time,
	) (medlarjob.Decision, error) {
		if s.proposals[p.firstTask()] != p {
			return medlarjob.Decision{}, errors.Errorf("proposal for task %s was dropped or replaced", p.firstTask())
		}
		var placements []medlarjob.Placement
		for i, a := range p.assignments {
			incarnation, _ := s.taskLeases.Incarnation(a.Worker, now)
			placements = append(placements, medlarjob.Placement{
				Task: p.tasks[i], Worker: workers.get(a.Worker), Incarnation: incarnation, Resources: a.Committed,
			})
			if workers.get(a.Worker) == nil {
				s.dropProposal(p.firstTask())
				return medlarjob.Decision{}, errors.WithMessagef(medlarwheel.ErrNotFound, "place task %s on worker %s", r.Job().TaskID(p.tasks[i]), a.Worker)
			}
		}
		decision, err := r.Place(placements, owned.Token, now)
		if err != nil {
			s.dropProposal(p.firstTask())
		}
		return decision, err
	}}
}

// dropProposal drops a proposal. Its tasks wait again unless their rows have changed.
func (s *state) dropProposal(id medlarwheel.TaskID) {
	p := s.proposals[id]
	if p == nil {
		return
	}
	for _, index := range p.tasks {
		delete(s.proposals, p.job.TaskID(index))
	}
	for _, a := range p.assignments {
		if w := s.workers[a.Worker]; w != nil {
			s.index.Upsert(s.workerState(w.record.Worker()))
		}
	}
	s.nextPlacement = time.Time{}
}

// dropProposalsOnWorker drops the proposals that include a worker that did not respond.
func (s *state) dropProposalsOnWorker(id medlarwheel.WorkerID) {
	for task, p := range s.proposals {
		if slices.ContainsFunc(p.assignments, func(a medlarplacement.Assignment) bool { return a.Worker == id }) {
			s.dropProposal(task)
		}
	}
}

// avoidWorker places no new tasks on a worker until a given time. The zero time lifts that.
func (s *state) avoidWorker(id medlarwheel.WorkerID, until time.Time) {
	if w := s.workers[id]; w != nil {
		w.avoidUntil = until
	}
}
