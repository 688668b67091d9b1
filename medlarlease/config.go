package medlarlease

import (
	"time"

	"medlarwheel"
)

// Config sets the durations and limits of leases.
type Config struct {
	// Term is the duration of an instance's lease, which the holder measures from before it sent the renewal.
	Term time.Duration
	// Margin is the time that an observer waits beyond Term. It covers clock drift.
	Margin time.Duration
	// RenewInterval is the time between two renewals of an instance's lease.
	RenewInterval time.Duration
	// MaxReadInterval is the longest time between two reads of a row that an observer counts towards expiry. A longer
	// interval restarts the count: after an outage of the table every lease looks expired, although no holder was able to
	// renew.
	MaxReadInterval time.Duration
	// OutageRenewalLimit is how long an owner continues to renew task leases with the workers while the table is
	// unavailable.
	// If the owner and the worker of a task fail together, the task starts elsewhere only after this time.
	OutageRenewalLimit time.Duration
	// TaskTerm is the duration of a task's lease. It covers one renewal interval of the task, the expiry of a failed owner's
	// lease, and two renewal intervals in which the new owner detects it: 5 s + 9 s + 4 s, plus a reserve.
	TaskTerm time.Duration
	// TaskMargin is the time that an owner waits beyond TaskTerm before a task's lease counts as expired.
	TaskMargin time.Duration
	// TaskRenewInterval is the time between two renewals of a task's lease.
	TaskRenewInterval time.Duration
	// MaxMoves limits how many shards one change of the map moves for balance.
	MaxMoves int
}

// DefaultConfig returns the values of the design page.
func DefaultConfig() Config {
	return Config{
		Term:               8 * time.Second,
		Margin:             time.Second,
		RenewInterval:      2 * time.Second,
		MaxReadInterval:    4 * time.Second,
		OutageRenewalLimit: 15 * time.Minute,
		TaskTerm:           30 * time.Second,
		TaskMargin:         2 * time.Second,
		TaskRenewInterval:  5 * time.Second,
		MaxMoves:           4,
	}
}

// Check reports every invalid value of c.
func (c Config) Check() medlarwheel.Faults {
	var faults medlarwheel.Faults
	positive := func(path string, value time.Duration) {
		faults = faults.CheckDurationRange(path, medlarwheel.Duration(value), 1, medlarwheel.Duration(24*time.Hour))
	}
	positive("margin", c.Margin)
	positive("renew-every", c.RenewInterval)
	positive("max-read-gap", c.MaxReadInterval)
	positive("task-margin", c.TaskMargin)
	positive("task-renew-every", c.TaskRenewInterval)
	above := func(path string, value, low time.Duration) {
		faults = faults.CheckDurationRange(path, medlarwheel.Duration(value), medlarwheel.Duration(low), medlarwheel.Duration(24*time.Hour))
	}
	above("term", c.Term, 2*c.RenewInterval)
	above("horizon", c.OutageRenewalLimit, c.Term)
	above("task-term", c.TaskTerm, c.TaskRenewInterval+c.Term+c.Margin+2*c.RenewInterval)
	return faults.CheckRange("max-moves", int64(c.MaxMoves), 1, ShardCount)
}
