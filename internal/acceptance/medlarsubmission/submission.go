package medlarsubmission

import (
	"fmt"
	"time"

	"medlarwheel"
)

// Bounds of a submission. They keep one submission from exhausting the memory of a small instance.
const (
	// maxSteps bounds the steps of a submission.
	maxSteps = 256
	// maxTasks bounds the tasks of all steps of one occurrence.
	maxTasks = 20000
	// maxSpecBytes is the size of the task specification that the platform's pages allow.
	maxSpecBytes = 4000
	// idLength is the number of hexadecimal digits of an id.
	idLength = 16
)

// ID names a submission. The client chooses it, and sends it again when it repeats a request.
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

// State is the state of a submission as its caller sees it.
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

// Size is the room that one task takes on a worker. It is a type of its own beside medlarwheel.Resources, because rows of
// submissions and workers are stored with its names.
type Size struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64 `json:"milli-cpu,omitempty"`
	MemoryMB int64 `json:"memory-mb,omitempty"`
	GPU      int64 `json:"gpu,omitempty"`
}

// Minus returns the difference of both sizes.
func (s Size) Minus(o Size) Size {
	return Size{MilliCPU: s.MilliCPU - o.MilliCPU, MemoryMB: s.MemoryMB - o.MemoryMB, GPU: s.GPU - o.GPU}
}

// Fits reports whether s is at most room in every component.
func (s Size) Fits(room Size) bool {
	return s.MilliCPU <= room.MilliCPU && s.MemoryMB <= room.MemoryMB && s.GPU <= room.GPU
}

// Step is a number of equal tasks.
type Step struct {
	Count int  `json:"count"`
	Size  Size `json:"size"`
	// Estimate is the declared run time of a task. It is often off by half.
	Estimate time.Duration `json:"estimate-ns,omitempty"`
	// After lists the earlier steps whose tasks must all be done first.
	After []int `json:"after,omitempty"`
	// Checkpointing tasks save their progress.
	Checkpointing bool `json:"checkpointing,omitempty"`
	// Gang tasks work only together.
	Gang bool `json:"gang,omitempty"`
	// SameRack tasks are slower when they are spread over racks.
	SameRack bool `json:"same-rack,omitempty"`
	// RequiredLabel is a label that the worker must have.
	RequiredLabel string `json:"requires,omitempty"`
	// Rack is where the data lies. Tasks on other racks are slower.
	Rack medlarwheel.RackID `json:"rack,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker. Zero sets no bound.
	MaxPerWorker int `json:"max-per-worker,omitempty"`
	// Speculative tasks may have several copies at a time.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning tasks run until the submission is cancelled.
	LongRunning bool `json:"long-running,omitempty"`
	// Image names what the tasks run. Tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// TailLatencyTarget bounds the tail latency of a serving task.
	TailLatencyTarget time.Duration `json:"tail-target-ns,omitempty"`
	// BestEffort marks tasks that only take the processor time that others leave unused.
	BestEffort bool `json:"fills,omitempty"`
	// MaxUnavailable is the number of long-running tasks that the scheduler may take away at a time.
	MaxUnavailable int `json:"may-miss,omitempty"`
}

// Policy are what a route promises its submissions.
type Policy struct {
	// Priority 0 comes first and may preempt others.
	Priority int `json:"priority"`
	// MaxAttempts is the number of failed runs of a task after which its submission has failed.
	MaxAttempts int `json:"max-attempts"`
	// Stretch and Allowance give the objective: Stretch times the longest chain of work, and Allowance more.
	Stretch   float64       `json:"stretch"`
	Allowance time.Duration `json:"allowance-ns"`
}

// Submission is one accepted piece of work.
type Submission struct {
	ID ID `json:"id"`
	// Route is the queue that the submission came in by.
	Route string `json:"route"`
	// Service names the workers that run the tasks, as of the time of acceptance.
	Service medlarwheel.ServiceName `json:"service"`
	// Policy are the route's terms as of the time of acceptance.
	Policy Policy `json:"terms"`
	// AcceptedAt is the wall time of acceptance.
	AcceptedAt time.Time `json:"accepted-at"`
	Spec       string    `json:"spec,omitempty"`
	Steps      []Step    `json:"steps"`
	// OccurrenceCount is the number of occurrences of a scheduled submission. Zero means one occurrence at once.
	OccurrenceCount int `json:"times,omitempty"`
	// FirstDue is the due time of occurrence 0 since the Unix epoch.
	FirstDue time.Duration `json:"first-due-ns,omitempty"`
	// Interval is the time between due times.
	Interval time.Duration `json:"interval-ns,omitempty"`
}

// Occurrences returns how often the steps run.
func (s *Submission) Occurrences() int { return max(s.OccurrenceCount, 1) }

// Due returns the wall time at which occurrence k may start.
func (s *Submission) Due(k int) time.Time {
	if s.OccurrenceCount == 0 {
		return s.AcceptedAt
	}
	return time.Unix(0, int64(s.FirstDue+time.Duration(k)*s.Interval))
}

// Check reports every fault of s.
func (s *Submission) Check() medlarwheel.Faults {
	var faults medlarwheel.Faults
	if !s.ID.IsValid() {
		faults = faults.Add("id", s.ID, "16 hexadecimal digits")
	}
	faults = faults.Range("spec", int64(len(s.Spec)), 0, maxSpecBytes)
	faults = faults.Range("steps", int64(len(s.Steps)), 1, maxSteps)
	faults = faults.Range("times", int64(s.OccurrenceCount), 0, maxTasks)
	total := 0
	for i := range s.Steps {
		faults = append(faults, s.Steps[i].check(i)...)
		total += min(s.Steps[i].Count, maxTasks)
	}
	faults = faults.Range("tasks", int64(total), 1, maxTasks)
	if len(faults) > 0 {
		return faults
	}
	return faults.Range("tasks of all times", int64(total)*int64(s.Occurrences()), 1, maxTasksAllOccurrences)
}

// maxTasksAllOccurrences bounds the memory that one submission takes in the scheduler, some hundred bytes for each task: an owner
// that runs out of memory takes its successors with it, since they read the same submission.
const maxTasksAllOccurrences = 200_000

func (s *Step) check(index int) medlarwheel.Faults {
	path := fmt.Sprintf("steps[%d].", index)
	faults := medlarwheel.Faults{}.Range(path+"count", int64(s.Count), 1, maxTasks)
	faults = faults.Range(path+"milli-cpu", s.Size.MilliCPU, 0, maxComponent)
	faults = faults.Range(path+"memory-mb", s.Size.MemoryMB, 0, maxComponent)
	faults = faults.Range(path+"gpu", s.Size.GPU, 0, maxComponent)
	faults = faults.Range(path+"max-per-worker", int64(s.MaxPerWorker), 0, maxTasks)
	for _, earlier := range s.After {
		faults = faults.Range(path+"after", int64(earlier), 0, int64(index)-1)
	}
	return faults
}

// maxComponent bounds one component of a size, so that sums over a fleet can't overflow.
const maxComponent = 1 << 40
