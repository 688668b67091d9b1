package medlaradmission

import (
	"fmt"
	"math"
	"time"

	"medlarwheel/internal/acceptance/medlarsubmission"
)

// MemoryDoor bounds the memory of what an instance accepts before a report of the scheduler includes it, or while there is none. It answers
// a load at which many instances accept beside each other, on a report that is the same for all of them or too old to be used.
//
// The scheduler creates the tasks of a submission only when it has the memory for them, and so waits with what exceeds it. What a
// submission takes without tasks is there once it is accepted. Each instance may therefore accept its share of what is left by the last
// report without asking, and asks for more.
type MemoryDoor struct {
	at time.Time
	// held and most are those of the last report. The limit is zero for a scheduler that states none.
	held, most int64
	accepted   []acceptedMemory
}

// acceptedMemory is the memory of an accepted submission, and the part of it without tasks.
type acceptedMemory struct {
	at         time.Time
	full, base int64
}

// Surroundings is what an instance knows of the others.
type Surroundings struct {
	// Instances is the number of instances that accept submissions. Zero means that it is not known.
	Instances int
	// Memory is what a scheduler may hold on the smallest of them, in bytes.
	Memory int64
}

// UnreportedShare is the part of the memory, as a divisor, that all instances together may accept without a report. Schedulers report the
// rest as their limit.
const UnreportedShare = 5

const (
	// largeMemory is the memory of a submission for which the scheduler is always asked.
	largeMemory = 1 << 20
	// memoryRetryAfter is the retry delay given when the memory is used up. It is freed as submissions are finished.
	memoryRetryAfter = 5 * time.Second
	// assumedInstances is what is assumed of a number that is not known.
	assumedInstances = 32
)

// Observe takes over a report of the load.
func (d *MemoryDoor) Observe(c *Config, load *Load) {
	if load.At.IsZero() || load.At.Before(d.at) {
		return
	}
	d.at, d.held, d.most = load.At, load.HeldMemory, load.MaxHeldMemory
	for len(d.accepted) > 0 && d.accepted[0].at.Before(load.At.Add(-c.BestEffort.VisibilityDelay)) {
		d.accepted = d.accepted[1:]
	}
}

// unreported returns the memory of what was accepted since the last report, and the part of it without tasks.
func (d *MemoryDoor) unreported() (full, base int64) {
	for _, a := range d.accepted {
		full += a.full
		base += a.base
	}
	return full, base
}

// hasReport reports whether the last report may be used.
func (d *MemoryDoor) hasReport(now time.Time, c *Config) bool {
	return !d.at.IsZero() && now.Sub(d.at) <= c.MaxAge
}

// share returns how much this instance may accept before the next report without asking, in memory without tasks.
func (d *MemoryDoor) share(now time.Time, c *Config, around Surroundings) int64 {
	instances := int64(around.Instances)
	if instances <= 0 {
		instances = assumedInstances
	}
	switch {
	case d.hasReport(now, c) && d.most == 0:
		return math.MaxInt64
	case d.hasReport(now, c):
		return max(0, d.most-d.held) / instances
	}
	return around.Memory / UnreportedShare / instances
}

// ToReserve returns the memory in bytes that the scheduler is to keep free for a submission until it hears of it, or zero if it need not be
// asked.
func (d *MemoryDoor) ToReserve(now time.Time, c *Config, s *medlarsubmission.Submission, around Surroundings) int64 {
	_, base := d.unreported()
	if full := s.Memory(); full >= largeMemory || base+s.MemoryOf(0) > d.share(now, c, around) {
		return full
	}
	return 0
}

// Admit decides whether the memory suffices for a submission. isReserved is true if the scheduler was asked to keep it free with the last
// report.
func (d *MemoryDoor) Admit(now time.Time, c *Config, s *medlarsubmission.Submission, around Surroundings, isReserved bool) Decision {
	full, base := d.unreported()
	needed, share := s.Memory(), d.share(now, c, around)
	switch {
	case !d.hasReport(now, c):
		if base+s.MemoryOf(0) > share {
			return Decision{
				RetryAfter: c.MinRetryAfter, Cause: CauseMemory, Age: now.Sub(d.at),
				Reason: fmt.Sprintf("no scheduler has reported its memory, and %d of %d KB were accepted since the last report", base>>10, share>>10),
			}
		}
	case d.most == 0:
	case d.held+full+needed > d.most || !isReserved && base+s.MemoryOf(0) > share:
		return Decision{
			RetryAfter: memoryRetryAfter, Cause: CauseMemory, Age: now.Sub(d.at),
			Reason: fmt.Sprintf("needs %d KB of memory, %d of %d KB are held, %d KB were accepted since", needed>>10, d.held>>10, d.most>>10, full>>10),
		}
	}
	return Decision{Accept: true}
}

// Add records an accepted submission for which no memory was reserved.
func (d *MemoryDoor) Add(now time.Time, s *medlarsubmission.Submission) {
	d.accepted = append(d.accepted, acceptedMemory{at: now, full: s.Memory(), base: s.MemoryOf(0)})
}
