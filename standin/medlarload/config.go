package medlarload

import (
	"fmt"
	"time"

	"medlarwheel"
)

// Config holds the settings of a run.
type Config struct {
	// Targets are the IP numbers and ports of the entry instances, or of the runners of a direct run.
	Targets []string
	// Direct sends to runners without an entry instance between.
	Direct bool
	// Rate is the number of requests due a second.
	Rate float64
	// Duration is the time during which requests become due.
	Duration time.Duration
	// MaxRequests bounds the number of requests.
	MaxRequests int
	// MaxInFlight bounds the requests under way. A request that is due beyond it is counted and not sent.
	MaxInFlight int
	// Mix lists the kinds of request.
	Mix []RequestKind
	// Deadline is the time that a caller gives to each call.
	Deadline time.Duration
	// Grace is the time that a caller waits beyond the deadline for the answer.
	Grace time.Duration
	// Retries bounds the calls after the first one of a request.
	Retries int
	// RetryWindow bounds the time from the first call of a request to the last. The design allows no retry of a key after
	// 5 minutes.
	RetryWindow time.Duration
	// MinRetryDelay is the pause before a retry when the answer names none.
	MinRetryDelay time.Duration
	// BodyBytes is the length of the body of requests in bytes.
	BodyBytes int
	// Seed starts the random choices.
	Seed uint64
	// Runners are the control addresses of all runners, whose ledgers are checked at the end. Empty checks nothing.
	Runners []string
}

// DefaultConfig returns 100 requests a second for 10 s.
func DefaultConfig() Config {
	return Config{
		Rate: 100, Duration: 10 * time.Second, MaxRequests: 1_000_000, MaxInFlight: 4000, Deadline: 2 * time.Second,
		Grace: 500 * time.Millisecond, Retries: 2, RetryWindow: time.Minute, MinRetryDelay: 50 * time.Millisecond, Seed: 1,
	}
}

// Check reports every fault of c.
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
