// Package medlarorder defines the orders that an owner sends to a worker and the responses of the worker: the start, stop
// and pace of a run, the renewal of the worker's lease, and the lists of running and ended runs.
//
// Times on a worker's clock are durations since an origin that only the worker knows. They are never compared with the
// clock of the owner.
//
// # Usage
//
//	response, err := agent.Start(medlarorder.Start{Task: name, Run: 1, Fence: fence, LeaseEnd: end})
//	if err != nil {
//		// The order may have been executed, or may still be executed later.
//	}
//	if response.Verdict == medlarorder.VerdictNoCapacity { ... }
package medlarorder

import (
	"fmt"
	"net/netip"
	"time"
	"unicode/utf8"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
)

// RunNumber counts the starts of one task. A higher number supersedes a lower one.
type RunNumber uint64

// EndNumber counts the ended runs of one incarnation of a worker from 1.
type EndNumber uint64

// Incarnation identifies a process of a worker by its start time in milliseconds since the Unix epoch. A restarted worker
// has no memory of earlier runs.
type Incarnation int64

// Worker is the registration of a worker.
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
	// Remaining is the minimum time for which a draining worker still serves.
	Remaining time.Duration `json:"-"`
	// ColdRemaining is how much longer the worker runs slowly after its start.
	ColdRemaining time.Duration `json:"-"`
}

// Limits of a registration, which any writer of the table may have written. A worker that is within them fits in a row
// of the table in the owner's list of workers, where JSON may escape each byte as six. One row too large would be
// refused together with all records of its batch, and the owner could store nothing any more.
const (
	maxTextBytes = 200
	maxLabels    = 16
)

// Check reports every fault in w.
func (w *Worker) Check() medlarwheel.Faults {
	faults := checkAddress(w.Address)
	if w.ID == "" {
		faults = faults.Add("id", "", "the name of a worker")
	}
	faults = checkText(faults, "id", string(w.ID))
	faults = checkText(faults, "service", string(w.Service))
	faults = checkText(faults, "data-centre", string(w.DataCentre))
	if len(w.Labels) > maxLabels {
		return faults.Add("labels", fmt.Sprintf("%d labels", len(w.Labels)), fmt.Sprintf("at most %d", maxLabels))
	}
	for _, label := range w.Labels {
		faults = checkText(faults, "labels", label)
	}
	return faults
}

// checkAddress reports a fault unless the address is one to which orders can be sent, which excludes IPv6.
func checkAddress(address string) medlarwheel.Faults {
	if a, err := netip.ParseAddrPort(address); err == nil && a.Addr().Is4() && a.Port() > 0 && (a.Addr().IsGlobalUnicast() || a.Addr().IsLoopback()) {
		return nil
	}
	return medlarwheel.Faults{}.Add("address", fmt.Sprintf("%.60q", address), "an IPv4 number of one machine and a port from 1 to 65535")
}

// checkText returns faults, with an additional one if a text is too long or can't be stored unchanged.
func checkText(faults medlarwheel.Faults, path, text string) medlarwheel.Faults {
	if len(text) <= maxTextBytes && utf8.ValidString(text) {
		return faults
	}
	return faults.Add(path, fmt.Sprintf("a text of %d bytes", len(text)), fmt.Sprintf("UTF-8 of at most %d bytes", maxTextBytes))
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
	// Checkpoint is the state from which the task resumes. Empty means a start from the beginning.
	Checkpoint string
}

// Stop orders a worker to stop a run.
type Stop struct {
	Task  medlarsubmission.TaskName
	Run   RunNumber
	Fence medlarwheel.FencingToken
}

// Pace sets the speed of a run as a percentage of full speed.
type Pace struct {
	Task    medlarsubmission.TaskName
	Run     RunNumber
	Fence   medlarwheel.FencingToken
	Percent int
}

// Verdict is the decision of a worker on an order.
type Verdict string

// The verdicts of a worker. Only VerdictAccepted means that the order was executed.
const (
	VerdictAccepted Verdict = "accepted"
	// VerdictFenced means that the worker has seen a higher fencing token.
	VerdictFenced Verdict = "fenced"
	// VerdictSuperseded means that the same or a higher run was stopped or has ended on the worker.
	VerdictSuperseded Verdict = "old"
	// VerdictLeaseExpired means that the lease in the order had already expired when it arrived.
	VerdictLeaseExpired Verdict = "late"
	// VerdictNoCapacity means that the worker enforces its capacity and the task does not fit.
	VerdictNoCapacity Verdict = "no-room"
	// VerdictUnhealthy means that the worker did not execute the order because it is overloaded or failing.
	VerdictUnhealthy Verdict = "unhealthy"
	// VerdictOtherIncarnation means that another incarnation of the worker responded.
	VerdictOtherIncarnation Verdict = "other-life"
	// VerdictInvalid means that the worker can't decode the order.
	VerdictInvalid Verdict = "invalid"
)

// Response is the response of a worker to an order.
type Response struct {
	Verdict Verdict
	// Clock is the time on the worker's clock, or zero if the response has none.
	Clock time.Duration
}

// Renew renews the lease of a worker and asks for its report.
type Renew struct {
	Fence medlarwheel.FencingToken
	// AckedUpTo lets the worker discard the ended runs up to this number.
	AckedUpTo EndNumber
	// LeaseEnd is when the lease ends on the worker's clock. Zero does not change the lease.
	LeaseEnd time.Duration
	// Wait is how long the worker may delay its response until a run ends.
	Wait time.Duration
}

// Running is a run that is in progress on a worker.
type Running struct {
	Task       medlarsubmission.TaskName
	Run        RunNumber
	Checkpoint string `json:"Saved"`
	// Percent is the progress. For a long-running task, 100 means that it is working.
	Percent int
	// Usage is the tail latency in milliseconds of a serving task, and the processor use in thousandths of a core of
	// any other. HasUsage is false while the worker has no measurement.
	Usage    int64
	HasUsage bool
}

// EndKind says how a run ended.
type EndKind string

// The kinds of end. EndLeaseExpired means that the lease of the worker ended before the run did.
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
	Checkpoint string `json:"Saved"`
}

// MaxReportedEnds is the number of ended runs that a worker reports at a time. It reports further ones once these are
// acknowledged.
const MaxReportedEnds = 500

// Report is the response of a worker to Renew: its verdict, and its running and ended runs.
type Report struct {
	Verdict     Verdict
	Incarnation Incarnation `json:"Life"`
	Clock       time.Duration
	Running     []Running
	Ended       []Ended
	// Release, unless it is nil, gives back the memory that the report takes. It is called once the report is processed.
	Release func() `json:"-"`
}

// Done gives back the memory that the report takes.
func (r *Report) Done() {
	if r.Release != nil {
		r.Release()
	}
}

// HasAllEnds reports whether the report is certain to list every ended run that is not acknowledged.
func (r *Report) HasAllEnds() bool { return len(r.Ended) < MaxReportedEnds }
