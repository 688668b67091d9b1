package medlarjob_test

import (
	"errors"
	"testing"

	"medlarwheel"
	"medlarwheel/medlarjob"
	"medlarwheel/medlarlease"
	"medlarwheel/medlarworker"
)

// TestDefaultsAreAccepted guards against default configurations that fail the checks of their own packages.
func TestDefaultsAreAccepted(t *testing.T) {
	for name, faults := range map[string]medlarwheel.Faults{
		"lease": medlarlease.DefaultConfig().Check(), "worker": medlarworker.Default().Check(), "job": medlarjob.Default().Check(),
	} {
		if len(faults) > 0 {
			t.Errorf("%s: %v", name, faults)
		}
	}
}

// TestSubmitRefusesJobsThatCannotRun guards against jobs that are accepted but can never run, and against refusals that do
// not name the path of every fault or that give a retry delay although a retry cannot succeed.
func TestSubmitRefusesJobsThatCannotRun(t *testing.T) {
	config := medlarjob.Default()
	size := func(cpu medlarwheel.MilliCPU) medlarwheel.Resources {
		return medlarwheel.Resources{CPU: cpu, Memory: 10}
	}
	type change func(*medlarwheel.JobRequest, *medlarjob.SubmitContext)
	for _, c := range []struct {
		name   string
		change change
		paths  []string
		retry  bool
	}{
		{"accepted", func(*medlarwheel.JobRequest, *medlarjob.SubmitContext) {}, nil, false},
		{"no template", func(_ *medlarwheel.JobRequest, s *medlarjob.SubmitContext) { s.Template = nil }, []string{"template"}, false},
		{"every fault", func(r *medlarwheel.JobRequest, s *medlarjob.SubmitContext) {
			r.Name, r.Tasks = "Bad Name", 257
		}, []string{"name", "tasks", "tasks"}, false},
		{"too large for every worker", func(r *medlarwheel.JobRequest, _ *medlarjob.SubmitContext) {
			r.Size = size(5000)
		}, []string{"size"}, false},
		{"fits a draining worker", func(r *medlarwheel.JobRequest, s *medlarjob.SubmitContext) {
			s.Shapes[0].Available, s.Shapes[0].Unavailable = 0, 2
		}, []string{"size"}, true},
		{"workers not known", func(_ *medlarwheel.JobRequest, s *medlarjob.SubmitContext) { s.Shapes = nil }, []string{"data-centre"}, true},
		{"gang too large for all workers", func(r *medlarwheel.JobRequest, s *medlarjob.SubmitContext) {
			r.Tasks, s.Template.Task.Gang = 9, true
		}, []string{"size"}, false},
		{"gang too large for its racks", func(r *medlarwheel.JobRequest, s *medlarjob.SubmitContext) {
			r.Tasks, s.Template.Task.Gang, s.Template.Task.MaxPerRack, s.Racks = 5, true, 2, 2
		}, []string{"tasks"}, false},
		{"beyond the team's quota", func(_ *medlarwheel.JobRequest, s *medlarjob.SubmitContext) {
			s.TeamQuota = size(999)
		}, []string{"size"}, false},
		{"gang beyond the account's quota", func(r *medlarwheel.JobRequest, s *medlarjob.SubmitContext) {
			r.Tasks, s.Template.Task.Gang, s.Account = 3, true, &medlarwheel.Account{Quota: size(2500)}
		}, []string{"tasks"}, false},
		{"one after the other within the quota", func(r *medlarwheel.JobRequest, s *medlarjob.SubmitContext) {
			r.Tasks, s.Account = 3, &medlarwheel.Account{Quota: size(2500)}
		}, nil, false},
		{"beyond the quota of the template", func(_ *medlarwheel.JobRequest, s *medlarjob.SubmitContext) {
			s.Template.Defaults.Quota = size(500)
		}, []string{"size"}, false},
		{"too many open jobs", func(_ *medlarwheel.JobRequest, s *medlarjob.SubmitContext) {
			s.OpenJobs = config.MaxOpenJobs
		}, []string{"account"}, true},
		{"transient and permanent faults", func(_ *medlarwheel.JobRequest, s *medlarjob.SubmitContext) {
			s.OpenJobs, s.TeamQuota = config.MaxOpenJobs, size(1)
		}, []string{"size", "account"}, false},
	} {
		request := &medlarwheel.JobRequest{Name: "round", Account: "a", Template: "round", DataCentre: "dc1", Tasks: 1}
		context := &medlarjob.SubmitContext{
			Template: &medlarwheel.Template{
				Name: "round", Kind: medlarwheel.KindBatch, Class: medlarwheel.ClassStandard,
				Task: &medlarwheel.TaskSpec{Size: size(1000)},
			},
			Shapes: []medlarjob.WorkerShape{{Size: medlarwheel.Resources{CPU: 4000, Memory: 100}, Available: 2}},
		}
		c.change(request, context)
		record, _, err := config.Submit(request, context, start)
		var refused *medlarjob.SubmitError
		if errors.As(err, &refused) != (len(c.paths) > 0) {
			t.Errorf("%s: got %v", c.name, err)
			continue
		}
		if refused == nil {
			if !record.MatchesRequest(request) {
				t.Errorf("%s: the job does not match its own request", c.name)
			}
			continue
		}
		same := len(refused.Faults) == len(c.paths)
		for n := range c.paths {
			same = same && refused.Faults[n].Path == c.paths[n]
		}
		if !same || (refused.RetryAfter > 0) != c.retry {
			t.Errorf("%s: got %v, retry after %v; want faults at %v, retry: %t", c.name, refused.Faults, refused.RetryAfter, c.paths, c.retry)
		}
	}
}
