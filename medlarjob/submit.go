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

// SubmitContext holds what a request is checked against.
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
	// RetryAfter is the time after which to retry. It is zero if the request cannot be accepted without a change of the
	// request or of the configuration.
	RetryAfter medlarwheel.Duration
}

// Error lists the faults, one per line.
func (e *SubmitError) Error() string { return e.Faults.Error() }

// Unwrap returns the faults.
func (e *SubmitError) Unwrap() error { return e.Faults }

// faultCollector collects the faults of one request.
type faultCollector struct {
	faults medlarwheel.Faults
	// retryAfter is the longest retry delay of the transient faults.
	retryAfter time.Duration
	permanent  bool
}

// addPermanent adds a fault that remains until the request or the configuration changes.
func (f *faultCollector) addPermanent(path string, value any, accepted string) {
	f.faults = f.faults.Add(path, value, accepted)
	f.permanent = true
}

// addTransient adds a fault that may be gone when the request is retried after the given time.
func (f *faultCollector) addTransient(path string, value any, accepted string, retryAfter time.Duration) {
	f.faults = f.faults.Add(path, value, accepted)
	f.retryAfter = max(f.retryAfter, retryAfter)
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
// job under the same name before; MatchesRequest then reports whether it was the same request.
func (c Config) Submit(
	request *medlarwheel.JobRequest, context *SubmitContext, now time.Time,
) (Record, medlarwheel.Write, error) {
	faults := &faultCollector{faults: request.Check()}
	faults.permanent = len(faults.faults) > 0
	spec, tasks := c.resolveTemplate(request, context.Template, faults)
	if !faults.permanent {
		c.checkCapacity(&spec, tasks, context, faults)
		checkQuotas(&spec, tasks, request, context, faults)
		if context.OpenJobs >= c.MaxOpenJobs {
			faults.addTransient("account", context.OpenJobs, fmt.Sprintf("fewer than %d open jobs", c.MaxOpenJobs), c.RetryBusy)
		}
	}
	if err := faults.err(); err != nil {
		return Record{}, medlarwheel.Write{}, err
	}
	record, err := c.newRecord(request, context, spec, tasks, now)
	if err != nil {
		return Record{}, medlarwheel.Write{}, err
	}
	value, err := json.Marshal(&record.job)
	return record, medlarwheel.Write{Key: record.key, Value: value}, errors.Wrapf(err, "encode row of job %s", record.job.ID)
}

// MatchesRequest reports whether the job was created by the same request.
func (r *Record) MatchesRequest(request *medlarwheel.JobRequest) bool {
	j := &r.job
	sameTasks := request.Tasks == len(j.Tasks) || request.Tasks == 0 && j.Kind == medlarwheel.KindService
	sameSize := request.Size.IsZero() || request.Size == j.Spec.Size
	sameTime := request.RunTime == 0 || request.RunTime == j.Spec.RunTime
	return j.Name == request.Name && j.Account == request.Account && j.Template == request.Template &&
		j.DataCentre == request.DataCentre && sameTasks && sameSize && sameTime
}

// resolveTemplate returns the specification of the tasks and their number: those of the template with the values that
// the request overrides.
func (c Config) resolveTemplate(
	request *medlarwheel.JobRequest, template *medlarwheel.Template, faults *faultCollector,
) (medlarwheel.TaskSpec, int) {
	if template == nil || template.Task == nil {
		faults.addPermanent("template", fmt.Sprintf("%q", request.Template), "a published template with tasks")
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
		faults.addPermanent("size", "no processor and no accelerator", "at least one of them above zero")
	}
	tasks := request.Tasks
	if tasks == 0 && template.Kind == medlarwheel.KindService {
		tasks = spec.Replicas
	}
	if tasks < 1 || tasks > medlarwheel.MaxJobTasks {
		faults.addPermanent("tasks", tasks, fmt.Sprintf("1 to %d", medlarwheel.MaxJobTasks))
	}
	return spec, tasks
}

func (c Config) newRecord(
	request *medlarwheel.JobRequest, context *SubmitContext, spec medlarwheel.TaskSpec, tasks int, now time.Time,
) (Record, error) {
	team := string(medlarquota.TeamOf(request.Account, context.Account))
	job := medlarwheel.Job{
		ID:   medlarlease.NewJobID(request.DataCentre, team, request.Account, request.Name),
		Name: request.Name, Account: request.Account, Team: team, Template: request.Template,
		Kind: context.Template.Kind, Class: context.Template.Class, DataCentre: request.DataCentre, Spec: spec,
		State: medlarwheel.JobSubmitted, SubmittedAt: rowTime(now), Tasks: make([]medlarwheel.Task, tasks),
	}
	for i := range job.Tasks {
		job.Tasks[i] = medlarwheel.Task{State: medlarwheel.JobSubmitted, Attempt: 1}
	}
	key, err := medlarlease.JobKey(job.DataCentre, job.ID)
	return Record{config: c, key: key, job: job, read: &readIdentity{}}, err
}
