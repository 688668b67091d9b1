package medlarwheel

import (
	"fmt"
	"time"
)

// AttemptNumber counts the attempts of one task from 1. Zero means no attempt.
type AttemptNumber uint32

// TaskAttempt identifies one attempt of a task.
type TaskAttempt struct {
	Task    TaskID        `json:"task"`
	Attempt AttemptNumber `json:"attempt"`
}

// JobState is the state of a job or of one of its tasks.
type JobState string

// The states of jobs and tasks. Done, failed and cancelled are final.
const (
	JobSubmitted     JobState = "submitted"
	JobQueued        JobState = "queued"
	JobPlacing       JobState = "placing"
	JobRunning       JobState = "running"
	JobCheckpointing JobState = "checkpointing"
	JobSuspended     JobState = "suspended"
	JobHeld          JobState = "held"
	JobDone          JobState = "done"
	JobFailed        JobState = "failed"
	JobCancelled     JobState = "cancelled"
)

// IsFinal reports whether the state never changes again.
func (s JobState) IsFinal() bool { return s == JobDone || s == JobFailed || s == JobCancelled }

// IsActive reports whether a task in the state is committed on a worker.
func (s JobState) IsActive() bool {
	return s == JobPlacing || s == JobRunning || s == JobCheckpointing
}

// IsPlaceable reports whether a task in the state waits for placement on a worker.
func (s JobState) IsPlaceable() bool { return s == JobQueued || s == JobSuspended }

// Check reports a fault at path unless s is a known state.
func (s JobState) Check(path string) Faults {
	if s.IsFinal() || s.IsActive() || s.IsPlaceable() || s == JobSubmitted || s == JobHeld {
		return nil
	}
	return Faults{{Path: path, Value: fmt.Sprintf("%q", string(s)), Accepted: "a state of a job"}}
}

// Task is one task of a job. Its position in Job.Tasks is its index.
type Task struct {
	State JobState `json:"state"`
	// Attempt is the attempt that is committed on a worker or, while there is none, the next one to be placed.
	Attempt AttemptNumber `json:"attempt"`
	// Run describes the attempt that is committed on a worker.
	Run *Attempt `json:"run,omitempty"`
	// ResumeFrom is the attempt from whose checkpoint the next attempt resumes. Zero means a start from the beginning.
	ResumeFrom AttemptNumber `json:"checkpoint,omitempty"`
	// LatestCheckpoint is the last attempt that wrote a checkpoint. In a gang it becomes ResumeFrom once all members have
	// a checkpoint.
	LatestCheckpoint AttemptNumber `json:"saved,omitempty"`
	// PreviousEnd is the evidence that the attempt before Attempt has ended.
	PreviousEnd *AttemptEnd `json:"ended,omitempty"`
	// Failures is the number of failed attempts that are counted against the task.
	Failures int `json:"failures,omitempty"`
	// FailedOn lists the workers of these failures since the last hold.
	FailedOn []WorkerFailures `json:"failed-on,omitempty"`
	// Holds is the number of times that the task was held. Each one lengthens the next hold.
	Holds     int       `json:"holds,omitempty"`
	HeldUntil time.Time `json:"held-until,omitzero"`
	// Reason says why the task was held, failed or cancelled.
	Reason string `json:"reason,omitempty"`
	// History lists the most recent ended attempts, oldest first.
	History []Attempt `json:"history,omitempty"`
}

// Attempt is one run of a task on a worker.
type Attempt struct {
	Number AttemptNumber `json:"number"`
	Worker WorkerID      `json:"worker"`
	// Incarnation is the incarnation of the worker's agent that may start the attempt. A restarted agent does not start
	// it again.
	Incarnation Incarnation `json:"incarnation"`
	// Token is the fencing token of the owner that placed the attempt.
	Token     FencingToken `json:"token"`
	Resources Resources    `json:"resources"`
	// ResumeFrom is the attempt from whose checkpoint this one started.
	ResumeFrom AttemptNumber `json:"resume-from,omitempty"`
	PlacedAt   time.Time     `json:"placed-at"`
	StartedAt  time.Time     `json:"started-at,omitzero"`
	EndedAt    time.Time     `json:"ended-at,omitzero"`
	// Result is set once the attempt has ended.
	Result AttemptResult `json:"result,omitempty"`
	Reason string        `json:"reason,omitempty"`
}

