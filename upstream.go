package medlarwheel

import (
	"fmt"
	"net/netip"
)

// InstanceState is the state of an instance in the instance list.
type InstanceState string

// The states of an instance. An incarnation that is leaving does not become live again.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// Upstream is one instance of a service that serves requests.
type Upstream struct {
	ID          UpstreamID    `json:"id"`
	Service     ServiceName   `json:"service"`
	DataCentre  DataCentreID  `json:"data-centre"`
	Address     string        `json:"address"`
	Incarnation Incarnation   `json:"incarnation"`
	State       InstanceState `json:"state"`
}

// Check reports every fault of u.
func (u *Upstream) Check() Faults {
	faults := CheckName("id", string(u.ID))
	faults = append(faults, CheckName("service", string(u.Service))...)
	faults = append(faults, CheckName("data-centre", string(u.DataCentre))...)
	faults = append(faults, CheckAddress("address", u.Address)...)
	if u.State != StateLive && u.State != StateLeaving {
		faults = faults.Add("state", fmt.Sprintf("%q", string(u.State)), "live or leaving")
	}
	return faults
}

// EntryInstance is one entry instance of medlarwheel.
type EntryInstance struct {
	ID         InstanceID   `json:"id"`
	DataCentre DataCentreID `json:"data-centre"`
	// PeerAddress is the address for other entry instances.
	PeerAddress string        `json:"peer-address"`
	Incarnation Incarnation   `json:"incarnation"`
	State       InstanceState `json:"state"`
}

// Check reports every fault of e.
func (e *EntryInstance) Check() Faults {
	faults := CheckName("id", string(e.ID))
	faults = append(faults, CheckName("data-centre", string(e.DataCentre))...)
	faults = append(faults, CheckAddress("peer-address", e.PeerAddress)...)
	if e.State != StateLive && e.State != StateLeaving {
		faults = faults.Add("state", fmt.Sprintf("%q", string(e.State)), "live or leaving")
	}
	return faults
}

// InstanceList is the platform's list of instances. It lags behind the actual state.
type InstanceList struct {
	// Version increases with every change of the list.
	Version   uint64          `json:"version"`
	Upstreams []Upstream      `json:"upstreams,omitempty"`
	Entries   []EntryInstance `json:"entries,omitempty"`
}

// Check reports every fault of l.
func (l *InstanceList) Check() Faults {
	var faults Faults
	for i := range l.Upstreams {
		faults = append(faults, l.Upstreams[i].Check()...)
	}
	for i := range l.Entries {
		faults = append(faults, l.Entries[i].Check()...)
	}
	return faults
}

// CheckAddress reports a fault at path unless address is an IP address and a port.
func CheckAddress(path, address string) Faults {
	if _, err := netip.ParseAddrPort(address); err == nil {
		return nil
	}
	return Faults{{Path: path, Value: fmt.Sprintf("%q", address), Accepted: "an IP number and a port, such as 127.0.0.1:7000"}}
}
