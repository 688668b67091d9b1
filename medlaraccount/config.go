package medlaraccount

import (
	"time"

	"medlarwheel"
)

// Order is the order in which the requests of one lane leave its queue.
type Order int

// Queue orders.
const (
	// OldestFirst starts the oldest request (FIFO). A full queue refuses the new request.
	OldestFirst Order = iota
	// NewestFirst starts the newest request (LIFO). A full queue refuses its oldest request.
	NewestFirst
)

// ClassFloor is the fraction of the capacity, from 0 to 1, that is guaranteed to each class while it has requests waiting.
type ClassFloor struct {
	Urgent     float64 `json:"urgent"`
	Standard   float64 `json:"standard"`
	Background float64 `json:"background"`
}

// AdmissionConfig holds the settings of an Admission.
type AdmissionConfig struct {
	// ClassFloor is the guaranteed fraction of each class. The sum must not exceed 1.
	ClassFloor ClassFloor
	// DefaultShare applies to lanes without a share of their own.
	DefaultShare Share
	// QueueTimeout bounds the waiting time in lanes whose share sets no timeout.
	QueueTimeout time.Duration
	// MaxLanes bounds the lanes held in memory. Only SetShare adds lanes beyond it. To make room, the least recently used
	// idle lane without a share of its own is evicted.
	MaxLanes int
	// Order is the order of each lane's queue.
	Order Order
	// SweepInterval is the minimum time between two checks for requests that can no longer start in time because their lane
	// drains more slowly than when they were queued.
	SweepInterval time.Duration
	// MinRetryAfter is the shortest retry-after time of a refusal.
	MinRetryAfter time.Duration
	// MaxRetryAfter is the longest retry-after time of a refusal.
	MaxRetryAfter time.Duration
}

// MinRetryAfter is the lower bound of the retry-after time in any refusal. A claim vote is valid for this long, so an
// earlier retry could still be denied by a seal.
const MinRetryAfter = 250 * time.Millisecond

// DefaultAdmissionConfig returns the default settings.
//
// The class floors leave 30% of the capacity to lend, so urgent work gets 70% of it when all classes are overloaded.
// Queues are oldest first, which refuses requests immediately. At ten times the capacity, newest first gives 1% more
// goodput in BenchmarkQueueOrder, but 1% of its refusals are delayed by 96 ms or more, because a request is refused only
// when newer ones displace it.
func DefaultAdmissionConfig() AdmissionConfig {
	return AdmissionConfig{
		ClassFloor:    ClassFloor{Urgent: 0.4, Standard: 0.2, Background: 0.1},
		DefaultShare:  Share{Weight: 1, QueueLimit: 16},
		QueueTimeout:  time.Second,
		MaxLanes:      2048,
		Order:         OldestFirst,
		SweepInterval: 5 * time.Millisecond,
		MinRetryAfter: MinRetryAfter,
		MaxRetryAfter: 10 * time.Second,
	}
}

// Check returns a fault for each setting of c that is out of range.
func (c AdmissionConfig) Check() medlarwheel.Faults {
	var faults medlarwheel.Faults
	f := c.ClassFloor
	if min(f.Urgent, f.Standard, f.Background) < 0 || f.Urgent+f.Standard+f.Background > 1 {
		faults = faults.Add("class-floor", f, "shares of 0 or more with a sum of at most 1")
	}
	faults = faults.CheckRange("max-lanes", int64(c.MaxLanes), 1, 1<<20)
	faults = faults.CheckRange("default-share.weight", int64(c.DefaultShare.Weight), 1, 1000)
	faults = faults.CheckDurationRange("queue-timeout", medlarwheel.Duration(c.QueueTimeout), 0, medlarwheel.Duration(time.Minute))
	return faults.CheckDurationRange("min-retry-after", medlarwheel.Duration(c.MinRetryAfter),
		medlarwheel.Duration(MinRetryAfter), medlarwheel.Duration(c.MaxRetryAfter))
}

// of returns the floor of the class with the given rank.
func (f ClassFloor) of(rank int) float64 {
	return [...]float64{f.Urgent, f.Standard, f.Background}[rank]
}
