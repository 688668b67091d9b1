package medlarplatformserver

import "sync/atomic"

// Counters is the answer of GET /v1/counters.
type Counters struct {
	// Reads and Writes count the calls that were executed.
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	// Conflicts counts the transactions that did not take effect.
	Conflicts uint64 `json:"conflicts"`
	// Rejected counts the calls that were refused by the rate cap or a fault.
	Rejected uint64 `json:"rejected"`
	// DroppedResponses counts the transactions whose answer was dropped.
	DroppedResponses uint64 `json:"lost-answers"`
	// BytesIn and BytesOut count the bodies of requests and answers.
	BytesIn  uint64 `json:"bytes-in"`
	BytesOut uint64 `json:"bytes-out"`
}

type counters struct {
	reads, writes, conflicts, rejected, droppedResponses, bytesIn, bytesOut atomic.Uint64
}

func (c *counters) snapshot() Counters {
	return Counters{
		Reads: c.reads.Load(), Writes: c.writes.Load(), Conflicts: c.conflicts.Load(), Rejected: c.rejected.Load(),
		DroppedResponses: c.droppedResponses.Load(), BytesIn: c.bytesIn.Load(), BytesOut: c.bytesOut.Load(),
	}
}
