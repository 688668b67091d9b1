// Package medlarclock is a clock that counts the time during which the machine was suspended and never jumps with the time
// of day.
//
// Leases and ownership are decided on it: a process that wakes up after a suspension has to see that its claim is old.
//
// # Usage
//
//	clock, err := medlarclock.NewBoot()
//	now := clock.Now()
package medlarclock

import (
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Boot is a clock that is set to the time of day once and then follows the time since boot.
type Boot struct {
	base time.Time
	boot time.Duration
}

// NewBoot returns a clock that is set to the present time of day.
func NewBoot() (*Boot, error) {
	boot, err := sinceBoot()
	if err != nil {
		return nil, err
	}
	// Round strips the monotonic reading, which does not count suspensions.
	return &Boot{base: time.Now().Round(0), boot: boot}, nil
}

// Now returns the present time.
func (b *Boot) Now() time.Time {
	boot, err := sinceBoot()
	if err != nil {
		// NewBoot has read the same clock before, so that this can't fail for want of the clock.
		panic(err)
	}
	return b.base.Add(boot - b.boot)
}

func sinceBoot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, errors.Wrap(err, "read the time since boot")
	}
	return time.Duration(t.Nano()), nil
}
