package medlarnode

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"medlarwheel/internal/acceptance/medlargroupcommit"
	"medlarwheel/internal/acceptance/medlaroutage"
	"medlarwheel/internal/operation/medlarclock"
	"medlarwheel/internal/operation/medlarrecover"
	"medlarwheel/internal/state/medlartable"
)

// outageDoor holds the requests that wait while the table does not respond to this instance.
type outageDoor struct {
	mu        sync.Mutex
	room      medlaroutage.Room[chan bool]
	durations medlaroutage.Durations
	// stored counts the requests of the current outage that were stored after a wait, and refused those that were refused.
	stored, refused int
	// inserting is the number of rows that are being sent to the table.
	inserting atomic.Int32

	peers          tablePeers
	tableClients   peerClients
	forwardClients peerClients
}

// prepare sets the timeouts of the clients.
func (o *outageDoor) prepare() {
	o.tableClients.timeout, o.forwardClients.timeout = promiseTimeout, forwardTimeout
}

const (
	// maxInsertAttempts limits how often one request tries to store its row. A table may return and fail again, or refuse the
	// rows of some parts only while it answers all other calls.
	maxInsertAttempts = 8
	// minAttemptPause is the least time between the second attempt and the third. It doubles up to maxAttemptPause.
	minAttemptPause, maxAttemptPause = 100 * time.Millisecond, 400 * time.Millisecond
)

// attemptPause returns the least time between an attempt and the next one. The first time that a request is woken it is tried at once.
func attemptPause(attempt int) time.Duration {
	if attempt < 2 {
		return 0
	}
	return min(minAttemptPause<<(attempt-2), maxAttemptPause)
}

// insertion is the result of storing a row for a client.
type insertion struct {
	result     medlargroupcommit.Result
	retryAfter time.Duration
	forwarded  bool
	// waited is how long the request has waited for the table, and why the reason for the last decision.
	waited time.Duration
	why    string
}

// describe returns the inputs of the decisions for the log.
func (in *insertion) describe() string {
	text := ""
	if in.forwarded {
		text = " through another instance, the table does not answer here"
	}
	if in.waited > 0 {
		text += fmt.Sprintf(", waited %d ms", in.waited.Milliseconds())
	}
	if in.why != "" {
		text += ", " + in.why
	}
	return text
}

// insertOrWait stores a row, here or through a peer. While neither can, it waits as long as there is a real chance that the table
// returns in time for the client.
func (n *Node) insertOrWait(row medlartable.Row, deadline time.Time) insertion {
	in := insertion{retryAfter: storeRetryAfter}
	for attempt := 1; ; attempt++ {
		in.result, in.forwarded = n.insert(row, deadline)
		if in.result != medlargroupcommit.ResultRefused || !n.health.HasFailed() && !in.forwarded {
			break
		}
		wait := n.waitForTable(row, deadline, attempt < maxInsertAttempts)
		in.waited += wait.took
		in.why, in.retryAfter = wait.why, wait.retryAfter
		if !wait.retry || attempt == maxInsertAttempts {
			break
		}
		if pause := attemptPause(attempt) - wait.took; pause > 0 {
			if deadline.Sub(n.clock.Now())-pause < n.config.Outage.AnswerTime {
				break
			}
			time.Sleep(pause)
			in.waited += pause
		}
	}
	if in.waited > 0 {
		n.meter.Time("door.outage.wait", in.waited)
	}
	if in.forwarded || in.why != "" {
		n.countOutageResult(&in)
	}
	return in
}

// countOutageResult counts the result of a request that has met an outage.
func (n *Node) countOutageResult(in *insertion) {
	n.outage.mu.Lock()
	defer n.outage.mu.Unlock()
	stored := in.result == medlargroupcommit.ResultStored
	if stored && in.forwarded {
		n.meter.Count("door.outage.forwarded")
	}
	if stored && in.waited > 0 {
		n.outage.stored++
		n.meter.Count("door.outage.stored-after-wait")
	}
	if in.result == medlargroupcommit.ResultRefused {
		n.outage.refused++
		n.meter.Count("door.outage.refused")
	}
}

// tableWait is the result of waiting for the table.
type tableWait struct {
	// retry is true if the request should be tried again.
	retry      bool
	took       time.Duration
	retryAfter time.Duration
	why        string
}

// waitForTable waits until the table or a peer may store the row, if the decision is to wait.
func (n *Node) waitForTable(row medlartable.Row, deadline time.Time, mayForward bool) tableWait {
	o := &n.outage
	began := n.clock.Now()
	request := medlaroutage.Request{Key: row.Key, Left: deadline.Sub(began), Bytes: len(row.Value), Forwarded: !mayForward}
	entry := &medlaroutage.Entry[chan bool]{Part: row.Part, Bytes: len(row.Value), Deadline: deadline, Value: make(chan bool, 1)}
	o.mu.Lock()
	situation, failing := n.situation(began)
	if !failing {
		o.mu.Unlock()
		return tableWait{retry: true}
	}
	decision := n.config.Outage.Decide(&o.durations, situation, request)
	if decision.Action == medlaroutage.ActionWait {
		o.room.Add(entry)
		n.meter.Gauge("door.outage.waiting", int64(o.room.Len()))
	}
	o.mu.Unlock()
	wait := tableWait{retry: decision.Action == medlaroutage.ActionForward, retryAfter: decision.RetryAfter}
	if decision.Action == medlaroutage.ActionWait {
		wait.retry = n.awaitRelease(entry, decision.Wait)
		wait.took = n.clock.Now().Sub(began)
		request.Left -= wait.took
		o.mu.Lock()
		situation, _ = n.situation(n.clock.Now())
		decision = n.config.Outage.Decide(&o.durations, situation, request)
		o.mu.Unlock()
		wait.retryAfter = decision.RetryAfter
	}
	wait.why = fmt.Sprintf("table away for %d ms, client waits for %d ms more, %d of %d peers reach it, %s", situation.Age.Milliseconds(),
		request.Left.Milliseconds(), situation.PeersReaching, situation.PeersAsked, decision.Reason)
	return wait
}

