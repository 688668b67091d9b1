package medlarrelay

import (
	"time"

	"medlarwheel"
)

// Silence tells which connections pass nothing.
type Silence string

// The silences.
const (
	SilenceNone Silence = ""
	// SilenceExisting silences the connections that are open now. New ones work.
	SilenceExisting Silence = "existing"
	// SilenceAll silences the connections that are open now and those opened later.
	SilenceAll Silence = "all"
)

// Faults are the switches of POST /faults. They replace the earlier ones.
type Faults struct {
	// Route is the listen address of the route to change. Empty changes all routes.
	Route string `json:"route,omitempty"`
	// Silence stops connections from passing anything.
	Silence Silence `json:"silence,omitempty"`
	// Cut closes all connections and refuses new ones.
	Cut bool `json:"cut,omitempty"`
	// DelayTo postpones the bytes towards the target.
	DelayTo medlarwheel.Duration `json:"delay-to,omitempty"`
	// DelayFrom postpones the bytes from the target.
	DelayFrom medlarwheel.Duration `json:"delay-from,omitempty"`
}

// Check reports every fault of f.
func (f *Faults) Check() medlarwheel.Faults {
	var faults medlarwheel.Faults
	switch f.Silence {
	case SilenceNone, SilenceExisting, SilenceAll:
	default:
		faults = faults.Add("silence", string(f.Silence), "existing, all or nothing")
	}
	faults = faults.CheckDurationRange("delay-to", f.DelayTo, 0, medlarwheel.Duration(time.Hour))
	return faults.CheckDurationRange("delay-from", f.DelayFrom, 0, medlarwheel.Duration(time.Hour))
}

// Status is the state of one route in the answer of GET /faults.
type Status struct {
	Listen string `json:"listen"`
	To     string `json:"to"`
	Faults Faults `json:"faults"`
	// Open counts the open connections, Silenced those of them that pass nothing.
	Open     int `json:"open"`
	Silenced int `json:"silenced"`
	// Accepted counts all connections so far.
	Accepted int `json:"accepted"`
}
