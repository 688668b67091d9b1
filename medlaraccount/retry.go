package medlaraccount

import "time"

// RetryBudgetConfig holds the settings of a RetryBudget.
type RetryBudgetConfig struct {
	// Ratio is the number of retries that each fresh request pays for.
	Ratio float64
	// PerSecond is the number of retries a second that are allowed without fresh requests, so that a quiet service can
	// retry at all.
	PerSecond float64
	// Burst bounds the unused retries that are kept.
	Burst float64
}

// DefaultRetryBudgetConfig returns the default settings: one retry for ten fresh requests, and one a second.
func DefaultRetryBudgetConfig() RetryBudgetConfig {
	return RetryBudgetConfig{Ratio: 0.1, PerSecond: 1, Burst: 20}
}

// RetryBudget is a token bucket that bounds retries to a ratio of fresh requests plus a small rate. Without a bound,
// retries multiply the load exactly when upstreams fail. It is not safe for concurrent use.
type RetryBudget struct {
	config RetryBudgetConfig
	tokens float64
	last   time.Time
}

// NewRetryBudget returns a budget that holds one second's worth of retries.
func NewRetryBudget(c RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{config: c, tokens: min(c.PerSecond, c.Burst)}
}

// Fresh counts one request that is not a retry.
func (b *RetryBudget) Fresh(now time.Time) {
	b.refill(now)
	b.tokens = min(b.config.Burst, b.tokens+b.config.Ratio)
}

// Spend takes one retry from the budget. It reports false when none is left.
func (b *RetryBudget) Spend(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *RetryBudget) refill(now time.Time) {
	if elapsed := now.Sub(b.last); elapsed > 0 {
		if !b.last.IsZero() {
			b.tokens = min(b.config.Burst, b.tokens+elapsed.Seconds()*b.config.PerSecond)
		}
		b.last = now
	}
}
