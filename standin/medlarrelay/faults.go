package medlarrelay

import (
	"time"

	"medlarwheel"
)

// Stall selects the connections that stop forwarding.
type Stall string

// The values of Stall.
const (
	StallNone Stall = ""
	// StallExisting stalls the connections that are open now. New ones are forwarded.
	StallExisting Stall = "existing"
	// StallAll stalls the connections that are open now and those opened later.
	StallAll Stall = "all"
)

// Faults is the body of POST /faults. Each request replaces the faults that were set before.
type Faults struct {
	// Route is the listen address of the route to change. Empty changes all routes.
	Route string `json:"route,omitempty"`
	// Stall keeps connections open without forwarding anything.
	Stall Stall `json:"silence,omitempty"`
	// Cut closes all connections and refuses new ones.
	Cut bool `json:"cut,omitempty"`
	// DelayToTarget delays the bytes sent to the target.
	DelayToTarget medlarwheel.Duration `json:"delay-to,omitempty"`
	// DelayFromTarget delays the bytes received from the target.
	DelayFromTarget medlarwheel.Duration `json:"delay-from,omitempty"`
}

// Check reports all invalid fields of f.
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

// Status is the state of one route in the response of GET /faults.
type Status struct {
	Listen string `json:"listen"`
	Target string `json:"to"`
	Faults Faults `json:"faults"`
	// Open counts the open connections, Stalled those among them that are stalled.
	Open    int `json:"open"`
	Stalled int `json:"silenced"`
	// Accepted counts all connections that were accepted and connected to the target.
	Accepted int `json:"accepted"`
}
