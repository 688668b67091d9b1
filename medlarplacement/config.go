package medlarplacement

import "time"

// Config holds the settings of an Index.
type Config struct {
	// Samples is the number of fitting workers that are scored for one task.
	Samples int
	// SampleVisits bounds the workers looked at for one task while at least one of them fits.
	SampleVisits int
	// ScanLimit bounds the workers looked at for one task before giving up.
	ScanLimit int
	// HarmLimit bounds the workers with room that are rejected for their predicted interference before a batch task has to
	// wait. A rejection takes several predictions, so it is bounded more tightly than checks of capacity.
	HarmLimit int
	// MaxUsageAge is the age from which a usage report no longer shows idle capacity.
	MaxUsageAge time.Duration
	// LendReserve is the share of a worker that must stay idle by measurement when capacity is lent.
	LendReserve float64
	// MaxSlowdown bounds the predicted slowdown of a service task at which batch work may still be added. Zero sets no
	// bound.
	MaxSlowdown float64
	// MaxWait is the waiting time from which MaxSlowdown no longer holds a batch task back. Templates that disturb every
	// service would otherwise never run.
	MaxWait time.Duration
	// SlowdownSmoothing is the weight of the newest measured slowdown of a task against its earlier ones.
	SlowdownSmoothing float64
	// MaxKindsScored bounds the templates on one worker that are considered for interference.
	MaxKindsScored int
	Weights        Weights
	Search         SearchConfig
}

// Weights make the parts of a worker's score comparable. The unit is the logarithm of a slowdown.
type Weights struct {
	// Fit weighs how unevenly processors and memory would be left over.
	Fit float64
	// Load weighs the measured load after the start.
	Load float64
	// Rack weighs each task of the group on the same rack.
	Rack float64
	// DataCentre weighs the share of the group's tasks in the same data centre.
	DataCentre float64
	// Harm weighs the predicted slowdown of services on the worker.
	Harm float64
	// Suffer weighs the predicted slowdown of the placed task itself.
	Suffer float64
	// Accelerator weighs each free accelerator of a worker chosen for a task that needs none.
	Accelerator float64
	// Preference weighs a data centre other than the preferred one.
	Preference float64
}

// SearchConfig bounds the search of Preempt.
type SearchConfig struct {
	// Workers is the number of workers on which victims are searched.
	Workers int
	// Nodes bounds the steps of the search over all workers together.
	Nodes int
	// EvictionCost is the run time that every eviction costs in addition to the progress lost, for stopping, queueing and
	// starting again.
	EvictionCost time.Duration
}

// DefaultConfig returns the settings for up to 2,800 workers. With a scan of 1,024 of 2,800 workers, a place is missed
// with a probability below 1 in 10 million when at least 36 workers fit, and never when more than 1,776 fit.
func DefaultConfig() Config {
	return Config{
		Samples:           8,
		SampleVisits:      32,
		ScanLimit:         1024,
		HarmLimit:         64,
		MaxUsageAge:       2 * time.Minute,
		LendReserve:       0.1,
		MaxSlowdown:       1.4,
		MaxWait:           20 * time.Minute,
		SlowdownSmoothing: 0.5,
		MaxKindsScored:    16,
		Weights: Weights{
			Fit: 0.1, Load: 0.1, Rack: 0.2, DataCentre: 0.3, Harm: 1, Suffer: 1, Accelerator: 0.2, Preference: 0.5,
		},
		Search: SearchConfig{Workers: 32, Nodes: 4096, EvictionCost: 30 * time.Second},
	}
}
