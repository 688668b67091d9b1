package medlarcell

// Holdings is what takes memory of a cell.
type Holdings struct {
	// Submissions counts those that are not forgotten yet, and Runs the runs of their tasks.
	Submissions, Runs int
	// OrdersWaiting is the number of orders that wait until others have their responses.
	OrdersWaiting int
	// StartWindow is the number of orders to start a task that may be without a response at a time.
	StartWindow int
	// EstimatedBytes is the estimated memory of the submissions, and WaitingBytes that for which tasks wait which are due and not created.
	EstimatedBytes, WaitingBytes int64
}

// Holdings returns what the cell holds.
func (c *Cell) Holdings() Holdings {
	h := Holdings{Submissions: len(c.jobs), Runs: c.runs, EstimatedBytes: c.memory.bytes, WaitingBytes: c.wantedMemory, StartWindow: c.startWindow.limit}
	for _, w := range c.workers {
		h.OrdersWaiting += len(w.outbox)
	}
	return h
}
