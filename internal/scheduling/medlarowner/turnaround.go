package medlarowner

import (
	"sync/atomic"
	"time"
)

// turnaroundWeight is the weight of one order in the mean turnaround. Orders come in tens a second on a small fleet, so that
// the mean follows a change within a second or two.
const turnaroundWeight = 0.05

// turnaround is the mean time from the decision on a start until the scheduler has taken in its answer. It is some
// milliseconds on a machine that gives the owner its processor time, and hundreds on one that does not.
type turnaround struct{ mean atomic.Int64 }

// observe takes in an answered start. Only the control goroutine may call it.
func (a *turnaround) observe(took time.Duration) {
	mean := a.mean.Load()
	a.mean.Store(mean + int64(turnaroundWeight*float64(int64(took)-mean)))
}

// Turnaround returns the mean time from the decision on a start until its answer was taken in.
func (o *Owner) Turnaround() time.Duration { return time.Duration(o.turnaround.mean.Load()) }
