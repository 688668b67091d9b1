package medlarplacement

import (
	"time"

	"medlarwheel"
)

// MaxGang bounds the tasks that are placed together.
const MaxGang = 4096

// Request asks for a place for one task, or for all the tasks of a gang.
type Request struct {
	Template medlarwheel.TemplateName
	Kind     medlarwheel.Kind
	Class    medlarwheel.Class
	Group    Group
	// Size is the declared size of one task.
	Size medlarwheel.Resources
	// Measured is the size of the template's tasks by measurement. Zero components mean that there is none. A batch task
	// may be committed at it where it is smaller than Size; where it is larger, it replaces Size for every kind.
	Measured medlarwheel.Resources
	// MaxPerRack bounds the tasks of Group on one rack. Zero sets no bound.
	MaxPerRack int
	// MayShare allows tasks of other templates on the same worker.
	MayShare      bool
	CanCheckpoint bool
	// WaitTime is the time since the task could first have started.
	WaitTime time.Duration
	// Gang is the number of tasks to place together or not at all. Zero means one.
	Gang int
	// PreferredDataCentre is a data centre to prefer over others. Empty means none.
	PreferredDataCentre medlarwheel.DataCentreID
	// ExcludedWorkers lists workers that must not be chosen, such as those on which the task failed.
	ExcludedWorkers []medlarwheel.WorkerID
}

// Check reports every fault of r.
func (r *Request) Check() medlarwheel.Faults {
	faults := medlarwheel.CheckName("template", string(r.Template))
	faults = append(faults, r.Kind.Check("kind")...)
	faults = append(faults, r.Class.Check("class")...)
	faults = append(faults, r.Size.Check("size")...)
	faults = append(faults, r.Measured.Check("measured")...)
	faults = faults.Range("spread", int64(r.MaxPerRack), 0, MaxGang)
	return faults.Range("gang", int64(r.Gang), 0, MaxGang)
}

// Assignment is the place of one task.
type Assignment struct {
	Worker medlarwheel.WorkerID
	// Committed is what to commit on the worker.
	Committed medlarwheel.Resources
	// Overcommitted tells that Committed is below the size of the task, because the worker's measured use leaves room.
	Overcommitted bool
}

// Decision is the result of a successful Place.
type Decision struct {
	// Assignments has one entry for each task of the gang.
	Assignments []Assignment
	// Examined is the number of workers looked at.
	Examined int
}

// TaskState returns the task that a shell commits for one assignment of r.
func (r *Request) TaskState(id medlarwheel.TaskID, a Assignment, now time.Time) TaskState {
	return TaskState{
		ID: id, Template: r.Template, Kind: r.Kind, Class: r.Class, Group: r.Group, Size: r.maxUsage(), Committed: a.Committed,
		MayShare: r.MayShare, CanCheckpoint: r.CanCheckpoint, StartedAt: now,
	}
}

func (r *Request) taskCount() int { return max(1, r.Gang) }

// maxUsage is what the task is expected to use at most. Accelerators are whole devices and keep their declared number.
func (r *Request) maxUsage() medlarwheel.Resources {
	full := componentMax(r.Size, r.Measured)
	full.Accelerators = r.Size.Accelerators
	return full
}

// minCommitment is the least that may be committed for the task.
func (r *Request) minCommitment() medlarwheel.Resources {
	small := r.maxUsage()
	if r.Kind != medlarwheel.KindBatch {
		return small
	}
	if r.Measured.CPU > 0 {
		small.CPU = r.Measured.CPU
	}
	if r.Measured.Memory > 0 {
		small.Memory = r.Measured.Memory
	}
	return small
}
