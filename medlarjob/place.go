package medlarjob

import (
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/medlarlease"
	"medlarwheel/medlarworker"
)

// Placement assigns a task to a worker.
type Placement struct {
	// Task is the index of the task.
	Task   int
	Worker *medlarworker.Record
	// Incarnation is the incarnation of the worker's agent (see medlarlease.TaskLeases.Incarnation).
	Incarnation medlarwheel.Incarnation
	// Resources is the size to commit, such as the corrected size.
	Resources medlarwheel.Resources
}

// Enqueue moves the tasks of a submitted job to the queued state.
func (r *Record) Enqueue(token medlarwheel.FencingToken, now time.Time) (Decision, error) {
	if r.job.State != medlarwheel.JobSubmitted {
		return r.unchanged(), nil
	}
	d, err := r.draft(token, now)
	if err != nil {
		return Decision{}, err
	}
	for i := range d.job.Tasks {
		d.job.Tasks[i].State = medlarwheel.JobQueued
	}
	return d.decision(), nil
}

// Place commits resources of workers to waiting tasks. Either all placements take effect or none. Placements of a gang
// have to cover all its tasks that have not ended. On an error the workers' records are unchanged.
func (r *Record) Place(placements []Placement, token medlarwheel.FencingToken, now time.Time) (Decision, error) {
	if err := r.checkPlacements(placements); err != nil {
		return Decision{}, err
	}
	d, err := r.draft(token, now)
	if err != nil {
		return Decision{}, err
	}
	changed := make(map[*medlarworker.Record]*medlarworker.Record, len(placements))
	for _, p := range placements {
		if changed[p.Worker] == nil {
			changed[p.Worker] = p.Worker.Clone()
		}
		attempt := d.currentAttempt(p.Task)
		ref := medlarworker.TaskRef{
			Task: attempt.Task, Attempt: attempt.Attempt, Template: d.job.Template, Class: d.job.Class,
		}
		if err := changed[p.Worker].AddCommitment(ref, p.Resources, token); err != nil {
			return Decision{}, medlarwheel.WithOperation("place "+string(attempt.Task), string(p.Worker.Worker().ID), err)
		}
	}
	for _, p := range placements {
		d.countWorkerChange(p.Worker)
		d.assign(p, token)
	}
	for worker, copied := range changed {
		*worker = *copied
	}
	return d.decision(), nil
}

func (r *Record) checkPlacements(placements []Placement) error {
	if r.job.Cancelling || r.job.State.IsFinal() || len(placements) == 0 {
		return medlarwheel.WithOperation("place "+string(r.job.ID), "", errors.Wrapf(ErrInvalidState,
			"job is %s, cancelling: %t, with %d placements", r.job.State, r.job.Cancelling, len(placements)))
	}
	chosen := make(map[int]bool, len(placements))
	for _, p := range placements {
		if p.Task < 0 || p.Task >= len(r.job.Tasks) || chosen[p.Task] || !r.job.Tasks[p.Task].State.IsPlaceable() {
			return medlarwheel.WithOperation("place "+string(r.job.ID), "", errors.Wrapf(ErrInvalidState,
				"task %d of %d does not wait for a worker or is placed twice", p.Task, len(r.job.Tasks)))
		}
		if p.Incarnation == 0 {
			return medlarwheel.WithOperation("place "+string(r.job.TaskID(p.Task)), "", medlarlease.ErrClockUnknown)
		}
		chosen[p.Task] = true
	}
	if !r.job.Spec.Gang {
		return nil
	}
	for i := range r.job.Tasks {
		if !r.job.Tasks[i].State.IsFinal() && !chosen[i] {
			return medlarwheel.WithOperation("place gang "+string(r.job.ID), "", errors.Wrapf(ErrInvalidState,
				"task %d is %s and has no placement", i, r.job.Tasks[i].State))
		}
	}
	return nil
}

func (d *draft) assign(p Placement, token medlarwheel.FencingToken) {
	task := &d.job.Tasks[p.Task]
	task.State = medlarwheel.JobPlacing
	task.Run = &medlarwheel.Attempt{
		Number: task.Attempt, Worker: p.Worker.Worker().ID, Token: token, Resources: p.Resources,
		Incarnation: p.Incarnation, ResumeFrom: task.ResumeFrom, PlacedAt: d.now,
	}
}

// WaitingTasks lists the tasks that wait for a worker. For a gang it is empty unless all tasks that have not ended wait.
func (r *Record) WaitingTasks() []int {
	if r.job.Cancelling {
		return nil
	}
	var waiting []int
	for i := range r.job.Tasks {
		switch state := r.job.Tasks[i].State; {
		case state.IsPlaceable():
			waiting = append(waiting, i)
		case r.job.Spec.Gang && !state.IsFinal():
			return nil
		}
	}
	return waiting
}
