package medlarjob

import (
	"time"

	"medlarwheel"
)

// Config holds the limits and times of the job life cycle.
type Config struct {
	// HoldWorkers is the number of different workers on which a task has to fail before it is held.
	HoldWorkers int
	// HoldFailures is the number of failures after which a task is held even if they occurred on fewer workers. Without it
	// a task that fails immediately on the only worker that it fits would be restarted forever.
	HoldFailures int
	// HoldWait is the duration of the first hold. It doubles with each further hold, up to MaxHoldWait.
	HoldWait    time.Duration
	MaxHoldWait time.Duration
	// MaxAttempts bounds the failed attempts of a batch task whose template sets no bound.
	MaxAttempts int
	// KeepAttempts bounds the ended attempts that a task's history keeps, and KeepPerJob those of a whole job.
	KeepAttempts int
	KeepPerJob   int
	// MaxReason bounds a reason in bytes.
	MaxReason int
	// CheckpointGrace is how long a worker may take to write a checkpoint before it stops the attempt without one.
	CheckpointGrace time.Duration
	// Retention is how long the row of an ended job is kept.
	Retention time.Duration
	// MaxOpenJobs bounds the jobs of one account that have not ended.
	MaxOpenJobs int
	// RetryBusy is the retry delay for an account with too many open jobs, or while the workers are not known yet.
	RetryBusy time.Duration
	// RetryUnavailable is the retry delay while only workers that are draining or on probation are large enough.
	RetryUnavailable time.Duration
	// MaxBatchWrites and MaxBatchBytes bound one transaction.
	MaxBatchWrites int
	MaxBatchBytes  int
	// MaxWaveBatches bounds the transactions of one wave of cancellations.
	MaxWaveBatches int
}

// Default returns the default configuration, as the design page describes it.
func Default() Config {
	return Config{
		HoldWorkers:      3,
		HoldFailures:     6,
		HoldWait:         time.Minute,
		MaxHoldWait:      time.Hour,
		MaxAttempts:      10,
		KeepAttempts:     3,
		KeepPerJob:       medlarwheel.MaxJobTasks,
		MaxReason:        120,
		CheckpointGrace:  30 * time.Second,
		Retention:        24 * time.Hour,
		MaxOpenJobs:      1000,
		RetryBusy:        10 * time.Second,
		RetryUnavailable: time.Minute,
		MaxBatchWrites:   64,
		MaxBatchBytes:    512 * 1024,
		MaxWaveBatches:   4,
	}
}

// Check reports every fault of c.
func (c Config) Check() medlarwheel.Faults {
	var faults medlarwheel.Faults
	const year = medlarwheel.Duration(365 * 24 * time.Hour)
	faults = faults.CheckRange("hold-workers", int64(c.HoldWorkers), 1, 100)
	faults = faults.CheckRange("hold-failures", int64(c.HoldFailures), int64(c.HoldWorkers), 1000)
	faults = faults.CheckDurationRange("hold-wait", medlarwheel.Duration(c.HoldWait), 1, year)
	faults = faults.CheckDurationRange("max-hold-wait", medlarwheel.Duration(c.MaxHoldWait), medlarwheel.Duration(c.HoldWait), year)
	faults = faults.CheckRange("max-attempts", int64(c.MaxAttempts), 1, 1000)
	faults = faults.CheckRange("keep-attempts", int64(c.KeepAttempts), 1, 10)
	faults = faults.CheckRange("keep-per-job", int64(c.KeepPerJob), 1, 1000)
	faults = faults.CheckRange("max-reason", int64(c.MaxReason), 16, 1000)
	faults = faults.CheckDurationRange("checkpoint-grace", medlarwheel.Duration(c.CheckpointGrace), 1, year)
	faults = faults.CheckDurationRange("retention", medlarwheel.Duration(c.Retention), 0, year)
	faults = faults.CheckDurationRange("retry-busy", medlarwheel.Duration(c.RetryBusy), 1, year)
	faults = faults.CheckDurationRange("retry-away", medlarwheel.Duration(c.RetryUnavailable), 1, year)
	faults = faults.CheckRange("max-open-jobs", int64(c.MaxOpenJobs), 1, 1_000_000)
	faults = faults.CheckRange("max-batch-writes", int64(c.MaxBatchWrites), 2, 10_000)
	faults = faults.CheckRange("max-batch-bytes", int64(c.MaxBatchBytes), 64*1024, 64*1024*1024)
	return faults.CheckRange("max-wave-batches", int64(c.MaxWaveBatches), 1, 1000)
}
