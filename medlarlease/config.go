package medlarlease

import (
	"time"

	"medlarwheel"
)

// Config holds the terms and bounds of leases.
type Config struct {
	// Term is how long an instance's lease lasts, counted by the holder from before it sent the renewal.
	Term time.Duration
	// Margin is what an observer waits beyond a term. It covers the difference of clock rates.
	Margin time.Duration
	// RenewInterval is the time between two renewals of an instance's lease.
	RenewInterval time.Duration
	// MaxReadInterval is the longest time between two reads of a row over which an observer's count goes on. A longer gap
	// restarts it: after an outage of the table every lease looks old, and no holder could have renewed.
	MaxReadInterval time.Duration
	// OutageRenewalLimit is how long an owner without the table goes on renewing task leases directly with the workers. A task whose
	// owner and worker are lost together starts elsewhere only after it.
	OutageRenewalLimit time.Duration
	// TaskTerm is how long a task's lease lasts. It covers a renewal period, the expiry of a dead owner's lease, and two
	// renewal periods for the new owner to notice: 5 s + 9 s + 4 s, with reserve.
	TaskTerm time.Duration
	// TaskMargin is what an owner waits beyond a task's term.
	TaskMargin time.Duration
	// TaskRenewInterval is the time between two renewals of a task's lease.
	TaskRenewInterval time.Duration
	// MaxMoves bounds the shards that one change of the map moves for balance.
	MaxMoves int
}

// DefaultConfig returns the terms of the design page.
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

// Check reports every fault of c.
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
