package medlarcell

import (
	"time"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// worker is one worker with what runs there and what its answers have told.
type worker struct {
	info        medlarorder.Worker
	incarnation medlarorder.Incarnation
	// registered is false once the worker's registration has gone. It then gets no new tasks.
	registered bool
	// recorded is true once the table's list of the fleet names the worker. Before that it gets no tasks, since the next
	// owner would not know where to look for them.
	recorded bool
	// reported is true once the worker has listed its runs in this tenure.
	reported bool
	// lastContact is when the worker last answered.
	lastContact    time.Time
	responsiveness responsiveness
	// centreResponsiveness is the silence of the worker's data centre.
	centreResponsiveness *responsiveness
	// clock is the worker's clock at clockAt or earlier.
	clock   time.Duration
	clockAt time.Time
	// leaseEnd is when every lease that this or an earlier owner has granted must have ended.
	leaseEnd time.Time
	fence    medlarwheel.FencingToken
	// lastProcessedEnd is the last end that was taken in, and acked the last one that may be forgotten.
	lastProcessedEnd, lastAckedEnd medlarorder.EndNumber
	// inUnackedList is true while the worker is in the cell's list of workers with ends that they may not forget yet.
	inUnackedList bool
	// visitMark tells whether the worker is in a list of distinct workers.
	visitMark uint64
	runs      map[*run]struct{}
	// committed is the room taken, with the processors of tasks that don't fill.
	committed medlarsubmission.Size
	// bestEffortCPU is the sum of the processors that filling tasks ask for, in thousandths of a core.
	bestEffortCPU int64
	// longRunningCPU is the part of committed processors that serving tasks have reserved.
	longRunningCPU int64
	// longRunningCPUByImage is serving by image.
	longRunningCPUByImage map[string]int64
	// headrooms says how far the levels of serving tasks may rise. It is computed anew when it is stale.
	headrooms      []servingHeadroom
	headroomsStale bool
	// opportunityCost is what filling work on the worker costs filling work of other images.
	opportunityCost float64
	shareHistory    shareHistory
	pausedUntil     time.Time
	// recentFailedJobs lists the submissions of the last failed runs in a row.
	recentFailedJobs []medlarsubmission.ID
	suspensions      int
	// relativeSpeed is the observed speed of the worker's tasks against their estimates. One is normal.
	relativeSpeed   float64
	speedObservedAt time.Time
	// incarnationUncertain is true after a renewal without an answer: the next connection may reach another life of the worker,
	// whose ends have numbers of their own.
	incarnationUncertain bool
	// fenced is true since fencedAt, when the worker has seen a higher token, until the ownership is confirmed.
	fenced   bool
	fencedAt time.Time
	// renewalInFlight is true while a renewal is in flight.
	renewalInFlight bool
	// renewalDue is set while the next renewal waits for ends to be acknowledged.
	renewalDue time.Time
	// reportRequested is true while an extra request for the lists is in flight.
	reportRequested bool
}

func newWorker(info medlarorder.Worker, fence medlarwheel.FencingToken, leaseEnd time.Time) *worker {
	return &worker{
		info: info, incarnation: info.Incarnation, registered: true, fence: fence, leaseEnd: leaseEnd, runs: map[*run]struct{}{}, relativeSpeed: 1,
		longRunningCPUByImage: map[string]int64{},
	}
}

// localLeaseEnd returns the end of a lease that starts now, on the worker's clock. It is zero while the clock is not known.
func (w *worker) localLeaseEnd(now time.Time, lease time.Duration) time.Duration {
	if w.clockAt.IsZero() {
		return 0
	}
	return w.clock + now.Sub(w.clockAt) + lease
}

// recordLease notes that a lease up to until, on the worker's clock, may be in force.
func (w *worker) recordLease(until time.Duration, c *Config) {
	if until == 0 {
		return
	}
	remaining := time.Duration(float64(until-w.clock) * (1 + c.ClockDrift*(1+c.ClockDrift)))
	end := w.clockAt.Add(remaining + c.LeaseMargin)
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

// recordResponse notes an answer with the worker's clock.
func (w *worker) recordResponse(now time.Time, clock time.Duration) {
	w.lastContact = now
	if clock > 0 {
		w.clock, w.clockAt = clock, now
	}
}

// isUsable reports whether the worker may get new tasks.
func (w *worker) isUsable(now time.Time, c *Config) bool {
	return w.registered && w.recorded && w.reported && !w.fenced && !w.info.Draining && !now.Before(w.pausedUntil) &&
		now.Sub(w.lastContact) < c.ContactTimeout && !w.clockAt.IsZero() && !w.isUnresponsive(now, c)
}

// addRun takes room for a run.
func (w *worker) addRun(r *run) {
	w.runs[r] = struct{}{}
	w.adjustCommitted(r, 1)
	if r.step.tasksPerWorker != nil {
		r.step.tasksPerWorker[w]++
	}
}

// removeRun gives the room of a run back.
func (w *worker) removeRun(r *run) {
	if _, ok := w.runs[r]; !ok {
		return
	}
	delete(w.runs, r)
	w.adjustCommitted(r, -1)
	if r.step.tasksPerWorker != nil {
		r.step.tasksPerWorker[w]--
	}
}

func (w *worker) adjustCommitted(r *run, sign int64) {
	size := r.step.spec.Size
	w.headroomsStale = true
	if r.step.spec.BestEffort {
		w.bestEffortCPU += sign * size.MilliCPU
		size.MilliCPU = 0
	} else if r.step.spec.LongRunning {
		w.longRunningCPU += sign * size.MilliCPU
		w.longRunningCPUByImage[r.step.spec.Image] += sign * size.MilliCPU
	}
	w.committed.MilliCPU += sign * size.MilliCPU
	w.committed.MemoryMB += sign * size.MemoryMB
	w.committed.GPU += sign * size.GPU
}

// freeCapacity returns the room that is not taken.
func (w *worker) freeCapacity() medlarsubmission.Size { return w.info.Capacity.Minus(w.committed) }

// findRun returns the run with the task and number.
func (w *worker) findRun(n medlarsubmission.TaskName, number medlarorder.RunNumber) *run {
	for r := range w.runs {
		if r.number == number && r.index == n.Index && r.name() == n {
			return r
		}
	}
	return nil
}

// longRunningCPUOf returns the processors that serving tasks of a job have reserved on the worker.
func (w *worker) longRunningCPUOf(j *job) int64 {
	var sum int64
	for r := range w.runs {
		if r.step.spec.LongRunning && r.job() == j {
			sum += r.step.spec.Size.MilliCPU
		}
	}
	return sum
}
