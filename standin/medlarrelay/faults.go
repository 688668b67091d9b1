package medlarrelay

import (
	"time"

	"medlarwheel"
)

// Stall tells which connections pass nothing.
type Stall string

// The silences.
const (
	StallNone Stall = ""
	// StallExisting silences the connections that are open now. New ones work.
	StallExisting Stall = "existing"
	// StallAll silences the connections that are open now and those opened later.
	StallAll Stall = "all"
)

// Faults are the switches of POST /faults. They replace the earlier ones.
type Faults struct {
	// Route is the listen address of the route to change. Empty changes all routes.
	Route string `json:"route,omitempty"`
	// Stall stops connections from passing anything.
	Stall Stall `json:"silence,omitempty"`
	// Cut closes all connections and refuses new ones.
	Cut bool `json:"cut,omitempty"`
	// DelayToTarget postpones the bytes towards the target.
	DelayToTarget medlarwheel.Duration `json:"delay-to,omitempty"`
	// DelayFromTarget postpones the bytes from the target.
	DelayFromTarget medlarwheel.Duration `json:"delay-from,omitempty"`
}

// Check reports every fault of f.
func (f *Faults) Check() medlarwheel.Faults {
	var faults medlarwheel.Faults
	switch f.Stall {
	case StallNone, StallExisting, StallAll:
	default:
		faults = faults.Add("silence", string(f.Stall), "existing, all or nothing")
	}
	faults = faults.CheckDurationRange("delay-to", f.DelayToTarget, 0, medlarwheel.Duration(time.Hour))
	return faults.CheckDurationRange("delay-from", f.DelayFromTarget, 0, medlarwheel.Duration(time.Hour))
}

// Status is the state of one route in the answer of GET /faults.
type Status struct {
	Listen string `json:"listen"`
	Target string `json:"to"`
	Faults Faults `json:"faults"`
	// Open counts the open connections, Silenced those of them that pass nothing.
	Open    int `json:"open"`
	Stalled int `json:"silenced"`
	// Accepted counts all connections so far.
	Accepted int `json:"accepted"`
}
