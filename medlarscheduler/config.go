package medlarscheduler

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
	// InterferenceController holds the settings of the steps against batch tasks that slow services down.
	InterferenceController medlarplacement.InterferenceControllerConfig
	// StepInterval is the time between two regular steps of the control loop, and so between two transactions.
	StepInterval time.Duration
	// PollInterval is the time between two reads of the changed rows of jobs and of workers.
	PollInterval time.Duration
	// AnnouncementInterval is the time between two reads of the announcements of agents.
	AnnouncementInterval time.Duration
	// ResendAfter is the time after which a command without a result is sent again.
	ResendAfter time.Duration
	// MinRetryDelay is the least pause after a transaction that the table did not take.
	MinRetryDelay time.Duration
	// ClockTimeout is the time that a chosen worker has to tell its clock before another worker is chosen.
	ClockTimeout time.Duration
	// AvoidDuration is the time for which a worker that did not answer a call gets no new tasks, unless it answers earlier.
	AvoidDuration time.Duration
	// PlaceInterval is the time between two tries to place tasks when no row has changed.
	PlaceInterval time.Duration
	// MaxPlacements bounds the items that one step of the control loop tries to place.
	MaxPlacements int
	// PreemptionTimeout is the time for which a worker is kept for the task that evictions make room for.
	PreemptionTimeout time.Duration
	// UsageInterval is the time between two usage reports read from one worker. Zero reads none.
	UsageInterval time.Duration
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
		InterferenceController: medlarplacement.DefaultInterferenceControllerConfig(),
		StepInterval:           50 * time.Millisecond, PollInterval: time.Second, AnnouncementInterval: 2 * time.Second,
		ResendAfter: time.Second, MinRetryDelay: 500 * time.Millisecond, ClockTimeout: 2 * time.Second,
		AvoidDuration: 10 * time.Second, PlaceInterval: time.Second, MaxPlacements: 256, PreemptionTimeout: 10 * time.Second,
		UsageInterval: 10 * time.Second, ThrottleShare: 500_000, Seed: uint64(instance.Incarnation),
	}
}
