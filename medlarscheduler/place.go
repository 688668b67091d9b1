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

// proposal is a choice of workers that waits for the workers' clocks and then for a transaction. The index counts it as
// committed.
type proposal struct {
	job         *medlarwheel.Job
	tasks       []int
	assignments []medlarplacement.Assignment
	request     medlarplacement.Request
	createdAt   time.Time
}

// firstTask is the task that the proposal is counted under.
func (p *proposal) firstTask() medlarwheel.TaskID { return p.job.TaskID(p.tasks[0]) }

// place chooses workers for waiting tasks in the order of the queue, and moves earlier choices on.
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
		if shape := w.equivalenceClass(); failed[shape] || !s.placeOne(w, now) {
			failed[shape] = true
			queue.Refund(item.Usage)
		}
	}
	s.nextPlacement = now
}

// waitingItem is what waits for a worker: a task, or all tasks of a gang.
type waitingItem struct {
	entry *jobEntry
	tasks []int
}

// equivalenceClass tells apart items of which one can be placed although another can not.
type equivalenceClass struct {
	template medlarwheel.TemplateName
	size     medlarwheel.Resources
	class    medlarwheel.Class
	gang     int
	job      medlarwheel.JobID
}

func (w *waitingItem) equivalenceClass() equivalenceClass {
	job := w.entry.record.Job()
	shape := equivalenceClass{template: job.Template, size: job.Spec.Size, class: job.Class, gang: len(w.tasks)}
	if job.Spec.MaxPerRack > 0 || len(job.Tasks[w.tasks[0]].FailedOn) > 0 {
		shape.job = job.ID
	}
	return shape
}

// buildQueue builds the queue of what waits, on top of what the teams of the held shards use. It returns nil if nothing waits.
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

// setLimits sets the quotas in force of the accounts and templates of the jobs. A team has no entry of its own in the
// configuration, so it has no quota and all teams weigh the same.
func (s *state) setLimits(queue *medlarquota.Queue, jobs []*medlarwheel.Job) {
	book := s.scheduler.deps.Configuration()
	limits := make(map[medlarwheel.AccountID]medlarquota.AccountLimit)
	for _, job := range jobs {
		account, _ := book.Account(job.Account)
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
		if template, ok := book.Template(job.Template); ok {
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

// charge counts what the tasks of a job have.
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

// waitingGroups lists the tasks of a job without a proposal, one by one or as one gang.
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

// placeOne chooses workers, or makes room by evictions for urgent work.
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
			s.scheduler.deps.Log.Error().Str("event", "index").Err(err).Send()
		}
		s.proposals[id] = p
	}
	s.advance(p, now)
	return true
}

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

// advanceProposals moves choices on whose workers have answered, and gives up those whose workers have not.
func (s *state) advanceProposals(now time.Time) {
	for id, p := range s.proposals {
		if p.firstTask() == id {
			s.advance(p, now)
		}
	}
}

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
			return medlarjob.Decision{}, errors.New("proposal is over")
		}
		var placements []medlarjob.Placement
		for i, a := range p.assignments {
			incarnation, _ := s.taskLeases.Incarnation(a.Worker, now)
			placements = append(placements, medlarjob.Placement{
				Task: p.tasks[i], Worker: workers.get(a.Worker), Incarnation: incarnation, Resources: a.Committed,
			})
			if workers.get(a.Worker) == nil {
				s.dropProposal(p.firstTask())
				return medlarjob.Decision{}, medlarwheel.ErrNotFound
			}
		}
		decision, err := r.Place(placements, owned.Token, now)
		if err != nil {
			s.dropProposal(p.firstTask())
		}
		return decision, err
	}}
}

// dropProposal gives a choice up. The tasks wait again unless their rows say otherwise.
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

// dropProposalsOnWorker gives up the choices of a worker that did not answer.
func (s *state) dropProposalsOnWorker(id medlarwheel.WorkerID) {
	for task, p := range s.proposals {
		if slices.ContainsFunc(p.assignments, func(a medlarplacement.Assignment) bool { return a.Worker == id }) {
			s.dropProposal(task)
		}
	}
}

// avoidWorker keeps new tasks off a worker until a time. The zero time opens it again.
func (s *state) avoidWorker(id medlarwheel.WorkerID, until time.Time) {
	if w := s.workers[id]; w != nil {
		w.avoidUntil = until
	}
}
