// Package medlarmemory measures the memory of the process.
//
// The platform kills a process that exceeds its memory, without a line in the log. The figures show which holder has grown before
// that: the heap, or the stacks of goroutines, which no garbage collection shrinks while they wait.
//
// # Usage
//
//	usage := medlarmemory.Read()
//	meter.Gauge("process.stack-bytes", usage.Stacks)
package medlarmemory

import "runtime/metrics"

// Usage is the memory that the Go runtime has mapped, in bytes. The program itself, and bytes that connections have received and that
// are not read yet, come on top.
type Usage struct {
	// Total is what the runtime has not returned to the operating system.
	Total int64
	// Heap is the part of it that objects take, dead ones included, and Stacks that of the stacks of goroutines.
	Heap, Stacks int64
	// Goroutines is the number of goroutines.
	Goroutines int64
}

// Names of the runtime's metrics.
const (
	metricTotal      = "/memory/classes/total:bytes"
	metricReleased   = "/memory/classes/heap/released:bytes"
	metricHeap       = "/memory/classes/heap/objects:bytes"
	metricStacks     = "/memory/classes/heap/stacks:bytes"
	metricGoroutines = "/sched/goroutines:goroutines"
)

// Read returns the present usage.
func Read() Usage {
	samples := []metrics.Sample{
		{Name: metricTotal}, {Name: metricReleased}, {Name: metricHeap}, {Name: metricStacks}, {Name: metricGoroutines},
	}
	metrics.Read(samples)
	value := func(i int) int64 {
		if samples[i].Value.Kind() != metrics.KindUint64 {
			// A runtime without the metric has no figure for it.
			return 0
		}
		return int64(samples[i].Value.Uint64())
	}
	return Usage{Total: value(0) - value(1), Heap: value(2), Stacks: value(3), Goroutines: value(4)}
}