// AttemptResult says how an attempt ended.
type AttemptResult string

// The results of an attempt.
const (
	ResultDone      AttemptResult = "done"
	ResultFailed    AttemptResult = "failed"
	ResultEvicted   AttemptResult = "evicted"
	ResultLost      AttemptResult = "lost"
	ResultCancelled AttemptResult = "cancelled"
)

// WorkerFailures counts the failures of a task on one worker.
type WorkerFailures struct {
	Worker WorkerID `json:"worker"`
	Count  int      `json:"count"`
}

// AttemptEnd is the recorded evidence that an attempt has ended and cannot run again.
type AttemptEnd struct {
	Attempt AttemptNumber `json:"attempt"`
	Worker  WorkerID      `json:"worker"`
	Cause   EndCause      `json:"cause"`
	Token   FencingToken  `json:"token"`
}

// EndCause is the kind of evidence that an attempt has ended.
type EndCause string

// The kinds of evidence.
const (
	// EndReportedByWorker means that the worker reported the end and refuses to start the attempt again.
	EndReportedByWorker EndCause = "worker-word"
	// EndLeaseExpired means that the attempt's lease and the safety margin have expired.
	EndLeaseExpired EndCause = "lease-expiry"
)

// TaskPhase is the phase of an attempt as its worker reports it.
type TaskPhase string

// The phases of an attempt on its worker. All except running are final: the worker refuses to start the attempt
// afterwards. That includes absent, which it reports for an attempt that it does not know.
const (
	PhaseRunning      TaskPhase = "running"
	PhaseDone         TaskPhase = "done"
	PhaseFailed       TaskPhase = "failed"
	PhaseCheckpointed TaskPhase = "checkpointed"
	PhaseStopped      TaskPhase = "stopped"
	PhaseAbsent       TaskPhase = "absent"
)

// IsEnded reports whether the phase is final.
func (p TaskPhase) IsEnded() bool {
	switch p {
	case PhaseDone, PhaseFailed, PhaseCheckpointed, PhaseStopped, PhaseAbsent:
		return true
	default:
		return false
	}
}

// TaskReport is a worker's report about one attempt of a task.
type TaskReport struct {
	Worker WorkerID `json:"worker"`
	// Incarnation counts the starts of the worker's agent.
	Incarnation Incarnation `json:"incarnation"`
	// Uptime is the reading of the agent's monotonic clock when it wrote the report.
	Uptime  Duration      `json:"uptime"`
	Task    TaskID        `json:"task"`
	Attempt AttemptNumber `json:"attempt"`
	// Token is the highest fencing token that the worker has seen for the task.
	Token FencingToken `json:"token"`
	Phase TaskPhase    `json:"phase"`
	// CheckpointWritten reports whether the attempt has written its checkpoint object.
	CheckpointWritten bool   `json:"saved,omitempty"`
	Reason            string `json:"reason,omitempty"`
}

// Check reports every fault of r.
func (r *TaskReport) Check() Faults {
	faults := CheckName("worker", string(r.Worker))
	faults = append(faults, CheckName("task", string(r.Task))...)
	faults = faults.CheckDurationRange("uptime", r.Uptime, 0, maxUptime)
	if r.Attempt == 0 {
		faults = faults.Add("attempt", 0, "1 or more")
	}
	if r.Phase != PhaseRunning && !r.Phase.IsEnded() {
		faults = faults.Add("phase", r.Phase, "running, done, failed, checkpointed, stopped or absent")
	}
	return faults
}
