package medlarfleet

import (
	"time"

	"medlarwheel"
	"medlarwheel/medlarjob"
	"medlarwheel/medlarlease"
	"medlarwheel/medlarplacement"
	"medlarwheel/medlarworker"
)

// Config holds the settings of a Fleet.
type Config struct {
	// Instance is the entry instance that the fleet runs in.
	Instance medlarwheel.EntryInstance
	// Lease holds the terms of ownership and of task leases.
	Lease medlarlease.Config
	// Job holds the rules of the life cycle of jobs.
	Job medlarjob.Config
	// Worker holds the rules of workers.
	Worker medlarworker.Config
	// Placement holds the settings of the placement index.
	Placement medlarplacement.Config
	// Interference holds the settings of the interference estimates.
	Interference medlarplacement.InterferenceModelConfig
	// Governor holds the settings of the steps against batch tasks that slow services down.
	Governor medlarplacement.InterferenceControllerConfig
	// Tick is the time between two regular steps of the control loop, and so between two transactions.
	Tick time.Duration
	// PollEvery is the time between two reads of the changed rows of jobs and of workers.
	PollEvery time.Duration
	// AnnouncementsEvery is the time between two reads of the announcements of agents.
	AnnouncementsEvery time.Duration
	// ResendAfter is the time after which a command without a result is sent again.
	ResendAfter time.Duration
	// RetryTable is the least pause after a transaction that the table did not take.
	RetryTable time.Duration
	// AskTimeout is the time that a chosen worker has to tell its clock before another worker is chosen.
	AskTimeout time.Duration
	// AvoidFor is the time for which a worker that did not answer a call gets no new tasks, unless it answers earlier.
	AvoidFor time.Duration
	// PlaceEvery is the time between two tries to place tasks when no row has changed.
	PlaceEvery time.Duration
	// MaxPlacements bounds the items that one step of the control loop tries to place.
	MaxPlacements int
	// PreemptFor is the time for which a worker is kept for the task that evictions make room for.
	PreemptFor time.Duration
	// UsageEvery is the time between two usage reports read from one worker. Zero reads none.
	UsageEvery time.Duration
	// ThrottleShare is the speed of a throttled task in millionths of full speed.
	ThrottleShare int
	// Seed starts the random choices of the placement index.
	Seed uint64
}

// DefaultConfig returns the settings for an entry instance. An idle instance makes one write every 2 s, and 3.5 reads a
// second: two every 2 s for the ownership, one every 2 s for announcements, and two a second for jobs and workers.
func DefaultConfig(instance medlarwheel.EntryInstance) Config {
	return Config{
		Instance: instance, Lease: medlarlease.DefaultConfig(), Job: medlarjob.Default(), Worker: medlarworker.Default(),
		Placement: medlarplacement.DefaultConfig(), Interference: medlarplacement.DefaultInterferenceModelConfig(),
		Governor: medlarplacement.DefaultInterferenceControllerConfig(),
		Tick:     50 * time.Millisecond, PollEvery: time.Second, AnnouncementsEvery: 2 * time.Second,
		ResendAfter: time.Second, RetryTable: 500 * time.Millisecond, AskTimeout: 2 * time.Second,
		AvoidFor: 10 * time.Second, PlaceEvery: time.Second, MaxPlacements: 256, PreemptFor: 10 * time.Second,
		UsageEvery: 10 * time.Second, ThrottleShare: 500_000, Seed: uint64(instance.Incarnation),
	}
}
