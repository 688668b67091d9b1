package medlarowner

import (
	"time"

	"medlarwheel/internal/scheduling/medlarcell"
)

// Holdings is what takes memory of the owner.
type Holdings struct {
	medlarcell.Holdings
	// At is when the scheduler was measured, at the last tick of the control goroutine.
	At time.Time
	// OrdersInFlight is the present number of orders to workers that are being sent, wait for a response, or whose response waits for the
	// control goroutine.
	OrdersInFlight int64
}

// Holdings returns what the owner holds.
func (o *Owner) Holdings() Holdings {
	h := Holdings{At: o.claimedAt}
	if last := o.holdings.Load(); last != nil {
		h = *last
	}
	h.OrdersInFlight = o.ordersInFlight.Load()
	return h
}

// reportHoldings publishes what the owner holds.
func (o *Owner) reportHoldings() {
	h := &Holdings{Holdings: o.cell.Holdings(), At: o.Clock.Now()}
	o.holdings.Store(h)
	o.Meter.Gauge("owner.orders-in-flight", o.ordersInFlight.Load())
	o.Meter.Gauge("owner.orders-waiting", int64(h.OrdersWaiting))
	o.Meter.Gauge("owner.start-window", int64(h.StartWindow))
	o.Meter.Gauge("cell.submissions", int64(h.Submissions))
	o.Meter.Gauge("cell.runs", int64(h.Runs))
	o.Meter.Gauge("cell.held-bytes", h.EstimatedBytes)
}
