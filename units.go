package medlarwheel

import (
	"encoding/json"
	"fmt"
	"time"
)

// MilliCPU is an amount of CPU in thousandths of a core.
type MilliCPU int64

// MegaBytes is an amount of memory in units of 10^6 bytes.
type MegaBytes int64

// Accelerators is a number of accelerator devices.
type Accelerators int64

// Slots is a number of requests that an upstream serves at the same time.
type Slots int

// Connections is a number of open connections.
type Connections int

// Weight is a relative share. A client account of weight 2 gets twice the share of one of weight 1.
type Weight int

// Resources is an amount of each kind of resource of a worker.
type Resources struct {
	CPU          MilliCPU     `json:"milli-cpu"`
	Memory       MegaBytes    `json:"memory-mb"`
	Accelerators Accelerators `json:"accelerators,omitempty"`
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, Accelerators: r.Accelerators + o.Accelerators}
}

// Minus returns r minus o. Components may become negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, Accelerators: r.Accelerators - o.Accelerators}
}

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	f := int64(n)
	return Resources{CPU: r.CPU * MilliCPU(f), Memory: r.Memory * MegaBytes(f), Accelerators: r.Accelerators * Accelerators(f)}
}

// Fits reports whether no component of r is larger than that of o.
func (r Resources) Fits(o Resources) bool {
	return r.CPU <= o.CPU && r.Memory <= o.Memory && r.Accelerators <= o.Accelerators
}

// IsZero reports whether every component is zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// Check reports a fault for each component outside the accepted range of one task or worker.
func (r Resources) Check(path string) Faults {
	return r.checkWithin(path, Resources{CPU: MaxMilliCPU, Memory: MaxMegaBytes, Accelerators: MaxAccelerators})
}

// CheckQuota reports a fault for each component outside the accepted range of a quota.
func (r Resources) CheckQuota(path string) Faults {
	limit := Resources{CPU: MaxMilliCPU, Memory: MaxMegaBytes, Accelerators: MaxAccelerators}
	return r.checkWithin(path, limit.Times(maxQuotaWorkers))
}

func (r Resources) checkWithin(path string, limit Resources) Faults {
	var faults Faults
	faults = faults.CheckRange(path+".milli-cpu", int64(r.CPU), 0, int64(limit.CPU))
	faults = faults.CheckRange(path+".memory-mb", int64(r.Memory), 0, int64(limit.Memory))
	return faults.CheckRange(path+".accelerators", int64(r.Accelerators), 0, int64(limit.Accelerators))
}

// Upper limits of the resources of one worker or task in external input.
const (
	MaxMilliCPU     = 1_024_000
	MaxMegaBytes    = 64_000_000
	MaxAccelerators = 64
	// maxQuotaWorkers is the number of workers of the maximum size that a quota may cover.
	maxQuotaWorkers = 100_000
)

// Duration is a time.Duration that is encoded in JSON as a string such as "1.5s".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats d like time.Duration.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON encodes d as a string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON decodes d from a string.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("decode duration %s: want a string such as \"1.5s\": %w", data, err)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("decode duration %q: %w", text, err)
	}
	*d = Duration(parsed)
	return nil
}
