package medlarscheduler

import (
	"time"

	"medlarwheel"
	"medlarwheel/medlarjob"
	"medlarwheel/medlarlease"
	"medlarwheel/medlarplacement"
	"medlarwheel/medlarworker"
)

// Config holds the settings of a Scheduler.
type Config struct {
	// Instance is the entry instance that the scheduler runs in.
	Instance medlarwheel.EntryInstance
	// Lease holds the settings of shard ownership and of task leases.
	Lease medlarlease.Config
	// Job holds the settings of the life cycle of jobs.
	Job medlarjob.Config
	// Worker holds the settings of the life cycle of workers.
	Worker medlarworker.Config
	// Placement holds the settings of the placement index.
	Placement medlarplacement.Config
	// Interference holds the settings of the interference model.
	Interference medlarplacement.InterferenceModelConfig
	// InterferenceController holds the settings of the controller that throttles, evicts or stops batch tasks that slow
	// services down.
	InterferenceController medlarplacement.InterferenceControllerConfig
	// StepInterval is the time between two regular steps of the control loop, and so the least time between two transactions
	// of decisions.
	StepInterval time.Duration
	// PollInterval is the time between two reads of the changed rows of jobs and of workers.
	PollInterval time.Duration
	// AnnouncementInterval is the time between two reads of the announcements of agents.
	AnnouncementInterval time.Duration
	// ResendAfter is the time after which a command that has had no effect is sent again.
	ResendAfter time.Duration
	// MinRetryDelay is the minimum delay after a failed call to the table or the object store.
	MinRetryDelay time.Duration
	// ClockTimeout is the time within which the clock of a chosen worker must be read before another worker is chosen.
	ClockTimeout time.Duration
	// AvoidDuration is the time for which a worker that did not respond to a call gets no new tasks, unless it responds
	// earlier.
	AvoidDuration time.Duration
	// PlaceInterval is the time between two attempts to place the waiting tasks while no row changes.
	PlaceInterval time.Duration
	// MaxPlacements is the maximum number of queue items that one step of the control loop tries to place.
	MaxPlacements int
	// PreemptionTimeout is the time for which a worker is reserved for the task for which others are evicted from it.
	PreemptionTimeout time.Duration
	// UsageInterval is the time between two usage reports read from one worker. Zero reads none.
	UsageInterval time.Duration
	// ThrottleShare is the speed of a throttled task in millionths of full speed.
	ThrottleShare int
	// Seed is the seed of the random choices of the placement index.
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
