package medlarplacement

import (
	"time"

	"medlarwheel"
)

// MaxGang bounds the tasks that are placed together.
const MaxGang = 4096

// Request asks for the placement of one task, or of all the tasks of a gang.
type Request struct {
	Template medlarwheel.TemplateName
	Kind     medlarwheel.Kind
	Class    medlarwheel.Class
	Group    Group
	// Size is the declared size of one task.
	Size medlarwheel.Resources
	// Measured is the measured size of the template's tasks. A zero component means that it was not measured. Components
	// larger than those of Size replace them, for services and batch tasks alike; a batch task may be committed at smaller
	// ones.
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
	// PreferredDataCentre is preferred over others. Empty means no preference.
	PreferredDataCentre medlarwheel.DataCentreID
	// ExcludedWorkers must not be chosen, such as those on which the task failed.
	ExcludedWorkers []medlarwheel.WorkerID
}

// Check returns every fault of r.
func (r *Request) Check() medlarwheel.Faults {
	faults := medlarwheel.CheckName("template", string(r.Template))
	faults = append(faults, r.Kind.Check("kind")...)
	faults = append(faults, r.Class.Check("class")...)
	faults = append(faults, r.Size.Check("size")...)
	faults = append(faults, r.Measured.Check("measured")...)
	faults = faults.CheckRange("spread", int64(r.MaxPerRack), 0, MaxGang)
	return faults.CheckRange("gang", int64(r.Gang), 0, MaxGang)
}

// Assignment is the worker chosen for one task.
type Assignment struct {
	Worker medlarwheel.WorkerID
	// Committed is the amount to commit on the worker.
	Committed medlarwheel.Resources
	// Overcommitted is set if Committed is below the size of the task, which requires that the worker's measured use
	// leaves enough idle capacity.
	Overcommitted bool
}

// Decision is the result of a successful Place.
type Decision struct {
	// Assignments has one entry for each task of the gang.
	Assignments []Assignment
	// Examined is the number of workers that were examined.
	Examined int
}

// TaskState returns the task to pass to Index.Commit for one assignment of r.
func (r *Request) TaskState(id medlarwheel.TaskID, a Assignment, now time.Time) TaskState {
	return TaskState{
		ID: id, Template: r.Template, Kind: r.Kind, Class: r.Class, Group: r.Group, Size: r.maxUsage(), Committed: a.Committed,
		MayShare: r.MayShare, CanCheckpoint: r.CanCheckpoint, StartedAt: now,
	}
}

func (r *Request) taskCount() int { return max(1, r.Gang) }

// maxUsage is what the task is expected to use at most. Accelerators are whole devices and keep their declared number.
func (r *Request) maxUsage() medlarwheel.Resources {
	usage := componentMax(r.Size, r.Measured)
	usage.Accelerators = r.Size.Accelerators
	return usage
}

// minCommitment is the least that may be committed for the task.
func (r *Request) minCommitment() medlarwheel.Resources {
	commitment := r.maxUsage()
	if r.Kind != medlarwheel.KindBatch {
		return commitment
	}
	if r.Measured.CPU > 0 {
		commitment.CPU = r.Measured.CPU
	}
	if r.Measured.Memory > 0 {
		commitment.Memory = r.Measured.Memory
	}
	return commitment
}
