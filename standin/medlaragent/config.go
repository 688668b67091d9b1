package medlaragent

import (
	"time"

	"medlarwheel"
)

// Config holds the settings of an Agent.
type Config struct {
	// Listen is the IP address and port to listen on.
	Listen string
	// ID identifies the worker.
	ID medlarwheel.WorkerID
	// Rack is the worker's rack.
	Rack medlarwheel.RackID
	// DataCentre is the worker's data centre.
	DataCentre medlarwheel.DataCentreID
	// Platform is the platform's IP address and port. If it is empty, the worker does not announce itself and refuses
	// checkpoints.
	Platform string
	// Size holds the resources of the worker.
	Size medlarwheel.Resources
	// EstimateError is the largest fraction by which the actual needs and run times of tasks differ from the declared
	// ones.
	EstimateError float64
	// Interference is the largest fraction of its speed that a task loses to another task on the worker. The fraction
	// depends on the pair of templates.
	Interference float64
	// Seed seeds the random choices. Agents with the same seed agree on the actual run time of a task.
	Seed uint64
	// UsageInterval is the time between two usage measurements.
	UsageInterval time.Duration
	// UsageLag is the age at which a measurement becomes visible in usage reports.
	UsageLag time.Duration
	// TickInterval is the interval at which leases and measurements are checked between calls.
	TickInterval time.Duration
	// DrainTime is the time between announcing that the worker leaves and stopping its tasks.
	DrainTime time.Duration
	// Clock is the time source. Its readings must be monotonic.
	Clock medlarwheel.Clock
}

// DefaultConfig returns a configuration with 32 cores, 125 GB of memory and a usage lag of 5 s.
func DefaultConfig() Config {
	return Config{
		Listen: "127.0.0.1:7900", Rack: "rack-1", DataCentre: "local",
		Size: medlarwheel.Resources{CPU: 32_000, Memory: 125_000}, Seed: 1,
		UsageInterval: time.Second, UsageLag: 5 * time.Second, TickInterval: 50 * time.Millisecond, DrainTime: 5 * time.Second,
		Clock: medlarwheel.SystemClock{},
	}
}

func (c *Config) check() medlarwheel.Faults {
	faults := medlarwheel.CheckName("id", string(c.ID))
	faults = append(faults, medlarwheel.CheckName("rack", string(c.Rack))...)
	faults = append(faults, medlarwheel.CheckName("data-centre", string(c.DataCentre))...)
	faults = append(faults, medlarwheel.CheckAddress("listen", c.Listen)...)
	faults = append(faults, c.Size.Check("size")...)
	if c.EstimateError < 0 || c.EstimateError >= 1 {
		faults = faults.Add("size-error", c.EstimateError, "0 to less than 1")
	}
	if c.Interference < 0 || c.Interference >= 1 {
		faults = faults.Add("interference", c.Interference, "0 to less than 1")
	}
	return faults
}
