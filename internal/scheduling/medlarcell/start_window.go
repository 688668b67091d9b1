package medlarcell

import "time"

// The window answers a load at which tasks could be started faster than the link of the owner carries the orders. More orders on the way
// do not start more tasks: they delay the reports of ended tasks and the renewals of leases, until all of them time out.

// startWindow bounds the orders to start a task that have no response, by how fast workers respond.
type startWindow struct {
	// limit is the number of such orders, and used how many there are.
	limit, used int
	// fast and slow are the numbers of responses since adjustedAt, and wasFull is true if the window has held an order back since.
	fast, slow int
	wasFull    bool
	adjustedAt time.Time
}

const (
	// minStartWindow lets a few starts through, by whose responses the window grows again.
	minStartWindow = 8
	// firstStartWindow is that of an owner that knows nothing of its link yet. A fleet that is empty gets its tasks at once.
	firstStartWindow = 512
	// maxStartWindow is more than the memory for orders allows.
	maxStartWindow = 4096
	// startWindowInterval is the time between two changes of the window. It is several times the response time on an idle link.
	startWindowInterval = 250 * time.Millisecond
	// slowResponse is the response time from which a link counts as busy. It is well below the timeout of an order.
	slowResponse = 100 * time.Millisecond
	// minSlowResponses is the number of slow responses below which they are taken for those of single workers.
	minSlowResponses = 3
	// startWindowGrowth is the factor by which the window grows.
	startWindowGrowth = 1.5
	// recentContact is the time since its last response for which a worker counts as reachable, so that the time-out of an order to it
	// tells of the link of the owner.
	recentContact = 2 * time.Second
)

func newStartWindow() startWindow { return startWindow{limit: firstStartWindow} }

// hasRoom reports whether another start may be ordered.
func (w *startWindow) hasRoom() bool {
	if w.used < w.limit {
		return true
	}
	w.wasFull = true
	return false
}

// release records that an order has got its response, or that there will be none.
func (w *startWindow) release() { w.used = max(0, w.used-1) }

// observe takes in how long the response to an order took, or after what time there was none although its worker is reachable.
func (w *startWindow) observe(now time.Time, took time.Duration, isAnswered bool) {
	switch {
	case took > slowResponse:
		w.slow++
	case isAnswered:
		w.fast++
	}
	if now.Sub(w.adjustedAt) < startWindowInterval {
		return
	}
	switch {
	case w.slow >= minSlowResponses && w.slow > w.fast:
		w.limit = max(minStartWindow, min(w.limit, w.used)/2)
	case w.fast > 0 && w.wasFull:
		w.limit = min(maxStartWindow, int(startWindowGrowth*float64(w.limit)))
	}
	w.fast, w.slow, w.wasFull, w.adjustedAt = 0, 0, false, now
}
