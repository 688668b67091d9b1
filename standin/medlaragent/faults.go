package medlaragent

import (
	"fmt"

	"medlarwheel"
)

// UsageFault selects how usage reports are falsified.
type UsageFault string

// The usage faults.
const (
	UsageAccurate UsageFault = ""
	// UsageRepeat reports the oldest measurement in every report.
	UsageRepeat UsageFault = "repeat"
	// UsageShuffle reports measurements in random order.
	UsageShuffle UsageFault = "shuffle"
	// UsageImplausible reports impossible values.
	UsageImplausible UsageFault = "absurd"
)

// Faults is the body of POST /v1/faults. Each request replaces the faults that were set before.
type Faults struct {
	// FailStarts makes tasks that are started from now on fail soon after their start.
	FailStarts bool `json:"fail-starts,omitempty"`
	// Freeze blocks all calls until the faults change. Tasks continue to run until their leases expire.
	Freeze bool `json:"freeze,omitempty"`
	// NoisyTask is the id of a task that demands NoisyFactor times its actual need of processor time.
	NoisyTask   medlarwheel.TaskID `json:"noisy-task,omitempty"`
	NoisyFactor float64            `json:"noisy-factor,omitempty"`
	// Usage falsifies the usage reports.
	Usage UsageFault `json:"usage,omitempty"`
}

// Check reports all invalid fields of f.
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
