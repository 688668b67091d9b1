package medlarsubmission

import (
	"fmt"
	"time"

	"medlarwheel"
)

// Limits of a submission. They prevent one submission from exhausting the memory of a small instance.
const (
	// MaxSteps is the largest number of steps of a submission.
	MaxSteps = 256
	// maxTasks is the largest number of tasks in all steps of one occurrence.
	maxTasks = 20000
	// maxSpecBytes is the largest size of a task specification that the platform's documentation allows.
	maxSpecBytes = 4000
	// idLength is the number of hexadecimal digits of an id.
	idLength = 16
)

// ID identifies a submission. The client chooses it, and uses it again when it repeats a request.
type ID string

// IsValid reports whether id consists of 16 hexadecimal digits.
func (id ID) IsValid() bool {
	if len(id) != idLength {
		return false
	}
	for i := range len(id) {
		c := id[i]
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// State is the state of a submission as clients see it.
type State string

// The states of a submission. Completed, failed and cancelled are final.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// IsFinal reports whether the state never changes again.
func (s State) IsFinal() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// IsValid reports whether s is a known state.
func (s State) IsValid() bool { return s == StateQueued || s == StateRunning || s.IsFinal() }

// MilliCPUPerCore is the number of thousandths of a core in a core.
const MilliCPUPerCore = 1000

// Size is the amount of resources that one task uses on a worker. It is separate from medlarwheel.Resources, because the JSON
// names of its fields are part of the stored rows of submissions and workers.
type Size struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64 `json:"milli-cpu,omitempty"`
	MemoryMB int64 `json:"memory-mb,omitempty"`
	GPU      int64 `json:"gpu,omitempty"`
}

// Minus returns s less o in every component.
func (s Size) Minus(o Size) Size {
	return Size{MilliCPU: s.MilliCPU - o.MilliCPU, MemoryMB: s.MemoryMB - o.MemoryMB, GPU: s.GPU - o.GPU}
}

// Plus returns the sum of s and o.
func (s Size) Plus(o Size) Size {
	return Size{MilliCPU: s.MilliCPU + o.MilliCPU, MemoryMB: s.MemoryMB + o.MemoryMB, GPU: s.GPU + o.GPU}
}

// Fits reports whether s is at most free in every component.
func (s Size) Fits(free Size) bool {
	return s.MilliCPU <= free.MilliCPU && s.MemoryMB <= free.MemoryMB && s.GPU <= free.GPU
}

// Step is a group of identical tasks.
type Step struct {
	Count int  `json:"count"`
	Size  Size `json:"size"`
	// Estimate is the run time of a task as declared by the client. It is often wrong by half.
	Estimate time.Duration `json:"estimate-ns,omitempty"`
	// After lists the indices of earlier steps whose tasks must all be completed first.
	After []int `json:"after,omitempty"`
	// Checkpointing means that the tasks save checkpoints of their progress.
	Checkpointing bool `json:"checkpointing,omitempty"`
	// Gang means that the tasks make progress only while all of them run (gang scheduling).
	Gang bool `json:"gang,omitempty"`
	// SameRack means that the tasks are slower if they run on different racks.
	SameRack bool `json:"same-rack,omitempty"`
	// RequiredLabel is a label that a worker must have to run the tasks.
	RequiredLabel string `json:"requires,omitempty"`
	// Rack is the rack that holds the input data. Tasks on other racks are slower.
	Rack medlarwheel.RackID `json:"rack,omitempty"`
	// MaxPerWorker is the largest number of tasks of the step on one worker. Zero means no limit.
	MaxPerWorker int `json:"max-per-worker,omitempty"`
	// Speculative means that several copies of a task may run at the same time.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning means that the tasks run until the submission is cancelled.
	LongRunning bool `json:"long-running,omitempty"`
	// Image names the image that the tasks run. Tasks of the same image are expected to behave alike.
	Image string `json:"image,omitempty"`
	// TailLatencyTarget is the upper limit of the tail latency of a serving task.
	TailLatencyTarget time.Duration `json:"tail-target-ns,omitempty"`
	// BestEffort means that the tasks only use processor time that other tasks leave unused.
	BestEffort bool `json:"fills,omitempty"`
	// MaxUnavailable is the number of long-running tasks that the scheduler may stop at the same time.
	MaxUnavailable int `json:"may-miss,omitempty"`
}

// Policy is the scheduling policy of a route for its submissions.
type Policy struct {
	// Priority 0 is the highest and may preempt others.
	Priority int `json:"priority"`
	// MaxAttempts is the number of failed runs of a task after which its submission fails.
	MaxAttempts int `json:"max-attempts"`
	// Stretch and Allowance define the target duration: Stretch times the duration of the critical path, plus Allowance.
	Stretch   float64       `json:"stretch"`
	Allowance time.Duration `json:"allowance-ns"`
}

// Submission is a job that a client submits: its steps, and how often they run.
type Submission struct {
	ID ID `json:"id"`
	// Route is the name of the route that received the submission.
	Route string `json:"route"`
	// Service is the pool of workers that run the tasks, as configured at the time of acceptance by ConfigVersion. Rows of earlier
	// builds state no version.
	Service       medlarwheel.ServiceName   `json:"service"`
	ConfigVersion medlarwheel.ConfigVersion `json:"config-version,omitempty"`
	// Policy is the policy of the route at the time of acceptance.
	Policy Policy `json:"terms"`
	// AcceptedAt is the time of acceptance, in a stored row on the clock of the instance that accepted the submission, and in the
	// scheduler on that of the owner.
	AcceptedAt time.Time `json:"accepted-at"`
	// AcceptedAtTable is the same on the table's clock. Rows of earlier builds state none.
	AcceptedAtTable medlarwheel.TableTime `json:"accepted-at-table-ns,omitempty"`
	Spec            string                `json:"spec,omitempty"`
	Steps           []Step                `json:"steps"`
	// OccurrenceCount is the number of occurrences of a scheduled submission. Zero means one immediate occurrence.
	OccurrenceCount int `json:"times,omitempty"`
	// FirstDue is the due time of occurrence 0, as the time since the Unix epoch.
	FirstDue time.Duration `json:"first-due-ns,omitempty"`
	// Interval is the time between the due times of successive occurrences.
	Interval time.Duration `json:"interval-ns,omitempty"`
}

// Occurrences returns the number of times that the steps run.
func (s *Submission) Occurrences() int { return max(s.OccurrenceCount, 1) }

// Due returns the time from which occurrence k may start: AcceptedAt, or a time of day if the submission is scheduled.
func (s *Submission) Due(k int) time.Time {
	if s.OccurrenceCount == 0 {
		return s.AcceptedAt
	}
	return time.Unix(0, int64(s.FirstDue+time.Duration(k)*s.Interval))
}

// Check returns all violations of the limits of a submission.
func (s *Submission) Check() medlarwheel.Faults {
	var faults medlarwheel.Faults
	if !s.ID.IsValid() {
		faults = faults.Add("id", s.ID, "16 hexadecimal digits")
	}
	faults = faults.CheckRange("spec", int64(len(s.Spec)), 0, maxSpecBytes)
	faults = faults.CheckRange("steps", int64(len(s.Steps)), 1, MaxSteps)
	if len(s.Steps) > MaxSteps {
		return faults
	}
	faults = faults.CheckRange("times", int64(s.OccurrenceCount), 0, maxTasks)
	total := 0
	for i := range s.Steps {
		faults = append(faults, s.Steps[i].check(i)...)
		total += min(s.Steps[i].Count, maxTasks)
	}
	faults = faults.CheckRange("tasks", int64(total), 1, maxTasks)
	if len(faults) > 0 {
		return faults
	}
	return faults.CheckRange("tasks of all times", int64(total)*int64(s.Occurrences()), 1, maxTasksAllOccurrences)
}

// maxTasksAllOccurrences limits the memory that one submission takes in the scheduler, which is some hundred bytes for each
// task. If an owner runs out of memory because of a submission, its successors do too, since they load the same submission.
const maxTasksAllOccurrences = 200_000

// MaxCreatedTasks is the number of tasks of a repeated submission from which the scheduler creates no further occurrence before
// others are done.
const MaxCreatedTasks = maxTasks

// Memory that a scheduler needs for a submission, for the description of each of its steps, for each of its occurrences whether created or
// not, and for each step and task of those that are created, in bytes.
const (
	submissionMemory  = 2048
	descriptionMemory = 192
	indexMemory       = 16
	stepMemory        = 512
	taskMemory        = 256
	// entryMemory is that of an entry of Step.After.
	entryMemory = 8
)

// Memory returns the memory, in bytes, that a scheduler needs at most for the submission until it is finished.
func (s *Submission) Memory() int64 {
	tasks := 0
	for i := range s.Steps {
		tasks += s.Steps[i].Count
	}
	created := s.Occurrences()
	if tasks > 0 {
		created = min(created, MaxCreatedTasks/tasks+1)
	}
	return s.MemoryOf(created)
}

// MemoryOf returns the memory, in bytes, that a scheduler needs for the submission while so many of its occurrences exist.
func (s *Submission) MemoryOf(occurrences int) int64 {
	fixed := submissionMemory + len(s.Spec) + s.Occurrences()*indexMemory
	created := 0
	for i := range s.Steps {
		step := &s.Steps[i]
		fixed += descriptionMemory + entryMemory*len(step.After) + len(step.RequiredLabel) + len(step.Rack) + len(step.Image)
		created += stepMemory + step.Count*taskMemory
	}
	return int64(fixed) + int64(occurrences)*int64(created)
}

func (s *Step) check(index int) medlarwheel.Faults {
	path := fmt.Sprintf("steps[%d].", index)
	faults := medlarwheel.Faults{}.CheckRange(path+"count", int64(s.Count), 1, maxTasks)
	faults = faults.CheckRange(path+"milli-cpu", s.Size.MilliCPU, 0, maxComponent)
	faults = faults.CheckRange(path+"memory-mb", s.Size.MemoryMB, 0, maxComponent)
	faults = faults.CheckRange(path+"gpu", s.Size.GPU, 0, maxComponent)
	faults = faults.CheckRange(path+"max-per-worker", int64(s.MaxPerWorker), 0, maxTasks)
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			// One fault is enough for a list of any length.
			return faults.CheckRange(path+"after", int64(earlier), 0, int64(index)-1)
		}
	}
	return faults
}

// maxComponent limits each component of a size, so that sums over all workers can't overflow.
const maxComponent = 1 << 40
