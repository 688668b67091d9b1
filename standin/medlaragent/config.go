package medlaragent

import (
	"time"

	"medlarwheel"
)

// Config holds the settings of an Agent.
type Config struct {
	// Listen is the IP number and port to serve at.
	Listen string
	// ID names the worker.
	ID medlarwheel.WorkerID
	// Rack is the worker's rack.
	Rack medlarwheel.RackID
	// DataCentre is the worker's data centre.
	DataCentre medlarwheel.DataCentreID
	// Platform is the platform's IP number and port. Empty announces nothing and refuses checkpoints.
	Platform string
	// Size is what the worker has.
	Size medlarwheel.Resources
	// EstimateError bounds the share by which true needs and run times differ from the declared ones.
	EstimateError float64
	// Interference bounds the share of speed that a task loses to another one of a bad pair of templates.
	Interference float64
	// Seed starts the random choices. Agents with the same seed agree on the true run time of a task.
	Seed uint64
	// UsageInterval is the time between two measurements.
	UsageInterval time.Duration
	// UsageLag is the age that a measurement must have to be reported.
	UsageLag time.Duration
	// TickInterval is the time between two looks at the leases.
	TickInterval time.Duration
	// DrainTime is the time between announcing that the worker leaves and the end of its tasks.
	DrainTime time.Duration
	// Clock tells the time. Its readings must be monotonic.
	Clock medlarwheel.Clock
}

// DefaultConfig has 32 cores, 125 GB and usage reports that lag by 5 s.
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
