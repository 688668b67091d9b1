package medlarplacement

import "time"

// Config holds the settings of an Index.
type Config struct {
	// SampleSize is the number of fitting workers that are scored for one task.
	SampleSize int
	// SampleScanLimit bounds the workers examined for one task once one of them fits.
	SampleScanLimit int
	// ScanLimit bounds the workers examined for one task before the placement fails.
	ScanLimit int
	// MaxInterferenceRejections bounds the workers with enough free capacity that are rejected for their predicted
	// interference before the placement of a batch task fails. A rejection takes several predictions, so its bound is
	// lower than that of capacity checks.
	MaxInterferenceRejections int
	// MaxUsageAge is the age up to which a usage report counts as evidence of idle capacity.
	MaxUsageAge time.Duration
	// OvercommitReserve is the fraction of a worker that must stay idle by measurement when a task is overcommitted.
	OvercommitReserve float64
	// MaxSlowdown is the highest predicted slowdown of a service task, as a factor, at which batch tasks may be added to
	// its worker. Zero sets no bound.
	MaxSlowdown float64
	// IgnoreMaxSlowdownAfter is the waiting time from which a batch task is placed regardless of MaxSlowdown. Templates
	// that interfere with every service would otherwise never run.
	IgnoreMaxSlowdownAfter time.Duration
	// SlowdownSmoothing is the weight of the newest slowdown of a task in its exponential moving average.
	SlowdownSmoothing float64
	// MaxTemplatesScored bounds the templates on one worker that are considered for interference.
	MaxTemplatesScored int
	Weights            Weights
	Preemption         PreemptionConfig
}

// Weights are the weights of the terms of a worker's placement cost. The unit is the logarithm of a slowdown.
type Weights struct {
	// Imbalance weighs the difference between the fractions of processors and of memory that would be left free.
	Imbalance float64
	// Load weighs the expected processor load of the worker with the task.
	Load float64
	// RackSpread weighs each task of the group on the same rack.
	RackSpread float64
	// DataCentreSpread weighs the fraction of the group's tasks in the same data centre.
	DataCentreSpread float64
	// CausedInterference weighs the predicted slowdown that the task causes to services on the worker.
	CausedInterference float64
	// ReceivedInterference weighs the predicted slowdown of the task itself.
	ReceivedInterference float64
	// UnusedAccelerator weighs each free accelerator of the worker if the task needs none.
	UnusedAccelerator float64
	// OtherDataCentre weighs a data centre other than the preferred one.
	OtherDataCentre float64
}

// PreemptionConfig bounds the search of Preempt.
type PreemptionConfig struct {
	// MaxWorkers bounds the workers on which a set of evictions is searched.
	MaxWorkers int
	// MaxNodes bounds the nodes of the search tree over all workers together.
	MaxNodes int
	// EvictionCost is the run time that each eviction costs in addition to the lost progress: for stopping, queueing and
	// starting the task again.
	EvictionCost time.Duration
}

// DefaultConfig returns the settings for up to 2,800 workers. With a scan of 1,024 of 2,800 workers, the probability
// that a placement fails is below 1 in 10 million if at least 36 workers fit, and zero if more than 1,776 fit.
func DefaultConfig() Config {
	return Config{
		SampleSize:                8,
		SampleScanLimit:           32,
		ScanLimit:                 1024,
		MaxInterferenceRejections: 64,
		MaxUsageAge:               2 * time.Minute,
		OvercommitReserve:         0.1,
		MaxSlowdown:               1.4,
		IgnoreMaxSlowdownAfter:    20 * time.Minute,
		SlowdownSmoothing:         0.5,
		MaxTemplatesScored:        16,
		Weights: Weights{
			Imbalance: 0.1, Load: 0.1, RackSpread: 0.2, DataCentreSpread: 0.3,
			CausedInterference: 1, ReceivedInterference: 1, UnusedAccelerator: 0.2, OtherDataCentre: 0.5,
		},
		Preemption: PreemptionConfig{MaxWorkers: 32, MaxNodes: 4096, EvictionCost: 30 * time.Second},
	}
}
