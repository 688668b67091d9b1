package medlarwheel

import (
	"fmt"
	"time"
)

// Worker is one machine that runs tasks, with its commitments and its marks (draining, probation and consecutive
// failures). It is the value of the row WorkerKey(ID).
type Worker struct {
	ID         WorkerID     `json:"id"`
	DataCentre DataCentreID `json:"data-centre"`
	Rack       RackID       `json:"rack"`
	// Address is the address at which the worker's agent receives commands.
	Address string    `json:"address"`
	Size    Resources `json:"size"`
	// Token is the highest fencing token of an owner of the worker's shard that has changed the size or the marks.
	Token FencingToken `json:"token,omitempty"`
	// Draining refuses new commitments while the worker is being emptied.
	Draining bool `json:"draining,omitempty"`
	// Probation is set while the worker is suspected of failing every task.
	Probation *Probation `json:"probation,omitempty"`
	// ConsecutiveFailures lists the failed attempts since the last success, at most one per job.
	ConsecutiveFailures []TaskAttempt `json:"failure-run,omitempty"`
	// Commitments lists the attempts that run or may run on the worker, ordered by task.
	Commitments []Commitment `json:"commitments,omitempty"`
}

// Commitment reserves resources of a worker for one attempt of a task.
type Commitment struct {
	Task     TaskID        `json:"task"`
	Attempt  AttemptNumber `json:"attempt"`
	Template TemplateName  `json:"template"`
	Class    Class         `json:"class"`
	// Token is the fencing token of the owner of the job's shard that made the commitment.
	Token     FencingToken `json:"token"`
	Resources Resources    `json:"resources"`
}

// Probation is the state of a worker that gets one trial task at a time until enough trials have passed.
type Probation struct {
	Since time.Time `json:"since"`
	// NextTrial is the earliest time at which the next trial may be opened.
	NextTrial time.Time `json:"next-trial"`
	// FailedTrials is the number of failed trials. Each one lengthens the wait for the next.
	FailedTrials int `json:"failed-trials,omitempty"`
	// PassedTrials is the number of consecutive trials that have passed.
	PassedTrials int `json:"passed-trials,omitempty"`
	// TrialOpen accepts one commitment, which becomes the trial.
	TrialOpen bool `json:"open,omitempty"`
	// Trial is the attempt that runs as the trial.
	Trial *TaskAttempt `json:"trial,omitempty"`
}

// UsageReport is a worker's report of the resources that it uses. Reports can be late, repeated or wrong.
type UsageReport struct {
	Worker WorkerID `json:"worker"`
	// Incarnation counts the starts of the worker's agent.
	Incarnation Incarnation `json:"incarnation"`
	// Sequence counts the reports of one incarnation from 1.
	Sequence uint64 `json:"sequence"`
	// Uptime is the reading of the agent's monotonic clock at the time of the measurement.
	Uptime Duration    `json:"uptime"`
	Used   Resources   `json:"used"`
	Tasks  []TaskUsage `json:"tasks,omitempty"`
}

// TaskUsage is the resource usage of one attempt of a task.
type TaskUsage struct {
	Task    TaskID        `json:"task"`
	Attempt AttemptNumber `json:"attempt"`
	Used    Resources     `json:"used"`
	// RunTime is how long the attempt has run.
	RunTime Duration `json:"run-time"`
}

// WorkerKey returns the table key of a worker's row.
func WorkerKey(id WorkerID) string { return "worker/" + string(id) }

// Committed returns the sum of all commitments.
func (w *Worker) Committed() Resources {
	var sum Resources
	for i := range w.Commitments {
		sum = sum.Plus(w.Commitments[i].Resources)
	}
	return sum
}

// Free returns the resources that are not committed.
func (w *Worker) Free() Resources { return w.Size.Minus(w.Committed()) }

// Check reports every fault of w.
func (w *Worker) Check() Faults {
	faults := CheckName("id", string(w.ID))
	faults = append(faults, CheckName("data-centre", string(w.DataCentre))...)
	faults = append(faults, CheckName("rack", string(w.Rack))...)
	faults = append(faults, CheckAddress("address", w.Address)...)
	faults = append(faults, w.Size.Check("size")...)
	for i := range w.Commitments {
		c := &w.Commitments[i]
		path := fmt.Sprintf("commitments[%d]", i)
		faults = append(faults, c.Resources.Check(path+".resources")...)
		if i > 0 && w.Commitments[i-1].Task >= c.Task {
			faults = faults.Add(path+".task", c.Task, "one commitment of each task, ordered by task")
		}
	}
	if committed := w.Committed(); !committed.Fits(w.Size) {
		faults = faults.Add("commitments", fmt.Sprintf("%+v", committed), fmt.Sprintf("at most the size %+v", w.Size))
	}
	return faults
}

// Check reports the faults of u that can be found without the worker's row.
func (u *UsageReport) Check() Faults {
	faults := CheckName("worker", string(u.Worker))
	if u.Sequence == 0 {
		faults = faults.Add("sequence", 0, "1 or more")
	}
	faults = faults.CheckDurationRange("uptime", u.Uptime, 0, maxUptime)
	faults = append(faults, u.Used.Check("used")...)
	for i := range u.Tasks {
		path := fmt.Sprintf("tasks[%d]", i)
		faults = append(faults, u.Tasks[i].Used.Check(path+".used")...)
		faults = faults.CheckDurationRange(path+".run-time", u.Tasks[i].RunTime, 0, u.Uptime)
	}
	return faults
}

// maxUptime is the maximum reading of an agent's monotonic clock that is accepted: ten years.
const maxUptime = Duration(10 * 365 * 24 * time.Hour)
