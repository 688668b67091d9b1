package medlarload

import (
	"fmt"
	"time"

	"medlarwheel"
)

// Config holds the settings of a load run.
type Config struct {
	// Targets are the IP addresses and ports of the entry instances, or of the runners in a direct run.
	Targets []string
	// Direct sends requests to runners directly, without entry instances.
	Direct bool
	// Rate is the mean number of requests per second.
	Rate float64
	// Duration is the time during which requests are scheduled.
	Duration time.Duration
	// MaxRequests limits the number of requests.
	MaxRequests int
	// MaxInFlight limits the requests in flight. A request above the limit is counted as skipped and not sent.
	MaxInFlight int
	// Mix lists the kinds of requests with their weights.
	Mix []RequestKind
	// Deadline is the deadline of each call, counted from its start.
	Deadline time.Duration
	// Grace is the time that the client waits for the response after the deadline.
	Grace time.Duration
	// Retries limits the number of calls after the first one of a request.
	Retries int
	// RetryWindow limits the time from the first call of a request to the last. The design does not allow a key to be
	// retried after 5 minutes.
	RetryWindow time.Duration
	// MinRetryDelay is the shortest delay before a retry. A longer delay in the response takes precedence.
	MinRetryDelay time.Duration
	// BodyBytes is the size of request bodies.
	BodyBytes int
	// Seed seeds the random choices.
	Seed uint64
	// Runners are the control addresses of all runners, whose ledgers are audited at the end. Empty disables the audit.
	Runners []string
}

// DefaultConfig returns a configuration with 100 requests per second for 10 s.
func DefaultConfig() Config {
	return Config{
		Rate: 100, Duration: 10 * time.Second, MaxRequests: 1_000_000, MaxInFlight: 4000, Deadline: 2 * time.Second,
		Grace: 500 * time.Millisecond, Retries: 2, RetryWindow: time.Minute, MinRetryDelay: 50 * time.Millisecond, Seed: 1,
	}
}

// Check reports all invalid fields of c.
func (c *Config) Check() medlarwheel.Faults {
	var faults medlarwheel.Faults
	faults = faults.CheckRange("targets", int64(len(c.Targets)), 1, 1000)
	for i, target := range c.Targets {
		faults = append(faults, medlarwheel.CheckAddress(fmt.Sprintf("targets[%d]", i), target)...)
	}
	for i, runner := range c.Runners {
		faults = append(faults, medlarwheel.CheckAddress(fmt.Sprintf("runners[%d]", i), runner)...)
	}
	if c.Rate <= 0 || c.Rate > 1e6 {
		faults = faults.Add("rate", c.Rate, "more than 0, up to 1000000")
	}
	faults = faults.CheckRange("mix", int64(len(c.Mix)), 1, 1000)
	faults = faults.CheckRange("max-in-flight", int64(c.MaxInFlight), 1, 100_000)
	faults = faults.CheckRange("max-requests", int64(c.MaxRequests), 1, 10_000_000)
	faults = faults.CheckDurationRange("duration", medlarwheel.Duration(c.Duration), medlarwheel.Duration(time.Millisecond),
		medlarwheel.Duration(24*time.Hour))
	faults = faults.CheckDurationRange("deadline", medlarwheel.Duration(c.Deadline), medlarwheel.Duration(time.Millisecond),
		medlarwheel.Duration(time.Hour))
	return faults.CheckDurationRange("retry-window", medlarwheel.Duration(c.RetryWindow), 0, medlarwheel.Duration(4*time.Minute))
}
