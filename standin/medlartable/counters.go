package medlartable

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
	// LostAnswers counts the transactions whose answer was dropped.
	LostAnswers uint64 `json:"lost-answers"`
	// BytesIn and BytesOut count the bodies of requests and answers.
	BytesIn  uint64 `json:"bytes-in"`
	BytesOut uint64 `json:"bytes-out"`
}

type counters struct {
	reads, writes, conflicts, rejected, lostAnswers, bytesIn, bytesOut atomic.Uint64
}

func (c *counters) read() Counters {
	return Counters{
		Reads: c.reads.Load(), Writes: c.writes.Load(), Conflicts: c.conflicts.Load(), Rejected: c.rejected.Load(),
		LostAnswers: c.lostAnswers.Load(), BytesIn: c.bytesIn.Load(), BytesOut: c.bytesOut.Load(),
	}
}
