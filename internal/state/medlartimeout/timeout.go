// Package medlartimeout estimates an adaptive timeout for calls to the platform's table.
//
// A fixed timeout is either too long when a response is lost and the call has to be repeated, or too short when the table is
// a hundred times slower than usual. The adaptive timeout is a multiple of the average response time. It grows after each
// call without a response, and stays within its bounds.
//
// # Usage
//
//	estimator := medlartimeout.New(medlartimeout.DefaultConfig())
//	commit, err := store.TransactWithin(t, estimator.Timeout())
//	estimator.Observe(took, responded)
package medlartimeout

import (
	"sync"
	"time"
)

// Config configures an estimator.
type Config struct {
	// Min and Max are the bounds of the timeout.
	Min, Max time.Duration
	// Factor times the average response time is the timeout, unless a call has just had no response.
	Factor float64
	// BackoffFactor times the duration of a call without a response is the least timeout of the next call. It is small, since
	// most missing responses are lost rather than late.
	BackoffFactor float64
	// Weight is the weight of one response in the moving average, and RiseWeight that of a response slower than the average.
	Weight, RiseWeight float64
}

// DefaultConfig returns the configuration for a table that usually responds within about ten milliseconds.
func DefaultConfig() Config {
	return Config{Min: 250 * time.Millisecond, Max: 1500 * time.Millisecond, Factor: 4, BackoffFactor: 1.5, Weight: 0.2, RiseWeight: 0.5}
}

// Estimator estimates the timeout of the next call. It is safe for concurrent use.
type Estimator struct {
	config Config
	mu     sync.Mutex
	// average is the exponentially weighted moving average of response times.
	average time.Duration
	// backoff is the least timeout after calls without a response. It is zero if the last call had a response.
	backoff time.Duration
}

// New returns an estimator whose first timeout is Config.Min.
func New(c Config) *Estimator { return &Estimator{config: c} }

// Timeout returns how long to wait for the next response.
func (e *Estimator) Timeout() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	timeout := max(time.Duration(e.config.Factor*float64(e.average)), e.backoff, e.config.Min)
	return min(timeout, e.config.Max)
}

// Observe records the duration of a call and whether it had a response. Concurrent calls that fail with the same
// timeout raise it only once.
func (e *Estimator) Observe(took time.Duration, responded bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !responded {
		e.backoff = min(max(e.backoff, time.Duration(e.config.BackoffFactor*float64(took))), e.config.Max)
		return
	}
	e.backoff = 0
	weight := e.config.Weight
	if took > e.average {
		weight = e.config.RiseWeight
	}
	e.average += time.Duration(weight * float64(took-e.average))
}