// awaitRelease waits until the entry is released, and reports whether its request should be tried again.
func (n *Node) awaitRelease(entry *medlaroutage.Entry[chan bool], limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case retry := <-entry.Value:
		return retry
	case <-timer.C:
	}
	n.outage.mu.Lock()
	removed := n.outage.room.Remove(entry)
	n.meter.Gauge("door.outage.waiting", int64(n.outage.room.Len()))
	n.outage.mu.Unlock()
	if removed {
		return false
	}
	return <-entry.Value
}

// situation returns what this instance knows about the outage. The lock of the outage door must be held.
func (n *Node) situation(now time.Time) (medlaroutage.Situation, bool) {
	since, failing, _ := n.health.Outage()
	asked, answered, reaching := n.outage.peers.count(now)
	return medlaroutage.Situation{
		Age: now.Sub(since), PeersAsked: asked, PeersAnswered: answered, PeersReaching: reaching,
		Waiting: n.outage.room.Len(), WaitingBytes: n.outage.room.Bytes(), Stopping: n.stopping.Load(),
	}, failing
}

// followOutages asks the peers while requests wait for the table, and releases the requests when the table responds again.
func (n *Node) followOutages(ctx context.Context) error {
	for {
		since, failing, changed := n.health.Outage()
		if failing {
			n.duringOutage(ctx, changed)
			n.endOutage(since)
		}
		n.releaseWaiting(ctx)
		select {
		case <-ctx.Done():
			n.refuseWaiting()
			return ctx.Err()
		case <-changed:
		}
	}
}

// duringOutage asks the peers in turn until the table responds. It does not wait for their answers, so that nothing delays the release
// of the requests when the table responds again.
func (n *Node) duringOutage(ctx context.Context, changed <-chan struct{}) {
	ticker := time.NewTicker(peerAskInterval)
	defer ticker.Stop()
	answered := make(chan struct{}, 1)
	answered <- struct{}{}
	for {
		if n.waiting() > 0 || n.outage.inserting.Load() > 0 {
			select {
			case <-answered:
				go func() {
					defer func() { answered <- struct{}{} }()
					_ = medlarrecover.RunAndLog(n.log, n.meter, "ask-peers", func() error { n.followPeers(); return nil })
				}()
			default:
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
			return
		case <-ticker.C:
		}
	}
}

// followPeers asks the peers. It releases requests if one reaches the table, and refuses all if this instance is cut off, so that their
// clients try others.
func (n *Node) followPeers() {
	switch reached, cutOff := n.askPeers(); {
	case !n.health.HasFailed():
	case reached:
		n.releaseBatch()
	case cutOff:
		n.refuseWaiting()
	}
}

// endOutage records the length of an outage that began at the given time.
func (n *Node) endOutage(since time.Time) {
	length := n.clock.Now().Sub(since)
	n.outage.mu.Lock()
	n.outage.durations.Add(length)
	waiting, stored, refused := n.outage.room.Len(), n.outage.stored, n.outage.refused
	n.outage.stored, n.outage.refused = 0, 0
	n.outage.mu.Unlock()
	if waiting+stored+refused > 0 {
		n.log.Info().Str("event", "table-outage-ended").Int64("length-ms", length.Milliseconds()).Int("waiting", waiting).
			Int("stored-after-wait", stored).Int("refused", refused).Msg("")
	}
}

// releaseWaiting releases the waiting requests until none is left or the table has failed again.
func (n *Node) releaseWaiting(ctx context.Context) {
	for !n.health.HasFailed() && n.waiting() > 0 {
		if !medlarclock.Sleep(ctx, n.releaseBatch()) {
			return
		}
	}
}

// releaseBatch releases the requests with the earliest deadlines, and returns the pause until the next ones. Those whose clients
// could not get an answer in time are refused.
func (n *Node) releaseBatch() time.Duration {
	burst, pause := n.config.Outage.Pace(n.registeredInstances())
	n.outage.mu.Lock()
	defer n.outage.mu.Unlock()
	next, late := n.outage.room.Release(n.clock.Now().Add(n.config.Outage.AnswerTime), burst)
	n.meter.Gauge("door.outage.waiting", int64(n.outage.room.Len()))
	for _, e := range next {
		e.Value <- true
	}
	for _, e := range late {
		e.Value <- false
	}
	return pause
}

// refuseWaiting refuses all waiting requests.
func (n *Node) refuseWaiting() {
	n.outage.mu.Lock()
	defer n.outage.mu.Unlock()
	next, late := n.outage.room.Release(time.Time{}, n.outage.room.Len())
	for _, e := range append(next, late...) {
		e.Value <- false
	}
	n.meter.Gauge("door.outage.waiting", 0)
}

// waiting returns the number of waiting requests.
func (n *Node) waiting() int {
	n.outage.mu.Lock()
	defer n.outage.mu.Unlock()
	return n.outage.room.Len()
}
