package medlarplacement

import (
	"time"

	"medlarwheel"
)

// Group identifies the tasks that are spread over racks and data centres together: those of a job, or those of a
// service, which is identified by its template.
type Group string

// TaskState is a task committed on a worker.
type TaskState struct {
	ID       medlarwheel.TaskID
	Template medlarwheel.TemplateName
	Kind     medlarwheel.Kind
	Class    medlarwheel.Class
	Group    Group
	// Size is what the task is expected to use at most: its declared size, or its measured size if larger.
	Size medlarwheel.Resources
	// Committed is the amount committed for the task in the worker's record. It is below Size for an overcommitted batch
	// task.
	Committed medlarwheel.Resources
	// MayShare allows tasks of other templates on the worker.
	MayShare bool
	// CanCheckpoint is set if the task can write a checkpoint when it is evicted, so that no progress is lost.
	CanCheckpoint bool
	StartedAt     time.Time
	// CheckpointAt is the time of the last checkpoint. Zero means none.
	CheckpointAt time.Time
}

// LostProgress returns the run time that is lost if the task is stopped at now without a checkpoint.
func (t *TaskState) LostProgress(now time.Time) time.Duration {
	since := t.StartedAt
	if t.CheckpointAt.After(since) {
		since = t.CheckpointAt
	}
	return max(0, now.Sub(since))
}

// WorkerState is one worker with all that is committed on it.
type WorkerState struct {
	ID         medlarwheel.WorkerID
	DataCentre medlarwheel.DataCentreID
	Rack       medlarwheel.RackID
	Size       medlarwheel.Resources
	// Reserved is the amount committed to anything other than Tasks.
	Reserved medlarwheel.Resources
	Tasks    []TaskState
	Marks    Marks
}

// Marks exclude a worker from placement. Tasks that run on it are not affected.
type Marks struct {
	// Probation is set while a worker is suspected of failing every task.
	Probation bool
	// Draining is set before maintenance.
	Draining bool
}

func (m Marks) any() bool { return m.Probation || m.Draining }

// Usage is one measurement of a worker. It may arrive late, twice or out of order.
type Usage struct {
	Worker      medlarwheel.WorkerID
	Incarnation medlarwheel.Incarnation
	// Sequence grows with every measurement of one incarnation of the worker.
	Sequence uint64
	// At is the time of the measurement, not of its arrival.
	At time.Time
	// Used is the resource use of the whole worker.
	Used  medlarwheel.Resources
	Tasks []TaskUsage
}

// TaskUsage is the measurement of one task.
type TaskUsage struct {
	Task medlarwheel.TaskID
	Used medlarwheel.Resources
	// Slowdown is the measured tail latency relative to the tail latency of the template without interference. Zero means
	// that it was not measured.
	Slowdown float64
	// Throttled is set while the worker limits the task's processor use.
	Throttled bool
	// CheckpointAt is the time of the last checkpoint. Zero keeps the time reported before.
	CheckpointAt time.Time
}

// measurementVersion orders the measurements of one worker.
type measurementVersion struct {
	incarnation medlarwheel.Incarnation
	sequence    uint64
}

func (v measurementVersion) after(o measurementVersion) bool {
	if v.incarnation != o.incarnation {
		return v.incarnation > o.incarnation
	}
	return v.sequence > o.sequence
}

// componentMax returns the greater of a and b in each component.
func componentMax(a, b medlarwheel.Resources) medlarwheel.Resources {
	return medlarwheel.Resources{
		CPU: max(a.CPU, b.CPU), Memory: max(a.Memory, b.Memory), Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// fraction returns part/whole, or 0 if whole is not positive.
func fraction[T ~int64](part, whole T) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
