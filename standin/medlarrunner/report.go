package medlarrunner

import (
	"sync/atomic"
	"time"

	"medlarwheel"
)

// Report is the answer of GET /ledger, and without the keys of GET /counters.
type Report struct {
	ID medlarwheel.UpstreamID `json:"id"`
	// Started is the time of the runner's start. The ledger has nothing from before.
	Started  time.Time `json:"started"`
	Counters Counters  `json:"counters"`
	Keys     []Entry   `json:"keys"`
}

// Counters counts what a runner saw.
type Counters struct {
	// Requests counts the requests that got a slot, Busy those under way at present.
	Requests uint64 `json:"requests"`
	Busy     int64  `json:"busy"`
	// SlotViolations counts the requests that were refused because no slot was free.
	SlotViolations uint64 `json:"slot-violations"`
	// ConnectionViolations counts the connections above the limit.
	ConnectionViolations uint64 `json:"connection-violations"`
	// PeakBusy and PeakConnections are the highest numbers at a time, including refused ones.
	PeakBusy        int64 `json:"peak-busy"`
	PeakConnections int64 `json:"peak-connections"`
	// Unkeyed counts the applied requests without a request key.
	Unkeyed uint64 `json:"unkeyed"`
	// Dropped counts the arrivals that did not fit into the ledger.
	Dropped int `json:"dropped"`
	// AfterLeaving counts the requests that came after the runner announced that it leaves, LastAfterLeaving is the
	// time between the announcement and the last of them.
	AfterLeaving     uint64               `json:"after-leaving"`
	LastAfterLeaving medlarwheel.Duration `json:"last-after-leaving"`
}

// Report returns the ledger and the counters.
func (r *Runner) Report() Report {
	report := r.Summary()
	report.Keys, report.Counters.Dropped = r.ledger.Entries()
	return report
}

// Summary returns the counters without the ledger.
func (r *Runner) Summary() Report {
	return Report{ID: r.config.ID, Started: r.started, Counters: Counters{
		Requests: r.requests.Load(), Busy: r.busy.Load(), SlotViolations: r.slotViolations.Load(),
		ConnectionViolations: r.connectionViolations.Load(), PeakBusy: r.peakBusy.Load(),
		PeakConnections: r.peakConnections.Load(), Unkeyed: r.unkeyed.Load(), Dropped: r.ledger.Dropped(),
		AfterLeaving: r.afterLeaving.Load(), LastAfterLeaving: medlarwheel.Duration(r.lastAfterLeaving.Load()),
	}}
}

// updateMax sets peak to value if it is lower.
func updateMax(peak *atomic.Int64, value int64) {
	for old := peak.Load(); value > old && !peak.CompareAndSwap(old, value); old = peak.Load() {
	}
}
