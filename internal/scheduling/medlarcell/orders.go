package medlarcell

import (
	"slices"
	"time"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// The limits of orders answer a load at which far more tasks have room, are cancelled or change their pace at one moment than the owner can
// order in the time of a response. The owner holds the encoded order and a goroutine for each order without a response. Orders beyond
// the limits are not encoded: they wait as references to their runs, and are built as of the time at which they are sent.

// OrderLimits bounds the orders without a response.
type OrderLimits struct {
	// StartBytes bounds the memory of the orders to start a task, and OtherBytes that of all others. They are apart, so that stops for
	// workers that do not respond leave room for starts on the others.
	StartBytes, OtherBytes int64
	// PerWorker bounds the number of orders to one worker. More than it has connections would wait for one of these.
	PerWorker int
}

// DefaultOrderLimits returns the limits for an owner that may use about 12 MB for them.
func DefaultOrderLimits() OrderLimits {
	return OrderLimits{StartBytes: 6 << 20, OtherBytes: 6 << 20, PerWorker: 12}
}

// orderOverhead is the memory of an order without its texts: the stack of its goroutine, the buffers of the call and the command.
const orderOverhead = 16 << 10

func startBytes(s *medlarorder.Start) int64 {
	return orderOverhead + int64(textBytes(s.Spec)+textBytes(s.Checkpoint))
}

// orderPool is the memory of the orders without a response of one kind.
type orderPool struct{ limit, used int64 }

// hasRoom reports whether another order may be sent. The last one may exceed the limit by its own size.
func (p *orderPool) hasRoom() bool { return p.used < p.limit }

// release records the response to an order. A start that an earlier owner of the same process has sent is not counted here.
func (p *orderPool) release(bytes int64) { p.used = max(0, p.used-bytes) }

// orderKind is the kind of an order that waits to be sent.
type orderKind int

const (
	orderStart orderKind = iota
	orderStop
	orderPace
)

// pendingOrder is an order that waits to be sent.
type pendingOrder struct {
	kind orderKind
	run  *run
}

func (c *Cell) poolOf(kind orderKind) *orderPool {
	if kind == orderStart {
		return &c.startOrders
	}
	return &c.otherOrders
}

// SetOrdersPerWorker changes the number of orders to one worker.
func (c *Cell) SetOrdersPerWorker(n int) { c.config.Orders.PerWorker = n }

// maxOrdersAhead is the number of orders of a worker, sent and waiting, from which no further task is placed there. It lets the tasks of
// a submission go to one worker together.
const maxOrdersAhead = 64

// hasOrderRoom reports whether another task may be placed on the worker.
func (c *Cell) hasOrderRoom(w *worker) bool { return w.ordersInFlight+len(w.outbox) < maxOrdersAhead }

// unresponsiveOrders is the number of orders at a time to a worker that does not respond. Each of them takes its memory until its timeout.
const unresponsiveOrders = 1

// mayOrder reports whether the worker may get another order of the kind now.
func (c *Cell) mayOrder(now time.Time, w *worker, kind orderKind) bool {
	if w.ordersInFlight >= unresponsiveOrders && w.unansweredOrders.isUnresponsive(now, c.config.ResponseTimeout) {
		return false
	}
	return w.ordersInFlight < c.config.Orders.PerWorker && c.poolOf(kind).hasRoom() && (kind != orderStart || c.startWindow.hasRoom())
}

// mayStartMore reports whether further tasks may be placed. What was placed and could not be ordered yet would keep its worker, whatever
// becomes more urgent meanwhile.
func (c *Cell) mayStartMore() bool {
	return c.startOrders.hasRoom() && c.startWindow.hasRoom() && c.hasRunMemory(1)
}

// order sends an order, or queues it for its worker until the limits permit it.
func (c *Cell) order(now time.Time, o pendingOrder) {
	w := o.run.worker
	if len(w.outbox) == 0 && c.mayOrder(now, w, o.kind) {
		c.send(now, o)
		return
	}
	w.outbox = append(w.outbox, o)
	if !w.hasOutbox {
		w.hasOutbox = true
		c.outboxes = append(c.outboxes, w)
	}
}

// send builds an order and adds it to the commands. Orders that have become needless are dropped.
func (c *Cell) send(now time.Time, o pendingOrder) {
	r, w := o.run, o.run.worker
	if o.kind != orderStart && !w.hasRun(r) {
		return
	}
	command := Command{Worker: w.info.ID, Address: w.info.Address}
	bytes := int64(orderOverhead)
	switch o.kind {
	case orderStart:
		if !w.hasRun(r) || r.phase != runPlanned {
			return
		}
		if r.stopping || !c.mayBeginOn(now, r) {
			c.takeBack(now, r)
			return
		}
		command.Kind, command.Start = CommandStart, c.sendStart(now, r)
		bytes = startBytes(&command.Start)
		c.startWindow.used++
	case orderStop:
		r.stopPending, r.stopSentAt = false, now
		command.Kind, command.Stop = CommandStop, medlarorder.Stop{Task: r.name(), Run: r.number, Fence: w.fence}
	case orderPace:
		r.pacePending = false
		command.Kind, command.Pace = CommandPace, medlarorder.Pace{Task: r.name(), Run: r.number, Fence: w.fence, Percent: r.pace}
	}
	w.noteOrder(now)
	c.poolOf(o.kind).used += bytes
	c.commands = append(c.commands, command)
}

// noteOrder records that an order of any kind was sent.
func (w *worker) noteOrder(now time.Time) {
	w.ordersInFlight++
	w.unansweredOrders.recordOrder(now)
}

// sendStart returns the order to start a run.
func (c *Cell) sendStart(now time.Time, r *run) medlarorder.Start {
	t, w := r.task(), r.worker
	if !t.lostAt.IsZero() {
		c.emit(Event{Kind: EventTaskRestarted, Task: r.name(), Run: r.number, Worker: w.info.ID, Age: now.Sub(t.lostAt)})
		t.lostAt = time.Time{}
	}
	c.countPlace(now, r.step, w)
	order := medlarorder.Start{
		Task: r.name(), Run: r.number, Spec: r.job().submission.Spec, Fence: w.fence,
		LeaseEnd: c.nextLeaseEnd(now, w), Checkpoint: t.checkpoint,
	}
	w.recordLease(order.LeaseEnd, &c.config)
	c.recordOrder(now, w)
	r.phase, r.sentAt = runSent, now
	return order
}

// mayBeginOn reports whether the task of a planned run may still be started on its worker.
func (c *Cell) mayBeginOn(now time.Time, r *run) bool {
	w, j := r.worker, r.job()
	return !now.After(c.authorityEnd) && !j.state.IsFinal() && !r.task().done && w.info.Service == j.submission.Service && c.isAvailable(now, w)
}

// takeBack removes a run that the worker does not have and never will, and requeues its task.
func (c *Cell) takeBack(now time.Time, r *run) {
	readySince := r.step.readySince
	c.detach(now, r)
	c.requeue(now, r.step, r.index)
	if r.step.isMeasuredBestEffort() && !r.step.spec.Gang {
		// Nothing has run meanwhile, so that the wait after which the step comes first goes on.
		r.step.readySince = readySince
	}
}

// takeBackPlanned removes the runs of a worker that were never ordered.
func (c *Cell) takeBackPlanned(now time.Time, w *worker) {
	for _, r := range w.runs {
		if r.phase == runPlanned {
			c.takeBack(now, r)
		}
	}
}

// sendPending sends the orders that wait as far as the limits permit, one for each worker in turn.
func (c *Cell) sendPending(now time.Time) {
	for passed := 0; passed < len(c.outboxes) && (c.startOrders.hasRoom() || c.otherOrders.hasRoom()); {
		w := c.outboxes[0]
		c.outboxes = c.outboxes[1:]
		sent := c.workers[w.info.ID] == w && c.sendOne(now, w)
		if w.hasOutbox = c.workers[w.info.ID] == w && len(w.outbox) > 0; w.hasOutbox {
			c.outboxes = append(c.outboxes, w)
		} else {
			w.outbox = nil
		}
		if passed++; sent {
			passed = 0
		}
	}
}

// sendOne sends the first order that waits for a worker and is within the limits. It reports false if there is none.
func (c *Cell) sendOne(now time.Time, w *worker) bool {
	for i, o := range w.outbox {
		if c.mayOrder(now, w, o.kind) {
			w.outbox = slices.Delete(w.outbox, i, i+1)
			c.send(now, o)
			return true
		}
	}
	return false
}

// orderAnswered records that an order has got its response or, if err is not nil, that there will be none.
func (c *Cell) orderAnswered(now time.Time, id medlarwheel.WorkerID, kind orderKind, bytes int64, err error) {
	c.poolOf(kind).release(bytes)
	if w := c.workers[id]; w != nil {
		w.ordersInFlight = max(0, w.ordersInFlight-1)
		if err == nil {
			w.unansweredOrders.recordResponse()
		}
		c.failureCache.workerChanged(w)
	}
	c.sendPending(now)
}

// stopStray orders a worker to stop a run that is not needed, unless too many orders have no response. The worker's next report lists the
// run again. It reports whether the order was sent.
func (c *Cell) stopStray(now time.Time, w *worker, task medlarsubmission.TaskName, number medlarorder.RunNumber) bool {
	if !c.mayOrder(now, w, orderStop) {
		return false
	}
	w.noteOrder(now)
	c.otherOrders.used += orderOverhead
	c.commands = append(c.commands, Command{
		Kind: CommandStop, Worker: w.info.ID, Address: w.info.Address, Stop: medlarorder.Stop{Task: task, Run: number, Fence: w.fence},
	})
	return true
}
