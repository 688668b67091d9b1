// Package medlarorder holds what an owner tells a worker and what a worker answers: starts, stops, the renewal of its
// lease, and the lists of what runs and what has ended there.
//
// Times on a worker's clock are durations since an origin that only the worker knows. They are never compared with the
// clock of the caller.
//
// # Usage
//
//	answer, err := agent.Start(medlarorder.Start{Task: name, Run: 1, Fence: fence, Until: until})
//	if err != nil {
//		// The order may have been carried out, or may be carried out later.
//	}
//	if answer.Verdict == medlarorder.VerdictNoCapacity { ... }
package medlarorder

import (
	"time"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
)

// RunNumber counts the starts of one task. A higher number supersedes a lower one.
type RunNumber uint64

// EndNumber counts the ended runs of one life of a worker from 1.
type EndNumber uint64

// Incarnation is the start time of a worker's process in milliseconds since the Unix epoch. A restarted worker remembers nothing.
type Incarnation int64

// Worker is a worker as it registers itself.
type Worker struct {
	ID          medlarwheel.WorkerID     `json:"id"`
	Incarnation Incarnation              `json:"life"`
	Service     medlarwheel.ServiceName  `json:"service"`
	Address     string                   `json:"address"`
	DataCentre  medlarwheel.DataCentreID `json:"data-centre,omitempty"`
	Rack        medlarwheel.RackID       `json:"rack,omitempty"`
	Labels      []string                 `json:"labels,omitempty"`
	Capacity    medlarsubmission.Size    `json:"capacity"`
	// Draining workers take no new tasks.
	Draining bool `json:"draining,omitempty"`
	// Remaining is the least time that a draining worker still serves.
	Remaining time.Duration `json:"-"`
}

// Check reports every fault of w.
func (w *Worker) Check() medlarwheel.Faults {
	faults := medlarwheel.CheckAddress("address", w.Address)
	if w.ID == "" {
		faults = faults.Add("id", "", "the name of a worker")
	}
	return faults
}

// HasLabel reports whether the worker carries the label.
func (w *Worker) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Start orders a worker to run a task.
type Start struct {
	Task  medlarsubmission.TaskName
	Run   RunNumber
	Spec  string
	Fence medlarwheel.FencingToken
	// LeaseEnd is the end of the worker's lease on its own clock.
	LeaseEnd time.Duration
	// Checkpoint is where the task resumes. Empty means from its beginning.
	Checkpoint string
}

// Stop orders a worker to stop a run.
type Stop struct {
	Task  medlarsubmission.TaskName
	Run   RunNumber
	Fence medlarwheel.FencingToken
}

// Pace sets the share of its speed at which a run works.
type Pace struct {
	Task    medlarsubmission.TaskName
	Run     RunNumber
	Fence   medlarwheel.FencingToken
	Percent int
}

// Verdict is a worker's decision on an order.
type Verdict string

// The verdicts of a worker. Only VerdictAccepted means that the order was carried out.
const (
	VerdictAccepted Verdict = "accepted"
	// VerdictFenced means that the worker has seen a higher fencing token.
	VerdictFenced Verdict = "fenced"
	// VerdictSuperseded means that the same or a higher run was stopped or has ended on the worker.
	VerdictSuperseded Verdict = "old"
	// VerdictLeaseExpired means that the lease in the order had already ended.
	VerdictLeaseExpired Verdict = "late"
	// VerdictNoCapacity means that the worker guards its capacity and the task does not fit.
	VerdictNoCapacity Verdict = "no-room"
	// VerdictUnhealthy means that the worker did nothing because it is overloaded or failing.
	VerdictUnhealthy Verdict = "unhealthy"
	// VerdictOtherIncarnation means that another life of the worker answered.
	VerdictOtherIncarnation Verdict = "other-life"
	// VerdictInvalid means that the worker can't read the order.
	VerdictInvalid Verdict = "invalid"
)

// Response is a worker's answer to an order.
type Response struct {
	Verdict Verdict
	// Clock is the worker's clock, or zero if the answer has none.
	Clock time.Duration
}

// Renew renews the lease of a worker and asks for its lists.
type Renew struct {
	Fence medlarwheel.FencingToken
	// AckedUpTo lets the worker forget the ends up to this number.
	AckedUpTo EndNumber
	// LeaseEnd is the end of the lease on the worker's clock. Zero leaves the lease alone.
	LeaseEnd time.Duration
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
}

// Running is one run on a worker.
type Running struct {
	Task       medlarsubmission.TaskName
	Run        RunNumber
	Checkpoint string
	// Percent is the progress, or for a long-running task whether it is at work (100).
	Percent int
	// Usage is the tail latency in milliseconds of a serving task, and the processor use in thousandths of a core of
	// any other. HasUsage is false while the worker has no figure.
	Usage    int64
	HasUsage bool
}

// EndKind says how a run ended.
type EndKind string

// The ways in which a run ends.
const (
	EndDone         EndKind = "done"
	EndFailed       EndKind = "failed"
	EndStopped      EndKind = "stopped"
	EndLeaseExpired EndKind = "lapsed"
	EndBroken       EndKind = "broken"
	EndAlone        EndKind = "alone"
)

// Ended is one ended run on a worker.
type Ended struct {
	Number     EndNumber
	Task       medlarsubmission.TaskName
	Run        RunNumber
	Kind       EndKind
	Checkpoint string
}

// Report is a worker's answer to a Hold.
type Report struct {
	Verdict     Verdict
	Incarnation Incarnation
	Clock       time.Duration
	Running     []Running
	Ended       []Ended
}
