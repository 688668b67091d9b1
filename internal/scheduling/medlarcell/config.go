package medlarcell

import (
	"time"

	"medlarwheel/internal/scheduling/medlarforecast"
	"medlarwheel/internal/scheduling/medlarrank"
)

// Config configures a cell.
type Config struct {
	// Lease is how long a worker keeps running without hearing from its owner. Longer leases outlive a change of owner;
	// shorter ones free the tasks of an unreachable worker sooner.
	Lease time.Duration
	// LeaseTail bounds a lease beyond the time until when the owner may give orders. It leaves a new owner time to claim the
	// cell and to renew the leases before they end.
	LeaseTail time.Duration
	// RenewalWait is how long a worker may wait for an end before it answers a renewal. It bounds the age of the figures of
	// running tasks.
	RenewalWait time.Duration
	// RenewalRetryDelay is the pause after a renewal without an answer.
	RenewalRetryDelay time.Duration
	// AckWaitTimeout is how long a renewal waits for the ends of the last one to be stored and acknowledged.
	AckWaitTimeout time.Duration
	// ContactTimeout is the age of a worker's last answer after which it gets no new tasks.
	ContactTimeout time.Duration
	// ResponseTimeout is how long a worker or a data centre may owe the answer to an order before it gets no new tasks. Orders
	// are usually answered within some milliseconds, across data centres too.
	ResponseTimeout time.Duration
	// ClockDrift is the greatest relative error of a worker's clock.
	ClockDrift float64
	// LeaseMargin is added to the computed end of a lease for rounding and delays.
	LeaseMargin time.Duration
	// StopRetry is the time after which a stop without effect is sent again.
	StopRetry time.Duration
	// KeepFinished is how long a finished submission stays known.
	KeepFinished time.Duration
	// FailuresToSuspend is the number of failed runs in a row, of different submissions, that suspends a worker.
	FailuresToSuspend int
	// SuspendDuration is how long a suspended worker gets no new tasks. It doubles with each suspension in a row.
	SuspendDuration time.Duration
	// UnhealthyPause is the pause after a worker has rejected an order as unhealthy or for want of room.
	UnhealthyPause time.Duration
	// LongRunningCPUShare is the part of its declared processors that a serving task uses, which leaves the rest to filling tasks.
	LongRunningCPUShare float64
	// HardDeadlineFactor times its objective is the time after which a submission is of no more use to its caller.
	HardDeadlineFactor float64
	Rank               medlarrank.Config
	RunTimes           medlarforecast.Config
	Interference       InterferenceConfig
	Load               LoadConfig
	Progress           ProgressConfig
}

// DefaultConfig returns the configuration for workers whose clocks are at most 2% slow.
func DefaultConfig() Config {
	return Config{
		Lease: 3 * time.Second, LeaseTail: 2200 * time.Millisecond, RenewalWait: 600 * time.Millisecond, RenewalRetryDelay: 150 * time.Millisecond,
		AckWaitTimeout: 200 * time.Millisecond,
		ContactTimeout: 1300 * time.Millisecond, ResponseTimeout: 150 * time.Millisecond, ClockDrift: 0.02, LeaseMargin: 200 * time.Millisecond,
		StopRetry: time.Second, KeepFinished: 2 * time.Minute,
		FailuresToSuspend: 2, SuspendDuration: 4 * time.Second,
		UnhealthyPause: 200 * time.Millisecond, LongRunningCPUShare: 0.5, HardDeadlineFactor: 3,
		Rank: medlarrank.DefaultConfig(), RunTimes: medlarforecast.DefaultConfig(), Interference: DefaultInterferenceConfig(),
		Load: DefaultLoadConfig(), Progress: DefaultProgressConfig(),
	}
}
