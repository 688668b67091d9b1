package medlarrunner

import (
	"time"

	"medlarwheel"
)

// Config holds the settings of a Runner.
type Config struct {
	// Listen is the IP address and port for requests.
	Listen string
	// Control is a second IP address and port for /ledger, /counters, /faults and /healthz, to which limits and
	// injected faults do not apply. Empty disables it.
	Control string
	// ID identifies the runner in the platform's instance registry.
	ID medlarwheel.UpstreamID
	// Service is the service that the runner belongs to.
	Service medlarwheel.ServiceName
	// DataCentre is the runner's data centre.
	DataCentre medlarwheel.DataCentreID
	// Platform is the platform's IP address and port. Empty disables registration.
	Platform string
	// Slots limits the number of concurrent requests.
	Slots medlarwheel.Slots
	// MaxConnections limits the number of open connections.
	MaxConnections medlarwheel.Connections
	// ServiceTime is the mean service time of a request.
	ServiceTime time.Duration
	// ServiceTimeSpread is the fraction by which the service time varies, uniformly, around its mean.
	ServiceTimeSpread float64
	// Seed seeds the random choices.
	Seed uint64
	// DrainTime is the time between announcing that the runner leaves and closing its listener.
	DrainTime time.Duration
	// MaxLedgerKeys limits the number of keys in the ledger.
	MaxLedgerKeys int
	// Clock is the time source of the runner, for example for the end of faults.
	Clock medlarwheel.Clock
}

// DefaultConfig returns a configuration with 8 slots, 64 connections and a service time of 100 ms.
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
