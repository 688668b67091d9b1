package medlaragentapi

import (
	"medlarwheel"
)

// Attempt counts the runs of a task. It grows with every start and is never used again.
type Attempt uint64

// Command is the part that every command to an agent has.
type Command struct {
	// Shard names the shard that owns the task.
	Shard string `json:"shard"`
	// Token is the fencing token of the shard's owner.
	Token medlarwheel.FencingToken `json:"token"`
	// IssuedAt is the owner's estimate of the agent's clock when it issued the command. Without it the agent counts from
	// the arrival, which is only safe where no command can be delayed.
	IssuedAt *ClockReading `json:"issued,omitempty"`
}

// StartRequest starts one attempt of a task under a lease.
type StartRequest struct {
	Command Command `json:"command"`
	Task    TaskRef `json:"task"`
	// Template names the template of the task.
	Template medlarwheel.TemplateName `json:"template"`
	// Size is the declared need of the task.
	Size medlarwheel.Resources `json:"size"`
	// Work is the run time at full speed. Zero runs until the task is stopped.
	Work medlarwheel.Duration `json:"work,omitempty"`
	// Lease is the term after which the task stops unless it was renewed.
	Lease medlarwheel.Duration `json:"lease"`
	// Checkpoint names the object to resume from. Empty starts from the beginning.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// TaskRef names one attempt of a task.
type TaskRef struct {
	ID      medlarwheel.TaskID `json:"id"`
	Attempt Attempt            `json:"attempt"`
}

// RenewRequest extends the leases of a batch of tasks of one shard.
type RenewRequest struct {
	Command Command              `json:"command"`
	Tasks   []TaskRef            `json:"tasks"`
	Lease   medlarwheel.Duration `json:"lease"`
}

// RenewResponse has the state of each named task, in the order of the request. Only running tasks were renewed.
type RenewResponse struct {
	Clock ClockReading `json:"stamp"`
	Tasks []TaskStatus `json:"tasks"`
}

// ThrottleRequest limits the speed of a task.
type ThrottleRequest struct {
	Command Command `json:"command"`
	Task    TaskRef `json:"task"`
	// Share is the share of full speed in millionths.
	Share int `json:"share-millionths"`
}

// CheckpointRequest writes the state of a task to an object and then stops the task. A task whose object cannot be
// written runs on.
type CheckpointRequest struct {
	Command Command `json:"command"`
	Task    TaskRef `json:"task"`
	Object  string  `json:"object"`
}

// StopRequest stops a task. The answer confirms that the attempt does not run and that neither it nor an earlier one
// will start, even if the agent has never heard of it.
type StopRequest struct {
	Command Command `json:"command"`
	Task    TaskRef `json:"task"`
}

// TaskResponse answers a command for one task.
type TaskResponse struct {
	Clock  ClockReading `json:"stamp"`
	Status TaskStatus   `json:"status"`
}

// State is the state of the last attempt of a task.
type State string

// The states. All but StateRunning are final for the attempt.
const (
	StateRunning      State = "running"
	StateDone         State = "done"
	StateFailed       State = "failed"
	StateStopped      State = "stopped"
	StateCheckpointed State = "checkpointed"
	StateExpired      State = "lease-expired"
	// StateUnknown means that the agent has no such attempt.
	StateUnknown State = "unknown"
)

// TaskStatus is what an agent tells about a task.
type TaskStatus struct {
	Task  TaskRef `json:"task"`
	State State   `json:"state"`
	// Progress is the part of the work that is done.
	Progress medlarwheel.Duration `json:"progress"`
	// LeaseEnd is the end of the lease on the agent's clock.
	LeaseEnd medlarwheel.Duration `json:"lease-end"`
	// Share is the throttle in millionths of full speed.
	Share int `json:"share-millionths"`
	// Object names the checkpoint of a checkpointed task.
	Object string `json:"object,omitempty"`
}

// TaskList is the answer of GET /v1/tasks: all running tasks and the last attempt of each that ended recently.
type TaskList struct {
	Clock ClockReading `json:"stamp"`
	Tasks []TaskStatus `json:"tasks"`
}

// UsageReport is the answer of GET /v1/usage. It tells of a time that has passed already.
type UsageReport struct {
	// Clock is the agent's clock at the time of the answer, Measured at the time of the measurement.
	Clock      ClockReading         `json:"stamp"`
	MeasuredAt medlarwheel.Duration `json:"measured"`
	// Sequence grows with every measurement. It is zero before the first one is old enough to be reported.
	Sequence uint64      `json:"sequence"`
	Tasks    []TaskUsage `json:"tasks"`
}

// TaskUsage is the measured usage of one running task.
type TaskUsage struct {
	Task     TaskRef                  `json:"task"`
	Template medlarwheel.TemplateName `json:"template"`
	Used     medlarwheel.Resources    `json:"used"`
	// Speed is the speed in millionths of that of the task alone on the worker.
	Speed int `json:"speed-millionths"`
}

// Announcement is the value of the row AnnouncementKey, which an agent writes when it starts and when it leaves.
type Announcement struct {
	ID          medlarwheel.WorkerID      `json:"id"`
	Rack        medlarwheel.RackID        `json:"rack"`
	DataCentre  medlarwheel.DataCentreID  `json:"data-centre"`
	Address     string                    `json:"address"`
	Size        medlarwheel.Resources     `json:"size"`
	Incarnation medlarwheel.Incarnation   `json:"incarnation"`
	State       medlarwheel.InstanceState `json:"state"`
}

// AnnouncementPrefix starts the keys of all announcements.
const AnnouncementPrefix = "agent/"

// AnnouncementKey returns the row key of a worker's announcement.
func AnnouncementKey(id medlarwheel.WorkerID) string { return AnnouncementPrefix + string(id) }
