// Package medlartimeout decides how long a call to the platform's table is waited for.
//
// A fixed timeout is either too long, when an answer is lost and the call has to be repeated, or too short, when the table
// answers a hundred times slower than usual. The timeout follows the answers: some times the usual time, longer after each
// call without an answer, and never beyond its bounds.
//
// # Usage
//
//	patience := medlartimeout.New(medlartimeout.DefaultConfig())
//	commit, err := store.TransactWithin(t, patience.Timeout())
//	patience.Observe(took, answered)
package medlartimeout

import (
	"sync"
	"time"
)

// Config configures a patience.
type Config struct {
	// Min and Max bound the timeout.
	Min, Max time.Duration
	// Factor times the usual time of an answer is waited for.
	Factor float64
	// BackoffFactor is the factor by which the timeout grows after a call without an answer. It is small, since most answers that
	// do not come are lost and not late.
	BackoffFactor float64
	// Weight is the weight of one answer in the usual time, and RiseWeight that of an answer that took longer.
	Weight, RiseWeight float64
}

// DefaultConfig returns the configuration for a table that usually answers within some ten milliseconds.
func DefaultConfig() Config {
	return Config{Min: 250 * time.Millisecond, Max: 1500 * time.Millisecond, Factor: 4, BackoffFactor: 1.5, Weight: 0.2, RiseWeight: 0.5}
}

// Estimator is safe for concurrent use.
type Estimator struct {
	config  Config
	mu      sync.Mutex
	average time.Duration
	// backoff is the timeout after calls without an answer. Zero means that the last call was answered.
	backoff time.Duration
}

// New returns a patience that waits for the shortest time first.
func New(c Config) *Estimator { return &Estimator{config: c} }

// Timeout returns how long to wait for the next answer.
func (p *Estimator) Timeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	timeout := max(time.Duration(p.config.Factor*float64(p.average)), p.backoff, p.config.Min)
	return min(timeout, p.config.Max)
}

// Observe takes in a call that took some time and was answered or not. Several calls that fail at the same time raise the
// timeout only once.
func (p *Estimator) Observe(took time.Duration, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !answered {
		p.backoff = min(max(p.backoff, time.Duration(p.config.BackoffFactor*float64(took))), p.config.Max)
		return
	}
	p.backoff = 0
	weight := p.config.Weight
	if took > p.average {
		weight = p.config.RiseWeight
	}
	p.average += time.Duration(weight * float64(took-p.average))
}
