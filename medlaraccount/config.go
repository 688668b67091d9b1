package medlaraccount

import (
	"time"

	"medlarwheel"
)

// Order is the order in which the requests of one lane leave its queue.
type Order int

// The orders of a lane's queue.
const (
	// OldestFirst starts the request that has waited longest. A full queue refuses the new request.
	OldestFirst Order = iota
	// NewestFirst starts the request that arrived last. A full queue refuses the oldest request.
	NewestFirst
)

// ClassFloor is the share of the capacity, from 0 to 1, that each class keeps while it has requests waiting.
type ClassFloor struct {
	Urgent     float64 `json:"urgent"`
	Standard   float64 `json:"standard"`
	Background float64 `json:"background"`
}

// AdmissionConfig holds the settings of an Admission.
type AdmissionConfig struct {
	// ClassFloor is the kept share of each class. The sum must not exceed 1.
	ClassFloor ClassFloor
	// DefaultShare applies to lanes without a share of their own.
	DefaultShare Share
	// QueueTimeout bounds the waiting time in lanes that set none.
	QueueTimeout time.Duration
	// MaxLanes bounds the lanes held in memory. Idle lanes without a share of their own are dropped first.
	MaxLanes int
	// Order is the order of each lane's queue.
	Order Order
	// SweepInterval is the least time between two checks for requests that have become hopeless because their lane drains
	// more slowly than when they were queued.
	SweepInterval time.Duration
	// MinRetryAfter is the least time to come back of a refusal.
	MinRetryAfter time.Duration
	// MaxRetryAfter is the longest time to come back of a refusal.
	MaxRetryAfter time.Duration
}

// MinRetryAfter is the lowest time to come back that any refusal may name. A claim vote is valid for this long, so an
// earlier attempt could meet a seal that still denies it.
const MinRetryAfter = 250 * time.Millisecond

// DefaultAdmissionConfig returns the default settings.
//
// The floors leave 30% of the capacity to be lent, so urgent work gets 70% when every class floods. Queues are oldest
// first: in BenchmarkQueueOrder at ten times the capacity, newest first gives 1% more goodput, but 1% of its refusals come
// 96 ms late, because a request is refused only when newer ones push it out; oldest first refuses at once.
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

// Check reports every fault of c.
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

func (f ClassFloor) of(rank int) float64 {
	return [...]float64{f.Urgent, f.Standard, f.Background}[rank]
}
