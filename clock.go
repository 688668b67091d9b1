package medlarwheel

import "time"

// Clock returns the current time. Only code that does I/O, such as the daemon, holds a Clock. Packages that only make
// decisions take a time.Time argument instead.
type Clock interface {
	Now() time.Time
}

// ClockFunc adapts a function to the Clock interface.
type ClockFunc func() time.Time

// Now returns f().
func (f ClockFunc) Now() time.Time { return f() }

// SystemClock is the clock of the operating system. Its times include a monotonic reading.
type SystemClock struct{}

// Now returns time.Now().
func (SystemClock) Now() time.Time { return time.Now() }
