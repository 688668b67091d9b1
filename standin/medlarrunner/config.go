package medlarrunner

import (
	"time"

	"medlarwheel"
)

// Config holds the settings of a Runner.
type Config struct {
	// Listen is the IP number and port for requests.
	Listen string
	// Control is a second IP number and port for /ledger, /faults and /healthz, free of limits and faults. Empty for none.
	Control string
	// ID names the runner in the platform's list.
	ID medlarwheel.UpstreamID
	// Service is the service that the runner belongs to.
	Service medlarwheel.ServiceName
	// DataCentre is the runner's data centre.
	DataCentre medlarwheel.DataCentreID
	// Platform is the platform's IP number and port. Empty registers nowhere.
	Platform string
	// Slots bounds the requests served at a time.
	Slots medlarwheel.Slots
	// MaxConnections bounds the open connections.
	MaxConnections medlarwheel.Connections
	// ServiceTime is the mean time to serve a request.
	ServiceTime time.Duration
	// ServiceTimeSpread varies the service time evenly by up to this share of it, up and down.
	ServiceTimeSpread float64
	// Seed starts the random choices.
	Seed uint64
	// DrainTime is the time between announcing that the runner leaves and the end of its listener.
	DrainTime time.Duration
	// MaxLedgerKeys bounds the keys of the ledger.
	MaxLedgerKeys int
	// Clock tells the time of arrivals and of the end of faults.
	Clock medlarwheel.Clock
}

// DefaultConfig has 8 slots, 64 connections and a service time of 100 ms.
func DefaultConfig() Config {
	return Config{
		Listen: "127.0.0.1:7800", Service: "runner", DataCentre: "local", Slots: 8, MaxConnections: 64,
		ServiceTime: 100 * time.Millisecond, Seed: 1, DrainTime: 5 * time.Second, MaxLedgerKeys: 2_000_000,
		Clock: medlarwheel.SystemClock{},
	}
}

// Headers between an entry instance and a runner.
const (
	HeaderRequestKey = "Medlar-Request-Key"
	HeaderAttempt    = "Medlar-Attempt"
	HeaderLeaving    = "Medlar-Leaving"
	HeaderNotRun     = "Medlar-Not-Run"
)
