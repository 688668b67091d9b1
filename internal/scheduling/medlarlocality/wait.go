package medlarlocality

import "time"

// Config configures how long a task waits for a place near.
type Config struct {
	// MaxWait bounds all waits, and MaxIdleWait those of a task while nothing of its submission runs.
	MaxWait, MaxIdleWait time.Duration
	// AdmitShare is the share of the longest wait up to which a task begins to wait. The rest makes up for wrong predictions: a task that
	// leaves after a wait loses both.
	AdmitShare float64
}

// DefaultConfig returns the configuration for tasks of about a second.
func DefaultConfig() Config {
	return Config{MaxWait: 2 * time.Second, MaxIdleWait: 500 * time.Millisecond, AdmitShare: 0.5}
}

// Work holds what the longest wait of a task depends on.
type Work struct {
	// RunTime is the expected run time near. RemoteFactor is how many times as long the task takes elsewhere.
	RunTime      time.Duration
	RemoteFactor float64
	// Waited is how long the task has already waited for a place near.
	Waited time.Duration
	// CriticalPath is the expected time from a start near to the completion of the submission.
	CriticalPath time.Duration
	// Slack is how much later than now the task can start near with its submission in time. It is negative if the submission is late.
	// HardSlack is the same until its result is of no use.
	Slack, HardSlack time.Duration
	// IsIdle is true while nothing of the submission runs.
	IsIdle bool
}

// BreakEven returns the wait at which a start near ends as late as one elsewhere at once.
func (w *Work) BreakEven() time.Duration {
	return max(0, time.Duration(float64(w.RunTime)*(w.RemoteFactor-1)))
}

// WaitLimit returns how long it pays to wait from now on. It is zero if the task should start anywhere.
func (c *Config) WaitLimit(w Work) time.Duration {
	breakEven := w.BreakEven()
	limit := min(breakEven, c.MaxWait)
	if slack := w.relevantSlack() + w.Waited; slack >= 0 && slack < breakEven {
		// The uncertainty of a run time is in proportion to it. Up to this wait, a start near is more likely to be in time.
		path := w.CriticalPath
		limit = min(limit, time.Duration(float64(breakEven)*float64(slack+path)/float64(breakEven+path)))
	}
	if w.IsIdle {
		limit = min(limit, c.MaxIdleWait)
	}
	if w.Waited == 0 {
		return time.Duration(c.AdmitShare * float64(limit))
	}
	return max(0, limit-w.Waited)
}

// relevantSlack returns the slack until the next deadline that can still be met.
func (w *Work) relevantSlack() time.Duration {
	if w.Slack >= 0 {
		return w.Slack
	}
	return w.HardSlack
}
