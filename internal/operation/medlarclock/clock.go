// Package medlarclock is a clock that counts the time during which the machine was suspended and never jumps with the time
// of day.
//
// Leases and ownership are decided on it: a process that wakes up after a suspension has to see that its claim is old.
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

// BootClock is a clock that is set to the time of day once and then follows the time since boot.
type BootClock struct {
	startTime   time.Time
	startUptime time.Duration
}

// NewBootClock returns a clock that is set to the present time of day.
func NewBootClock() (*BootClock, error) {
	boot, err := timeSinceBoot()
	if err != nil {
		return nil, err
	}
	// Round strips the monotonic reading, which does not count suspensions.
	return &BootClock{startTime: time.Now().Round(0), startUptime: boot}, nil
}

// Now returns the present time.
func (b *BootClock) Now() time.Time {
	boot, err := timeSinceBoot()
	if err != nil {
		// NewBoot has read the same clock before, so that this can't fail for want of the clock.
		panic(err)
	}
	return b.startTime.Add(boot - b.startUptime)
}

func timeSinceBoot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, errors.Wrap(err, "read the time since boot")
	}
	return time.Duration(t.Nano()), nil
}
