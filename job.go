package medlarwheel

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// MaxJobTasks is the maximum number of tasks of one job, because they share one row of the table. A service with more
// replicas is submitted as several jobs.
const MaxJobTasks = 256

// JobRequest is a job as a client submits it. Submitting the same request again returns the same job.
type JobRequest struct {
	// Name identifies the job within its account.
	Name     string       `json:"name"`
	Account  AccountID    `json:"account"`
	Template TemplateName `json:"template"`
	// DataCentre is where the job's tasks run.
	DataCentre DataCentreID `json:"data-centre"`
	// Tasks is the number of tasks of a batch job. For a service, the template's number of replicas applies.
	Tasks int `json:"tasks,omitempty"`
	// Size overrides the template's declared size unless it is zero.
	Size Resources `json:"size,omitzero"`
	// RunTime overrides the template's declared run time unless it is zero.
	RunTime Duration `json:"run-time,omitempty"`
}

// Job is an accepted request with the state of its tasks.
type Job struct {
	ID       JobID        `json:"id"`
	Name     string       `json:"name"`
	Account  AccountID    `json:"account"`
	Team     string       `json:"team"`
	Template TemplateName `json:"template"`
	Kind     Kind         `json:"kind"`
	Class    Class        `json:"class"`
	// DataCentre is where the job's tasks run and whose shards own the job.
	DataCentre DataCentreID `json:"data-centre"`
	// Spec is the template's task specification at the time of submission, with the overrides of the request applied.
	Spec        TaskSpec  `json:"spec"`
	State       JobState  `json:"state"`
	SubmittedAt time.Time `json:"submitted-at"`
	EndedAt     time.Time `json:"ended-at,omitzero"`
	// Token is the highest fencing token of an owner that has changed the job.
	Token FencingToken `json:"token,omitempty"`
	// Cancelling means that the job was cancelled and its tasks are to be stopped.
	Cancelling bool `json:"cancelling,omitempty"`
	// Reason says why the job is held, who cancelled it, or which task failed permanently.
	Reason string `json:"reason,omitempty"`
	Tasks  []Task `json:"tasks"`
}

// TaskID returns the id of the task at the index.
func (j *Job) TaskID(index int) TaskID { return TaskID(string(j.ID) + "." + strconv.Itoa(index)) }

// ParseTaskID splits a task id into the id of its job and its index.
func ParseTaskID(id TaskID) (job JobID, index int, ok bool) {
	at := strings.LastIndexByte(string(id), '.')
	if at < 1 {
		return "", 0, false
	}
	index, err := strconv.Atoi(string(id[at+1:]))
	if err != nil || index < 0 || index >= MaxJobTasks {
		return "", 0, false
	}
	return JobID(id[:at]), index, true
}

// Check reports the faults of r that can be found without its template, account and workers.
func (r *JobRequest) Check() Faults {
	faults := CheckName("name", r.Name)
	faults = append(faults, CheckName("account", string(r.Account))...)
	faults = append(faults, CheckName("template", string(r.Template))...)
	faults = append(faults, CheckName("data-centre", string(r.DataCentre))...)
	faults = faults.CheckRange("tasks", int64(r.Tasks), 0, MaxJobTasks)
	faults = append(faults, r.Size.Check("size")...)
	return faults.CheckDurationRange("run-time", r.RunTime, 0, maxRunTime)
}

// Check reports every fault of j.
func (j *Job) Check() Faults {
	faults := CheckName("id", string(j.ID))
	faults = append(faults, CheckName("account", string(j.Account))...)
	faults = append(faults, CheckName("template", string(j.Template))...)
	faults = append(faults, CheckName("data-centre", string(j.DataCentre))...)
	faults = append(faults, j.Class.Check("class")...)
	faults = append(faults, j.Kind.Check("kind")...)
	faults = append(faults, j.State.Check("state")...)
	faults = faults.CheckRange("tasks", int64(len(j.Tasks)), 1, MaxJobTasks)
	for i := range j.Tasks {
		t := &j.Tasks[i]
		path := fmt.Sprintf("tasks[%d]", i)
		faults = append(faults, t.State.Check(path+".state")...)
		if t.Attempt == 0 {
			faults = faults.Add(path+".attempt", 0, "1 or more")
		}
		if t.State.IsActive() != (t.Run != nil) {
			faults = faults.Add(path+".run", t.Run != nil, "a run exactly while the task is on a worker")
		}
		if t.ResumeFrom >= t.Attempt || t.LatestCheckpoint >= t.Attempt && t.Run == nil {
			faults = faults.Add(path+".checkpoint", t.ResumeFrom, "a checkpoint of an earlier attempt")
		}
	}
	return faults
}
