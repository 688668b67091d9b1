package medlarjob

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/medlarlease"
	"medlarwheel/medlarquota"
)

// SubmitContext is what a request is checked against.
type SubmitContext struct {
	// Template is the template that the request names, or nil.
	Template *medlarwheel.Template
	// Account is the account that submits, or nil if it has no entry. TeamQuota is the quota of its team.
	Account   *medlarwheel.Account
	TeamQuota medlarwheel.Resources
	// Shapes lists the sizes of the data centre's workers. It is empty while they are not known.
	Shapes []WorkerShape
	// Racks is the number of racks of the data centre, or zero while it is not known.
	Racks int
	// OpenJobs is the number of the account's jobs that have not ended.
	OpenJobs int
}

// SubmitError lists why a request was refused.
type SubmitError struct {
	Faults medlarwheel.Faults
	// RetryAfter is the time to come back. It is zero if the same request can never be accepted as things are.
	RetryAfter medlarwheel.Duration
}

// Error lists the faults, one a line.
func (e *SubmitError) Error() string { return e.Faults.Error() }

// Unwrap returns the faults.
func (e *SubmitError) Unwrap() error { return e.Faults }

// faultCollector gathers the faults of one request.
type faultCollector struct {
	faults medlarwheel.Faults
	// retryAfter is the longest time to come back of the faults that pass by themselves.
	retryAfter time.Duration
	permanent  bool
}

func (f *faultCollector) addPermanent(path string, value any, accepted string) {
	f.faults = f.faults.Add(path, value, accepted)
	f.permanent = true
}

func (f *faultCollector) addTransient(path string, value any, accepted string, wait time.Duration) {
	f.faults = f.faults.Add(path, value, accepted)
	f.retryAfter = max(f.retryAfter, wait)
}

func (f *faultCollector) err() error {
	if len(f.faults) == 0 {
		return nil
	}
	e := &SubmitError{Faults: f.faults}
	if !f.permanent {
		e.RetryAfter = medlarwheel.Duration(f.retryAfter)
	}
	return e
}

// Submit checks a request and returns the write that creates its job. The write conflicts if the account has submitted a
// job under the same name before; Answers then tells whether it was the same request.
func (c Config) Submit(
	request *medlarwheel.JobRequest, around *SubmitContext, now time.Time,
) (Record, medlarwheel.Write, error) {
	refused := &faultCollector{faults: request.Check()}
	refused.permanent = len(refused.faults) > 0
	spec, tasks := c.resolveTemplate(request, around.Template, refused)
	if !refused.permanent {
		c.checkCapacity(&spec, tasks, around, refused)
		checkQuotas(&spec, tasks, request, around, refused)
		if around.OpenJobs >= c.MaxOpenJobs {
			refused.addTransient("account", around.OpenJobs, fmt.Sprintf("fewer than %d open jobs", c.MaxOpenJobs), c.RetryBusy)
		}
	}
	if err := refused.err(); err != nil {
		return Record{}, medlarwheel.Write{}, err
	}
	record, err := c.newRecord(request, around, spec, tasks, now)
	if err != nil {
		return Record{}, medlarwheel.Write{}, err
	}
	value, err := json.Marshal(&record.job)
	return record, medlarwheel.Write{Key: record.key, Value: value}, errors.Wrap(err, "encode job")
}

// MatchesRequest reports whether the job was submitted by the same request.
func (r *Record) MatchesRequest(request *medlarwheel.JobRequest) bool {
	j := &r.job
	sameTasks := request.Tasks == len(j.Tasks) || request.Tasks == 0 && j.Kind == medlarwheel.KindService
	sameSize := request.Size.IsZero() || request.Size == j.Spec.Size
	sameTime := request.RunTime == 0 || request.RunTime == j.Spec.RunTime
	return j.Name == request.Name && j.Account == request.Account && j.Template == request.Template &&
		j.DataCentre == request.DataCentre && sameTasks && sameSize && sameTime
}

// resolveTemplate returns the specification of the tasks and their number.
func (c Config) resolveTemplate(
	request *medlarwheel.JobRequest, template *medlarwheel.Template, refused *faultCollector,
) (medlarwheel.TaskSpec, int) {
	if template == nil || template.Task == nil {
		refused.addPermanent("template", fmt.Sprintf("%q", request.Template), "a published template with tasks")
		return medlarwheel.TaskSpec{}, 0
	}
	spec := *template.Task
	if !request.Size.IsZero() {
		spec.Size = request.Size
	}
	if request.RunTime > 0 {
		spec.RunTime = request.RunTime
	}
	if spec.Size.CPU == 0 && spec.Size.Accelerators == 0 {
		refused.addPermanent("size", "no processor and no accelerator", "at least one of them above zero")
	}
	tasks := request.Tasks
	if tasks == 0 && template.Kind == medlarwheel.KindService {
		tasks = spec.Replicas
	}
	if tasks < 1 || tasks > medlarwheel.MaxJobTasks {
		refused.addPermanent("tasks", tasks, fmt.Sprintf("1 to %d", medlarwheel.MaxJobTasks))
	}
	return spec, tasks
}

func (c Config) newRecord(
	request *medlarwheel.JobRequest, around *SubmitContext, spec medlarwheel.TaskSpec, tasks int, now time.Time,
) (Record, error) {
	team := string(medlarquota.TeamOf(request.Account, around.Account))
	job := medlarwheel.Job{
		ID:   medlarlease.NewJobID(request.DataCentre, team, request.Account, request.Name),
		Name: request.Name, Account: request.Account, Team: team, Template: request.Template,
		Kind: around.Template.Kind, Class: around.Template.Class, DataCentre: request.DataCentre, Spec: spec,
		State: medlarwheel.JobSubmitted, SubmittedAt: rowTime(now), Tasks: make([]medlarwheel.Task, tasks),
	}
	for i := range job.Tasks {
		job.Tasks[i] = medlarwheel.Task{State: medlarwheel.JobSubmitted, Attempt: 1}
	}
	key, err := medlarlease.JobKey(job.DataCentre, job.ID)
	return Record{config: c, key: key, job: job, read: &readIdentity{}}, err
}
