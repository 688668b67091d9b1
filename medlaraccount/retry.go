package medlaraccount

import "time"

// RetryBudgetConfig holds the settings of a RetryBudget.
type RetryBudgetConfig struct {
	// RetryRatio is the number of retries that each fresh request pays for.
	RetryRatio float64
	// MinRetriesPerSecond is the number of retries a second that are allowed without fresh requests, so that a quiet service can
	// retry at all.
	MinRetriesPerSecond float64
	// MaxTokens bounds the unused retries that are kept.
	MaxTokens float64
}

// DefaultRetryBudgetConfig returns the default settings: one retry for ten fresh requests, and one a second.
func DefaultRetryBudgetConfig() RetryBudgetConfig {
	return RetryBudgetConfig{RetryRatio: 0.1, MinRetriesPerSecond: 1, MaxTokens: 20}
}

// RetryBudget is a token bucket that bounds retries to a ratio of fresh requests plus a small rate. Without a bound,
// retries multiply the load exactly when upstreams fail. It is not safe for concurrent use.
type RetryBudget struct {
	config     RetryBudgetConfig
	tokens     float64
	lastRefill time.Time
}

// NewRetryBudget returns a budget that holds one second's worth of retries.
func NewRetryBudget(c RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{config: c, tokens: min(c.MinRetriesPerSecond, c.MaxTokens)}
}

// Deposit counts one request that is not a retry.
func (b *RetryBudget) Deposit(now time.Time) {
	b.refill(now)
	b.tokens = min(b.config.MaxTokens, b.tokens+b.config.RetryRatio)
}

// TryWithdraw takes one retry from the budget. It reports false when none is left.
func (b *RetryBudget) TryWithdraw(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *RetryBudget) refill(now time.Time) {
	if elapsed := now.Sub(b.lastRefill); elapsed > 0 {
		if !b.lastRefill.IsZero() {
			b.tokens = min(b.config.MaxTokens, b.tokens+elapsed.Seconds()*b.config.MinRetriesPerSecond)
		}
		b.lastRefill = now
	}
}
