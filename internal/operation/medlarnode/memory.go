package medlarnode

import (
	"cmp"
	"context"
	"time"

	"medlarwheel/internal/operation/medlarclock"
	"medlarwheel/internal/operation/medlarmemory"
)

const (
	// memoryInterval is the time between two measurements of the memory of the process.
	memoryInterval = time.Second
	// highMemory is the share of the machine's memory from which each measurement is logged.
	highMemory = 0.75
)

// watchMemory measures the memory of the process, and logs what holds it before the platform ends the process.
func (n *Node) watchMemory(ctx context.Context) error {
	limit := cmp.Or(n.config.Settings.MemoryMB, medlarmemory.DefaultMB) << 20
	for medlarclock.Sleep(ctx, memoryInterval) {
		usage := medlarmemory.Read()
		n.meter.Gauge("process.memory-bytes", usage.Total)
		n.meter.Gauge("process.heap-bytes", usage.Heap)
		n.meter.Gauge("process.stack-bytes", usage.Stacks)
		n.meter.Gauge("process.goroutines", usage.Goroutines)
		if float64(usage.Total) >= highMemory*float64(limit) {
			n.logMemory(usage, limit)
		}
	}
	return ctx.Err()
}

func (n *Node) logMemory(usage medlarmemory.Usage, limit int64) {
	line := n.log.Warn().Str("event", "memory-high").Int64("bytes", usage.Total).Int64("limit", limit).Int64("heap", usage.Heap).
		Int64("stacks", usage.Stacks).Int64("goroutines", usage.Goroutines)
	if owner := n.owner.Load(); owner != nil {
		h := owner.Holdings()
		line = line.Int64("orders-in-flight", h.OrdersInFlight).Int("orders-waiting", h.OrdersWaiting).Int("submissions", h.Submissions).Int("runs", h.Runs).
			Int64("held-bytes", h.EstimatedBytes).Int64("tick-age-ms", n.clock.Now().Sub(h.At).Milliseconds())
	}
	line.Msg("the process uses most of the machine's memory; the platform ends it above the limit")
}
