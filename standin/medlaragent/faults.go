package medlaragent

import (
	"fmt"

	"medlarwheel"
)

// UsageFault is a way in which usage reports are false.
type UsageFault string

// The ways.
const (
	UsageAccurate UsageFault = ""
	// UsageRepeat reports the oldest measurement over and over.
	UsageRepeat UsageFault = "repeat"
	// UsageShuffle reports measurements in random order.
	UsageShuffle UsageFault = "shuffle"
	// UsageImplausible reports impossible values.
	UsageImplausible UsageFault = "absurd"
)

// Faults are the switches of POST /v1/faults. They replace the earlier ones.
type Faults struct {
	// FailStarts makes every task fail soon after its start.
	FailStarts bool `json:"fail-starts,omitempty"`
	// Freeze holds all calls until the faults change. Tasks run on until their leases end.
	Freeze bool `json:"freeze,omitempty"`
	// NoisyTask names a task that needs NoisyFactor times its true need of processor.
	NoisyTask   medlarwheel.TaskID `json:"noisy-task,omitempty"`
	NoisyFactor float64            `json:"noisy-factor,omitempty"`
	// Usage makes usage reports false.
	Usage UsageFault `json:"usage,omitempty"`
}

// Check reports every fault of f.
func (f *Faults) Check() medlarwheel.Faults {
	var faults medlarwheel.Faults
	switch f.Usage {
	case UsageAccurate, UsageRepeat, UsageShuffle, UsageImplausible:
	default:
		faults = faults.Add("usage", fmt.Sprintf("%q", string(f.Usage)), "repeat, shuffle, absurd or nothing")
	}
	if f.NoisyFactor < 0 {
		faults = faults.Add("noisy-factor", f.NoisyFactor, "0 or more")
	}
	return faults
}
