package medlaraccount

import "time"

// RetryBudgetConfig holds the settings of a RetryBudget.
type RetryBudgetConfig struct {
	// RetryRatio is the number of retries that each first attempt allows.
	RetryRatio float64
	// MinRetriesPerSecond is the rate of retries that is allowed without first attempts, so that a service with little
	// traffic can retry at all.
	MinRetriesPerSecond float64
	// MaxTokens bounds the unused retries that accumulate.
	MaxTokens float64
}

// DefaultRetryBudgetConfig returns the default settings: one retry per ten first attempts, plus one per second.
func DefaultRetryBudgetConfig() RetryBudgetConfig {
	return RetryBudgetConfig{RetryRatio: 0.1, MinRetriesPerSecond: 1, MaxTokens: 20}
}

// RetryBudget is a token bucket that limits retries to a ratio of the first attempts plus a small constant rate. Without a
// limit, retries multiply the load while upstreams are failing. It is not safe for concurrent use.
type RetryBudget struct {
	config     RetryBudgetConfig
	tokens     float64
	lastRefill time.Time
}

// NewRetryBudget returns a budget that contains the retries of one second.
func NewRetryBudget(c RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{config: c, tokens: min(c.MinRetriesPerSecond, c.MaxTokens)}
}

// Deposit adds the tokens for one first attempt, which is a request that is not a retry.
func (b *RetryBudget) Deposit(now time.Time) {
	b.refill(now)
	b.tokens = min(b.config.MaxTokens, b.tokens+b.config.RetryRatio)
}

// TryWithdraw takes the token for one retry. It returns false if the budget is exhausted.
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
