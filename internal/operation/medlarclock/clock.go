// Package medlarclock provides a clock that includes the time during which the machine was suspended and does not jump
// when the wall clock is set.
//
// Leases and ownership are decided on this clock: a process that resumes after a suspension must see that its claim is old.
//
// # Usage
//
//	clock, err := medlarclock.NewBootClock()
//	now := clock.Now()
package medlarclock

import (
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// BootClock is a clock that is set to the wall clock once and then follows the time since boot.
type BootClock struct {
	startTime   time.Time
	startUptime time.Duration
}

// NewBootClock returns a clock that is set to the current wall-clock time.
func NewBootClock() (*BootClock, error) {
	boot, err := timeSinceBoot()
	if err != nil {
		return nil, err
	}
	// Round strips the monotonic reading, which does not include suspensions.
	return &BootClock{startTime: time.Now().Round(0), startUptime: boot}, nil
}

// Now returns the current time.
func (b *BootClock) Now() time.Time {
	boot, err := timeSinceBoot()
	if err != nil {
		// NewBootClock has read the same clock successfully, so this does not happen on a working system.
		panic(err)
	}
	return b.startTime.Add(boot - b.startUptime)
}

func timeSinceBoot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, errors.Wrap(err, "read CLOCK_BOOTTIME")
	}
	return time.Duration(t.Nano()), nil
}
