package medlarwheel

import "time"

// Clock tells the time. Decision packages take a time.Time as an argument instead; only shells hold a Clock.
type Clock interface {
	Now() time.Time
}

// ClockFunc is a function that is a Clock.
type ClockFunc func() time.Time

// Now returns f().
func (f ClockFunc) Now() time.Time { return f() }

// SystemClock is the machine's clock. Its times carry the monotonic reading.
type SystemClock struct{}

// Now returns time.Now().
func (SystemClock) Now() time.Time { return time.Now() }
