package medlarplacement

import "time"

// Config holds the settings of an Index.
type Config struct {
	// SampleSize is the number of fitting workers that are scored for one task.
	SampleSize int
	// SampleScanLimit bounds the workers looked at for one task while at least one of them fits.
	SampleScanLimit int
	// ScanLimit bounds the workers looked at for one task before giving up.
	ScanLimit int
	// MaxInterferenceRejections bounds the workers with room that are rejected for their predicted interference before a batch task has to
	// wait. A rejection takes several predictions, so it is bounded more tightly than checks of capacity.
	MaxInterferenceRejections int
	// MaxUsageAge is the age from which a usage report no longer shows idle capacity.
	MaxUsageAge time.Duration
	// OvercommitReserve is the share of a worker that must stay idle by measurement when capacity is lent.
	OvercommitReserve float64
	// MaxSlowdown bounds the predicted slowdown of a service task at which batch work may still be added. Zero sets no
	// bound.
	MaxSlowdown float64
	// IgnoreMaxSlowdownAfter is the waiting time from which MaxSlowdown no longer holds a batch task back. Templates that disturb every
	// service would otherwise never run.
	IgnoreMaxSlowdownAfter time.Duration
	// SlowdownSmoothing is the weight of the newest measured slowdown of a task against its earlier ones.
	SlowdownSmoothing float64
	// MaxTemplatesScored bounds the templates on one worker that are considered for interference.
	MaxTemplatesScored int
	Weights            Weights
	Preemption         PreemptionConfig
}

// Weights make the parts of a worker's score comparable. The unit is the logarithm of a slowdown.
type Weights struct {
	// Imbalance weighs how unevenly processors and memory would be left over.
	Imbalance float64
	// Load weighs the measured load after the start.
	Load float64
	// RackSpread weighs each task of the group on the same rack.
	RackSpread float64
	// DataCentreSpread weighs the share of the group's tasks in the same data centre.
	DataCentreSpread float64
	// CausedInterference weighs the predicted slowdown of services on the worker.
	CausedInterference float64
	// ReceivedInterference weighs the predicted slowdown of the placed task itself.
	ReceivedInterference float64
	// UnusedAccelerator weighs each free accelerator of a worker chosen for a task that needs none.
	UnusedAccelerator float64
	// OtherDataCentre weighs a data centre other than the preferred one.
	OtherDataCentre float64
}

// PreemptionConfig bounds the search of Preempt.
type PreemptionConfig struct {
	// MaxWorkers is the number of workers on which victims are searched.
	MaxWorkers int
	// MaxNodes bounds the steps of the search over all workers together.
	MaxNodes int
	// EvictionCost is the run time that every eviction costs in addition to the progress lost, for stopping, queueing and
	// starting again.
	EvictionCost time.Duration
}

// DefaultConfig returns the settings for up to 2,800 workers. With a scan of 1,024 of 2,800 workers, a place is missed
// with a probability below 1 in 10 million when at least 36 workers fit, and never when more than 1,776 fit.
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
			Imbalance: 0.1, Load: 0.1, RackSpread: 0.2, DataCentreSpread: 0.3, CausedInterference: 1, ReceivedInterference: 1, UnusedAccelerator: 0.2, OtherDataCentre: 0.5,
		},
		Preemption: PreemptionConfig{MaxWorkers: 32, MaxNodes: 4096, EvictionCost: 30 * time.Second},
	}
}
