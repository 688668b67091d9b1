package medlarworker

import (
	"slices"
	"time"

	"medlarwheel"
)

// IsOnProbation reports whether the worker is on probation. Failures on such a worker do not count against the tasks. The
// caller also removes the failures that were counted before from the jobs in Worker().ConsecutiveFailures
// (see medlarjob.Record.ClearWorkerFailures).
func (r *Record) IsOnProbation() bool { return r.worker.Probation != nil }

// OpenTrial lets one task be committed to a worker on probation as a trial, once the wait for the trial is over. It reports
// false if no trial is due.
func (r *Record) OpenTrial(token medlarwheel.FencingToken, now time.Time) (medlarwheel.Write, bool, error) {
	p := r.worker.Probation
	if p == nil || p.TrialOpen || p.Trial != nil || now.Before(p.NextTrial) {
		return medlarwheel.Write{}, false, nil
	}
	if err := r.applyOwnerToken(token); err != nil {
		return medlarwheel.Write{}, false, err
	}
	p.TrialOpen = true
	write, err := r.Write()
	return write, err == nil, err
}

// recordResult counts the result of an attempt towards the probation. Only the results done and failed say something about
// the worker: lost attempts ended together with the worker or its agent, and evicted and cancelled ones were ended by their
// owner.
func (r *Record) recordResult(attempt medlarwheel.TaskAttempt, result medlarwheel.AttemptResult, now time.Time) {
	now = now.UTC().Truncate(time.Second)
	w := &r.worker
	if p := w.Probation; p != nil && p.Trial != nil && *p.Trial == attempt {
		r.recordTrialResult(p, result, now)
		return
	}
	switch result {
	case medlarwheel.ResultDone:
		if w.Probation == nil {
			w.ConsecutiveFailures = nil
		}
	case medlarwheel.ResultFailed:
		r.recordFailure(attempt)
		if w.Probation == nil && len(w.ConsecutiveFailures) >= r.config.ProbationJobs {
			w.Probation = &medlarwheel.Probation{Since: now, NextTrial: now.Add(r.config.TrialWait)}
		}
	}
}

func (r *Record) recordFailure(attempt medlarwheel.TaskAttempt) {
	job, _, _ := medlarwheel.ParseTaskID(attempt.Task)
	known := slices.ContainsFunc(r.worker.ConsecutiveFailures, func(a medlarwheel.TaskAttempt) bool {
		other, _, _ := medlarwheel.ParseTaskID(a.Task)
		return other == job
	})
	if !known && len(r.worker.ConsecutiveFailures) < r.config.ProbationJobs {
		r.worker.ConsecutiveFailures = append(r.worker.ConsecutiveFailures, attempt)
	}
}

func (r *Record) recordTrialResult(p *medlarwheel.Probation, result medlarwheel.AttemptResult, now time.Time) {
	p.Trial = nil
	p.NextTrial = now
	switch result {
	case medlarwheel.ResultDone:
		p.PassedTrials++
		if p.PassedTrials >= r.config.TrialsToReturn {
			r.worker.Probation, r.worker.ConsecutiveFailures = nil, nil
		}
	case medlarwheel.ResultFailed:
		p.PassedTrials = 0
		p.FailedTrials++
		p.NextTrial = now.Add(backoff(r.config.TrialWait, p.FailedTrials, r.config.MaxTrialWait))
	}
}

// backoff returns base doubled n times, but at most limit.
func backoff(base time.Duration, n int, limit time.Duration) time.Duration {
	for range n {
		if base >= limit/2 {
			return limit
		}
		base *= 2
	}
	return base
}
