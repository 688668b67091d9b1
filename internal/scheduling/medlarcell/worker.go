package medlarcell

import (
	"time"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// worker is one worker with what runs there and what its answers have told.
type worker struct {
	info medlarorder.Worker
	life medlarorder.Incarnation
	// registered is false once the worker's registration has gone. It then gets no new tasks.
	registered bool
	// recorded is true once the table's list of the fleet names the worker. Before that it gets no tasks, since the next
	// owner would not know where to look for them.
	recorded bool
	// reported is true once the worker has listed its runs in this tenure.
	reported bool
	// contact is when the worker last answered.
	contact time.Time
	silence silence
	// centre is the silence of the worker's data centre.
	centre *silence
	// clock is the worker's clock at clockAt or earlier.
	clock   time.Duration
	clockAt time.Time
	// leaseEnd is when every lease that this or an earlier owner has granted must have ended.
	leaseEnd time.Time
	fence    medlarwheel.FencingToken
	// processed is the last end that was taken in, and acked the last one that may be forgotten.
	processed, acked medlarorder.EndNumber
	// isUnacked is true while the worker is in the cell's list of workers with ends that they may not forget yet.
	isUnacked bool
	// mark tells whether the worker is in a list of distinct workers.
	mark uint64
	runs map[*run]struct{}
	// committed is the room taken, with the processors of tasks that don't fill.
	committed medlarsubmission.Size
	// filling is the sum of the processors that filling tasks ask for, in thousandths of a core.
	filling int64
	// serving is the part of committed processors that serving tasks have reserved.
	serving int64
	// servingBy is serving by image.
	servingBy map[string]int64
	// rooms says how far the levels of serving tasks may rise. It is computed anew when it is stale.
	rooms      []serveRoom
	roomsStale bool
	// price is what filling work on the worker costs filling work of other images.
	price    float64
	history  history
	pausedTo time.Time
	// failedJobs lists the submissions of the last failed runs in a row.
	failedJobs  []medlarsubmission.ID
	suspensions int
	// rate is the observed speed of the worker's tasks against their estimates. One is normal.
	rate    float64
	ratedAt time.Time
	// lifeUnsure is true after a renewal without an answer: the next connection may reach another life of the worker,
	// whose ends have numbers of their own.
	lifeUnsure bool
	// fencedOff is true since fencedAt, when the worker has seen a higher token, until the ownership is confirmed.
	fencedOff bool
	fencedAt  time.Time
	// holding is true while a renewal is in flight.
	holding bool
	// holdDue is set while the next renewal waits for ends to be acknowledged.
	holdDue time.Time
	// settling is true while an extra request for the lists is in flight.
	settling bool
}

func newWorker(info medlarorder.Worker, fence medlarwheel.FencingToken, leaseEnd time.Time) *worker {
	return &worker{
		info: info, life: info.Incarnation, registered: true, fence: fence, leaseEnd: leaseEnd, runs: map[*run]struct{}{}, rate: 1,
		servingBy: map[string]int64{},
	}
}

// until returns the end of a lease that starts now, on the worker's clock. It is zero while the clock is not known.
func (w *worker) until(now time.Time, lease time.Duration) time.Duration {
	if w.clockAt.IsZero() {
		return 0
	}
	return w.clock + now.Sub(w.clockAt) + lease
}

// granted notes that a lease up to until, on the worker's clock, may be in force.
func (w *worker) granted(until time.Duration, c *Config) {
	if until == 0 {
		return
	}
	remaining := time.Duration(float64(until-w.clock) * (1 + c.ClockDrift*(1+c.ClockDrift)))
	end := w.clockAt.Add(remaining + c.LeaseMargin)
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

// heard notes an answer with the worker's clock.
func (w *worker) heard(now time.Time, clock time.Duration) {
	w.contact = now
	if clock > 0 {
		w.clock, w.clockAt = clock, now
	}
}

// isUsable reports whether the worker may get new tasks.
func (w *worker) isUsable(now time.Time, c *Config) bool {
	return w.registered && w.recorded && w.reported && !w.fencedOff && !w.info.Draining && !now.Before(w.pausedTo) &&
		now.Sub(w.contact) < c.ContactTimeout && !w.clockAt.IsZero() && !w.isSilent(now, c)
}

// add takes room for a run.
func (w *worker) add(r *run) {
	w.runs[r] = struct{}{}
	w.count(r, 1)
	if r.step.perWorker != nil {
		r.step.perWorker[w]++
	}
}

// remove gives the room of a run back.
func (w *worker) remove(r *run) {
	if _, ok := w.runs[r]; !ok {
		return
	}
	delete(w.runs, r)
	w.count(r, -1)
	if r.step.perWorker != nil {
		r.step.perWorker[w]--
	}
}

func (w *worker) count(r *run, sign int64) {
	size := r.step.spec.Size
	w.roomsStale = true
	if r.step.spec.Fills {
		w.filling += sign * size.MilliCPU
		size.MilliCPU = 0
	} else if r.step.spec.LongRunning {
		w.serving += sign * size.MilliCPU
		w.servingBy[r.step.spec.Image] += sign * size.MilliCPU
	}
	w.committed.MilliCPU += sign * size.MilliCPU
	w.committed.MemoryMB += sign * size.MemoryMB
	w.committed.GPU += sign * size.GPU
}

// free returns the room that is not taken.
func (w *worker) free() medlarsubmission.Size { return w.info.Capacity.Minus(w.committed) }

// find returns the run with the task and number.
func (w *worker) find(n medlarsubmission.TaskName, number medlarorder.RunNumber) *run {
	for r := range w.runs {
		if r.number == number && r.index == n.Index && r.name() == n {
			return r
		}
	}
	return nil
}

// servingOf returns the processors that serving tasks of a job have reserved on the worker.
func (w *worker) servingOf(j *job) int64 {
	var sum int64
	for r := range w.runs {
		if r.step.spec.LongRunning && r.job() == j {
			sum += r.step.spec.Size.MilliCPU
		}
	}
	return sum
}
