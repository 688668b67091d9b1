package medlarworker

import (
	"time"

	"medlarwheel"
)

// Config holds the rules of probation, usage reports and correction.
type Config struct {
	// ProbationJobs is the number of different jobs whose tasks must fail in a row before the worker is blamed.
	ProbationJobs int
	// TrialWait is the time before the first trial. Each failed trial doubles it, up to MaxTrialWait.
	TrialWait    time.Duration
	MaxTrialWait time.Duration
	// TrialsToReturn is the number of trials to be passed in a row before the probation ends.
	TrialsToReturn int
	// MaxUsageLag is how much longer than the fastest report a usage report may have been on its way.
	MaxUsageLag time.Duration
	// MinUsageInterval is the shortest time between two usage reports. It bounds how far a sequence may jump, because one
	// absurd sequence would hide all later reports.
	MinUsageInterval time.Duration
	// UsageRestart is the time without an accepted report after which any sane one is accepted as the first. Otherwise one
	// absurd first report would hide all true ones.
	UsageRestart time.Duration
	// UsageTolerance is the factor by which measured usage may exceed the size of the worker.
	UsageTolerance float64
	// CPUQuantile, MemoryQuantile and RunTimeQuantile are the measured quantiles that replace declared values. Memory has
	// the highest, because a task that exceeds it is killed rather than slowed.
	CPUQuantile     float64
	MemoryQuantile  float64
	RunTimeQuantile float64
	// MinFactor and MaxFactor bound a corrected value as a multiple of the declared one.
	MinFactor float64
	MaxFactor float64
	// PriorSamples is the number of samples at which measured and declared values weigh the same.
	PriorSamples float64
}

// Default returns the rules of the design page.
func Default() Config {
	return Config{
		ProbationJobs:    3,
		TrialWait:        time.Minute,
		MaxTrialWait:     time.Hour,
		TrialsToReturn:   2,
		MaxUsageLag:      30 * time.Second,
		MinUsageInterval: 100 * time.Millisecond,
		UsageRestart:     2 * time.Minute,
		UsageTolerance:   1.1,
		CPUQuantile:      0.95,
		MemoryQuantile:   0.99,
		RunTimeQuantile:  0.9,
		MinFactor:        0.25,
		MaxFactor:        4,
		PriorSamples:     20,
	}
}

// Check reports every fault of c.
func (c Config) Check() medlarwheel.Faults {
	var faults medlarwheel.Faults
	const day = medlarwheel.Duration(24 * time.Hour)
	faults = faults.CheckRange("probation-jobs", int64(c.ProbationJobs), 2, 100)
	faults = faults.CheckRange("trials-to-return", int64(c.TrialsToReturn), 1, 100)
	faults = faults.CheckDurationRange("trial-wait", medlarwheel.Duration(c.TrialWait), 1, day)
	faults = faults.CheckDurationRange("max-trial-wait", medlarwheel.Duration(c.MaxTrialWait), medlarwheel.Duration(c.TrialWait), day)
	faults = faults.CheckDurationRange("max-usage-lag", medlarwheel.Duration(c.MaxUsageLag), 1, day)
	faults = faults.CheckDurationRange("min-usage-interval", medlarwheel.Duration(c.MinUsageInterval), 1, day)
	faults = faults.CheckDurationRange("usage-restart", medlarwheel.Duration(c.UsageRestart), medlarwheel.Duration(c.MaxUsageLag), day)
	fraction := func(path string, value, low, high float64, accepted string) {
		if !(value >= low && value <= high) {
			faults = faults.Add(path, value, accepted)
		}
	}
	fraction("usage-tolerance", c.UsageTolerance, 1, 10, "1 to 10")
	fraction("cpu-quantile", c.CPUQuantile, 0, 1, "0 to 1")
	fraction("memory-quantile", c.MemoryQuantile, 0, 1, "0 to 1")
	fraction("run-time-quantile", c.RunTimeQuantile, 0, 1, "0 to 1")
	fraction("min-factor", c.MinFactor, 1.0/maxRatio, 1, "1/16 to 1")
	fraction("max-factor", c.MaxFactor, 1, maxRatio, "1 to 16")
	fraction("prior-samples", c.PriorSamples, 0, 1e6, "0 to 1000000")
	return faults
}
