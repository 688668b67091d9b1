package medlarcell

import (
	"time"

	"medlarwheel/internal/scheduling/medlarforecast"
	"medlarwheel/internal/scheduling/medlarlocality"
	"medlarwheel/internal/scheduling/medlarrank"
)

// Config configures a cell.
type Config struct {
	// Lease is how long a worker keeps running tasks without hearing from its owner. A longer lease survives a change of
	// owner; a shorter one frees the tasks of an unreachable worker sooner. The default outlasts a partition of a data
	// centre for six seconds, during which the others have no room for its tasks.
	Lease time.Duration
	// MaxLease is the longest lease that workers accept, whatever an order asks for.
	MaxLease time.Duration
	// LeaseTail bounds how far a lease may extend beyond the end of the owner's authority. It leaves a new owner time to
	// claim the cell and to renew the leases before they end. A successor waits as long for workers that do not respond.
	LeaseTail time.Duration
	// RenewalWait is how long a worker may wait for a run to end before it responds to a renewal. It bounds the age of
	// the metrics of running tasks.
	RenewalWait time.Duration
	// RenewalRetryDelay is the pause after a renewal without a response.
	RenewalRetryDelay time.Duration
	// AckWaitTimeout is how long the next renewal waits for the ended runs of the last one to be stored and acknowledged.
	AckWaitTimeout time.Duration
	// ContactTimeout is the age of a worker's last response at which the worker stops getting new tasks.
	ContactTimeout time.Duration
	// ResponseTimeout is how long an order to a worker or a data centre may stay without a response before no new
	// tasks are sent there. Responses usually take a few milliseconds, across data centres too.
	ResponseTimeout time.Duration
	// ClockDrift is the largest relative rate error of a worker's clock.
	ClockDrift float64
	// LeaseMargin is added to the computed end of a lease to cover rounding and delays.
	LeaseMargin time.Duration
	// StopRetry is the time after which a stop is sent again if the run has not ended.
	StopRetry time.Duration
	// KeepFinished is how long a finished submission is kept in memory.
	KeepFinished time.Duration
	// MaxRowBytes is the largest size of a record of progress, and MaxBatchBytes that of all records in a batch, but for the last.
	MaxRowBytes, MaxBatchBytes int
	// Memory bounds the estimated memory of all submissions and runs.
	Memory MemoryLimits
	// Orders bounds the orders to workers that have no response yet.
	Orders OrderLimits
	// FailuresToSuspend is the number of consecutive failed runs, of different submissions, after which a worker is
	// suspended.
	FailuresToSuspend int
	// SuspendDuration is how long a suspended worker gets no new tasks. It doubles with each consecutive suspension.
	SuspendDuration time.Duration
	// UnhealthyPause is how long a worker gets no new tasks after it has rejected an order as unhealthy, as superseded or
	// for lack of capacity.
	UnhealthyPause time.Duration
	// LongRunningCPUShare is the share of its declared CPU that a long-running task is assumed to use. The rest is
	// available to best-effort tasks.
	LongRunningCPUShare float64
	// HardDeadlineFactor times the objective of a submission is the time after which its result is of no use to the
	// client.
	HardDeadlineFactor float64
	Rank               medlarrank.Config
	RunTimes           medlarforecast.Config
	Interference       InterferenceConfig
	Load               LoadConfig
	WorkerSpeed        WorkerSpeedConfig
	Cold               ColdConfig
	// RemoteFactor is how many times as long a task takes away from the rack of its data, or a gang on several racks. At 1 and below, the
	// cell neither waits for places on a rack nor expects other run times.
	RemoteFactor float64
	Locality     medlarlocality.Config
}

// DefaultConfig returns the configuration for workers whose clocks are at most 2% slow.
func DefaultConfig() Config {
	return Config{
		Lease: 7 * time.Second, MaxLease: 10 * time.Second, LeaseTail: 6 * time.Second, RenewalWait: 600 * time.Millisecond, RenewalRetryDelay: 150 * time.Millisecond,
		AckWaitTimeout: 200 * time.Millisecond,
		ContactTimeout: 1300 * time.Millisecond, ResponseTimeout: 150 * time.Millisecond, ClockDrift: 0.02, LeaseMargin: 200 * time.Millisecond,
		StopRetry: time.Second, KeepFinished: 2 * time.Minute, MaxRowBytes: 48 << 10, MaxBatchBytes: 512 << 10,
		Memory:            DefaultMemoryLimits(),
		Orders:            DefaultOrderLimits(),
		FailuresToSuspend: 2, SuspendDuration: 4 * time.Second,
		UnhealthyPause: 200 * time.Millisecond, LongRunningCPUShare: 0.5, HardDeadlineFactor: 3,
		Rank: medlarrank.DefaultConfig(), RunTimes: medlarforecast.DefaultConfig(), Interference: DefaultInterferenceConfig(),
		Load: DefaultLoadConfig(), WorkerSpeed: DefaultWorkerSpeedConfig(), Locality: medlarlocality.DefaultConfig(),
	}
}
