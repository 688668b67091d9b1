package medlarowner

import (
	"sync/atomic"
	"time"
)

// turnaroundWeight is the weight of one start order in the moving average. A cell of few workers sends tens of orders a
// second, so the mean follows a change within one or two seconds.
const turnaroundWeight = 0.05

// turnaround is the exponentially weighted mean time from the decision to start a task until the scheduler has processed
// the response of the worker. It is a few milliseconds on a healthy machine, and hundreds when the owner is starved of
// processor time.
type turnaround struct{ mean atomic.Int64 }

// observe adds the time of one start order with a response. Only the control goroutine may call it.
func (t *turnaround) observe(took time.Duration) {
	mean := t.mean.Load()
	t.mean.Store(mean + int64(turnaroundWeight*float64(int64(took)-mean)))
}

// Turnaround returns the mean time from the decision to start a task until the response of the worker was processed.
func (o *Owner) Turnaround() time.Duration { return time.Duration(o.turnaround.mean.Load()) }
