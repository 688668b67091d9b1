package medlarscheduler

import (
	"medlarwheel"
	"medlarwheel/medlarplacement"
)

// workerState returns a worker in the form that the placement index uses, including the tasks of proposals that are not
// yet committed.
func (s *state) workerState(w *medlarwheel.Worker) medlarplacement.WorkerState {
	state := medlarplacement.WorkerState{
		ID: w.ID, DataCentre: w.DataCentre, Rack: w.Rack, Size: w.Size,
		Marks: medlarplacement.Marks{
			Draining: w.Draining, Probation: w.Probation != nil && !w.Probation.TrialOpen,
		},
	}
	committed := make(map[medlarwheel.TaskID]bool, len(w.Commitments))
	for i := range w.Commitments {
		committed[w.Commitments[i].Task] = true
		state.Tasks = append(state.Tasks, s.taskState(&w.Commitments[i]))
	}
	for id, p := range s.proposals {
		for i, a := range p.assignments {
			if task := p.job.TaskID(p.tasks[i]); a.Worker == w.ID && !committed[task] && p.firstTask() == id {
				state.Tasks = append(state.Tasks, p.request.TaskState(task, a, p.createdAt))
			}
		}
	}
	return state
}

// taskState returns a commitment in the form that the placement index uses, with the properties of the template in force.
// A commitment with an unknown template counts as one of a service, because services are not evicted.
func (s *state) taskState(c *medlarwheel.Commitment) medlarplacement.TaskState {
	t := medlarplacement.TaskState{
		ID: c.Task, Template: c.Template, Kind: medlarwheel.KindService, Class: c.Class,
		Group: medlarplacement.Group(c.Template), Size: c.Resources, Committed: c.Resources, MayShare: true,
	}
	if template, ok := s.scheduler.deps.Configuration().Template(c.Template); ok && template.Task != nil {
		t.Kind, t.MayShare = template.Kind, template.Task.MayShare
	}
	job, index, ok := medlarwheel.ParseTaskID(c.Task)
	if t.Kind == medlarwheel.KindBatch && ok {
		t.Group, t.CanCheckpoint = medlarplacement.Group(job), true
	}
	if entry := s.jobs[job]; entry != nil && index < len(entry.record.Job().Tasks) {
		if run := entry.record.Job().Tasks[index].Run; run != nil {
			t.StartedAt = run.PlacedAt
		}
		if entry.record.Job().Kind == medlarwheel.KindBatch {
			t.Size = maxResources(t.Size, entry.record.Job().Spec.Size)
		}
	}
	if t.StartedAt.IsZero() {
		t.StartedAt = s.scheduler.deps.Clock.Now()
	}
	return t
}

func maxResources(a, b medlarwheel.Resources) medlarwheel.Resources {
	return medlarwheel.Resources{
		CPU: max(a.CPU, b.CPU), Memory: max(a.Memory, b.Memory), Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
