// Package medlaradmission implements admission control: it decides whether a new submission is accepted, based on the load
// that the scheduler last reported.
//
// On nearly full workers, long-running tasks occupy capacity for minutes, during which short urgent tasks find none.
// Admission control therefore refuses long-running tasks that would take the capacity that short urgent work has
// recently needed.
//
// A scheduler that ends for want of memory is followed by others that load the same submissions. A MemoryDoor
// therefore refuses submissions that would need more memory than the scheduler has.
//
// Best-effort work that cannot be done in time earns its client nothing and delays other work. Admission control therefore bounds
// the backlog of best-effort work by what the workers have done lately, see docs/admission.md.
//
// If the report is too old or missing, a submission is accepted as far as the memory without a report suffices.
//
// # Usage
//
//	decision := door.Admit(now, &config, &submission, surroundings, false)
//	if decision.Accept {
//		decision = config.Admit(now, &submission, load)
//	}
//	if !decision.Accept {
//		// Refuse with decision.RetryAfter.
//	}
package medlaradmission

import (
	"time"

	"medlarwheel/internal/acceptance/medlarreturns"
	"medlarwheel/internal/acceptance/medlarsubmission"
)

// Load is the report of the scheduler on the workers of one service.
type Load struct {
	// At is the time of the report.
	At time.Time `json:"at"`
	// LongRunningHeadroom is the number of cores that long-running tasks may still take.
	LongRunningHeadroom float64 `json:"lasting-room"`
	// LongRunningReleaseRate is the rate at which capacity becomes free for long-running tasks, in cores per second.
	LongRunningReleaseRate float64 `json:"lasting-release"`
	// LongRunningReserved is the number of cores that are kept for submissions which were turned away and are expected back. They are
	// not part of LongRunningHeadroom.
	LongRunningReserved float64 `json:"lasting-reserved,omitempty"`
	// HeldMemory is the memory that the scheduler needs for its submissions, in bytes, and MaxHeldMemory the most that it should
	// need. Zero means that there is no limit.
	HeldMemory    int64 `json:"held-memory,omitempty"`
	MaxHeldMemory int64 `json:"max-held-memory,omitempty"`
	// BestEffort is the state of the best-effort work.
	BestEffort BestEffortLoad `json:"best-effort,omitzero"`
}

// Config configures admission control.
type Config struct {
	// MaxAge is the greatest age of a report that is used.
	MaxAge time.Duration
	// MinRetryAfter and MaxRetryAfter are the bounds of Decision.RetryAfter.
	MinRetryAfter, MaxRetryAfter time.Duration
	BestEffort                   BestEffortConfig
}

// DefaultConfig returns the configuration for reports that are included in the responses of the scheduler.
func DefaultConfig() Config {
	return Config{MaxAge: 2 * time.Second, MinRetryAfter: time.Second, MaxRetryAfter: 10 * time.Second, BestEffort: DefaultBestEffortConfig()}
}

// Cause names the limit for which a submission is refused. It is part of a metric name.
type Cause string

// The causes of refusals.
const (
	CauseMemory      Cause = "memory"
	CauseLongRunning Cause = "long-running"
	CauseBacklog     Cause = "best-effort-backlog"
)

// Decision is the decision on a submission.
type Decision struct {
	Accept bool
	// RetryAfter is how long the client should wait before it repeats a refused submission.
	RetryAfter time.Duration
	// Cause is the limit for which the submission is refused, and Reason states it with the figures.
	Cause  Cause
	Reason string
	// TurnedAway describes a refused submission whose return can be planned. It has no id otherwise.
	TurnedAway medlarreturns.Request
	// Age is the age of the report at the time of the decision.
	Age time.Duration
}

// DependsOnLoad reports whether the decision on a submission depends on a recent report of the load.
func (c Config) DependsOnLoad(s *medlarsubmission.Submission) bool {
	return longRunningCores(s) > 0 || bestEffortWork(s, 1) > 0
}

// Admit decides whether a submission is accepted.
func (c Config) Admit(now time.Time, s *medlarsubmission.Submission, load Load) Decision {
	d := Decision{Accept: true}
	age := now.Sub(load.At)
	if !load.At.IsZero() && age <= c.MaxAge {
		d = c.admitAtOnce(s, &load)
	}
	if d.Accept && !load.At.IsZero() && age <= c.BestEffort.MaxAge {
		d = c.BestEffort.admit(s, &load.BestEffort, c.MinRetryAfter)
	}
	d.Age = age
	return d
}

// admitAtOnce decides by the limits that hold for the present state of the workers and the scheduler.
func (c Config) admitAtOnce(s *medlarsubmission.Submission, load *Load) Decision {
	if cores := longRunningCores(s); cores > 0 && cores > load.LongRunningHeadroom {
		missing := cores - load.LongRunningHeadroom
		wait := c.retryAfter(missing, load.LongRunningReleaseRate)
		return Decision{
			RetryAfter: wait, Cause: CauseLongRunning, Reason: "not enough free capacity for long-running tasks",
			TurnedAway: medlarreturns.Request{
				ID: s.ID, Needed: medlarreturns.Amount(cores), Missing: medlarreturns.Amount(missing),
				Reserved: medlarreturns.Amount(load.LongRunningReserved), Rate: medlarreturns.Amount(load.LongRunningReleaseRate), Wait: wait,
			},
		}
	}
	return Decision{Accept: true}
}

// retryAfter returns the time in which the missing cores are released at the given rate, within the bounds.
func (c Config) retryAfter(missing, rate float64) time.Duration {
	if rate <= 0 {
		return c.MaxRetryAfter
	}
	wait := time.Duration(missing / rate * float64(time.Second))
	return min(max(wait, c.MinRetryAfter), c.MaxRetryAfter)
}

// longRunningCores returns the cores that the long-running tasks of a submission request, without best-effort tasks.
func longRunningCores(s *medlarsubmission.Submission) float64 {
	cores := 0.0
	for i := range s.Steps {
		if step := &s.Steps[i]; step.LongRunning && !step.BestEffort {
			cores += float64(step.Count) * float64(step.Size.MilliCPU) / medlarsubmission.MilliCPUPerCore
		}
	}
	return cores
}
