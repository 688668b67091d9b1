// Package medlaradmission decides whether a new submission is accepted, from the load that the scheduler last reported.
//
// It answers the load of tasks that last on a nearly full fleet: they take their room for minutes, and short urgent tasks
// find none for as long. The door therefore keeps the room that short urgent work has lately needed.
//
// A report that is too old decides nothing: the submission is accepted.
//
// # Usage
//
//	verdict := door.Admit(now, &submission, load)
//	if !verdict.Accept {
//		// Refuse with verdict.RetryAfter.
//	}
package medlaradmission

import (
	"time"

	"medlarwheel/internal/acceptance/medlarsubmission"
)

// Load is what the scheduler reports about the workers of one service.
type Load struct {
	// At is when the report was made.
	At time.Time `json:"at"`
	// LongRunningHeadroom is the number of cores that tasks that last may still take.
	LongRunningHeadroom float64 `json:"lasting-room"`
	// LongRunningReleaseRate is the rate at which tasks that last have given room back, in cores a second.
	LongRunningReleaseRate float64 `json:"lasting-release"`
}

// Config configures the door.
type Config struct {
	// MaxAge is the age of a report up to which it decides.
	MaxAge time.Duration
	// MinRetryAfter and MaxRetryAfter bound the time that a refused caller is told.
	MinRetryAfter, MaxRetryAfter time.Duration
}

// DefaultConfig returns the configuration for reports that come with the answers of the scheduler.
func DefaultConfig() Config {
	return Config{MaxAge: 2 * time.Second, MinRetryAfter: time.Second, MaxRetryAfter: 30 * time.Second}
}

// Decision is the door's decision.
type Decision struct {
	Accept     bool
	RetryAfter time.Duration
	// Reason names the load that decided.
	Reason string
	// Age is the age of the report.
	Age time.Duration
}

// DependsOnLoad reports whether the verdict on a submission depends on the load.
func (c Config) DependsOnLoad(s *medlarsubmission.Submission) bool { return longRunningCores(s) > 0 }

// Admit decides on a submission.
func (c Config) Admit(now time.Time, s *medlarsubmission.Submission, load Load) Decision {
	v := Decision{Accept: true, Age: now.Sub(load.At)}
	if load.At.IsZero() || v.Age > c.MaxAge {
		return v
	}
	if cores := longRunningCores(s); cores > 0 && cores > load.LongRunningHeadroom {
		v.Accept, v.Reason = false, "no room for tasks that last"
		v.RetryAfter = c.retryAfter(cores-load.LongRunningHeadroom, load.LongRunningReleaseRate)
	}
	return v
}

// retryAfter returns the time in which the missing amount comes free at the rate.
func (c Config) retryAfter(missing, rate float64) time.Duration {
	if rate <= 0 {
		return c.MaxRetryAfter
	}
	wait := time.Duration(missing / rate * float64(time.Second))
	return min(max(wait, c.MinRetryAfter), c.MaxRetryAfter)
}

// longRunningCores returns the cores that the tasks of a submission that last ask for.
func longRunningCores(s *medlarsubmission.Submission) float64 {
	cores := 0.0
	for i := range s.Steps {
		if step := &s.Steps[i]; step.LongRunning && !step.BestEffort {
			cores += float64(step.Count) * float64(step.Size.MilliCPU) / medlarsubmission.MilliCPUPerCore
		}
	}
	return cores
}
