package medlarcell

import (
	"time"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// worker is the state of one worker and of the runs on it.
type worker struct {
	info medlarorder.Worker
	// rack is that of the worker while tasks take longer away from their data, or nil.
	rack *rack
	// incarnation is that of the last report, or zero before the first one.
	incarnation medlarorder.Incarnation
	// restartedAt is when a report first showed the current incarnation, if it is not the first one.
	restartedAt time.Time
	// registered is false once the worker's registration is gone. It then gets no new tasks.
	registered bool
	// recorded is true once the worker is in the table's list of workers. Before that it gets no tasks, since the next
	// owner would not look for them there.
	recorded bool
	// reported is true once the worker has reported its runs to this owner.
	reported bool
	// endsTruncated is true while the worker has ended runs that did not fit in its last report, or that can't be processed yet.
	endsTruncated bool
	// allRunsKnown is true once this owner has seen a report of the worker: since then, only orders of this owner can have
	// started runs on it.
	allRunsKnown bool
	// evacuated is true while the worker's data centre is evacuated.
	evacuated bool
	// coldSince and coldUntil are when the worker began and ends to run slowly after its start, and coldFactor is how much longer its
	// tasks take now.
	coldSince, coldUntil time.Time
	coldFactor           float64
	// leavesAt is the earliest time at which a draining worker leaves.
	leavesAt time.Time
	// lastContact is when the worker last responded.
	lastContact time.Time
	// disconnectedAt is when a call first failed since the last report because the worker's connections were closed, or zero.
	// Responses to orders do not clear it, since they may be those of the next incarnation.
	disconnectedAt time.Time
	responsiveness responsiveness
	// centreResponsiveness is that of the worker's data centre.
	centreResponsiveness *responsiveness
	// clock is the reading of the worker's clock in the report that was received at clockAt. The worker may have taken it
	// earlier.
	clock   time.Duration
	clockAt time.Time
	// leaseEnd is when every lease that this or an earlier owner has granted must have ended, and inheritedLeaseEnd when
	// those of earlier owners must have. The latter is zero if no earlier owner can have started a run there.
	leaseEnd, inheritedLeaseEnd time.Time
	fence                       medlarwheel.FencingToken
	// lastProcessedEnd is the number of the last ended run that was processed, and lastAckedEnd that of the last one
	// that the worker may discard.
	lastProcessedEnd, lastAckedEnd medlarorder.EndNumber
	// confirmedAck is the number up to which the worker has confirmed an acknowledgement, and reportedAt when its last report came.
	confirmedAck medlarorder.EndNumber
	reportedAt   time.Time
	// inUnackedList is true while the worker is in the cell's unackedWorkers.
	inUnackedList bool
	// visitMark equals the cell's mark if the worker is already in the list of changed workers that is being built.
	visitMark uint64
	// runs holds the runs on the worker by task. It never has two of one task.
	runs map[medlarsubmission.TaskName]*run
	// committed is the reserved capacity. It includes the memory but not the CPU of best-effort tasks.
	committed medlarsubmission.Size
	// bestEffortCPU is the CPU that best-effort tasks ask for, but for those with a minimum share, in thousandths of a core.
	bestEffortCPU int64
	// longRunningCPU is the part of the committed CPU that long-running tasks have reserved.
	longRunningCPU int64
	// suspectRuns counts the runs of tasks that are suspected to crash their workers, and minimumShareRuns those with a minimum share.
	suspectRuns, minimumShareRuns int
	// hasStrayRuns is true while the worker lists runs that are not needed and are being stopped. They use capacity.
	hasStrayRuns bool
	// hasUnknownTasks is true while the worker lists runs or ends of submissions that are not known. The previous owner may have
	// heard of them earlier.
	hasUnknownTasks bool
	// longRunningCPUByImage is longRunningCPU by image.
	longRunningCPUByImage map[string]int64
	// headrooms is how far the utilisation of serving tasks may rise. It is recomputed when it is stale.
	headrooms      []servingHeadroom
	headroomsStale bool
	// opportunityCost is the cost to other images of placing best-effort work on the worker.
	opportunityCost float64
	shareHistory    shareHistory
	pausedUntil     time.Time
	// suspendedUntil is set after too many failed runs. triedAt is when a task was last tried there nevertheless, and trialRun its
	// run, or nil once a run has failed.
	suspendedUntil, triedAt time.Time
	trialRun                *run
	// recentFailedJobs lists the submissions of the latest consecutive failed runs.
	recentFailedJobs []medlarsubmission.ID
	suspensions      int
	// relativeSpeed is the observed speed of the worker's tasks relative to their estimates. One is normal.
	relativeSpeed   float64
	speedObservedAt time.Time
	// incarnationUncertain is true after a renewal without a response, or a registration of another incarnation, until the
	// next report: the next order may reach another incarnation of the worker, which numbers its ended runs from 1.
	incarnationUncertain bool
	// fenced is true from fencedAt, when the worker reported a higher fencing token, until the ownership is confirmed.
	fenced   bool
	fencedAt time.Time
	// renewalInFlight is true while a renewal has no response yet.
	renewalInFlight bool
	// renewalDue is set while the next renewal waits for ended runs to be acknowledged.
	renewalDue time.Time
	// ordersInFlight is the number of orders without a response, and outbox holds those that wait to be sent. hasOutbox is true while the
	// worker is in the cell's list of outboxes.
	ordersInFlight int
	outbox         []pendingOrder
	hasOutbox      bool
	// unansweredOrders is the responsiveness of the worker to orders of all kinds.
	unansweredOrders responsiveness
	// reportRequested is true while an out-of-band request for a report is in flight.
	reportRequested bool
}

func newWorker(info medlarorder.Worker, fence medlarwheel.FencingToken) *worker {
	return &worker{
		info: info, registered: true, fence: fence, runs: map[medlarsubmission.TaskName]*run{}, relativeSpeed: 1, coldFactor: 1,
		longRunningCPUByImage: map[string]int64{},
	}
}

// localLeaseEnd returns the end of a lease that starts now, on the worker's clock. It is zero while the clock is
// unknown.
func (w *worker) localLeaseEnd(now time.Time, lease time.Duration) time.Duration {
	if w.clockAt.IsZero() {
		return 0
	}
	return w.clock + now.Sub(w.clockAt) + lease
}

// recordLease records that a lease up to until, on the worker's clock, may be in force.
func (w *worker) recordLease(until time.Duration, c *Config) {
	if until == 0 {
		return
	}
	remaining := time.Duration(float64(until-w.clock) * (1 + c.ClockDrift*(1+c.ClockDrift)))
	w.extendLeaseBound(w.clockAt.Add(remaining + c.LeaseMargin))
}

// extendLeaseBound records that a lease may be in force until end.
func (w *worker) extendLeaseBound(end time.Time) {
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

// recordClock records the reading of the worker's clock in a report. Responses to orders do not name the incarnation whose
// clock they show.
func (w *worker) recordClock(now time.Time, clock time.Duration) {
	if clock > 0 {
		w.clock, w.clockAt = clock, now
	}
}

// unregisteredRetention is how long a worker without a registration is kept after its last response. Registrations may lapse
// while the table is away.
const unregisteredRetention = 3 * time.Second

// isGone reports whether a worker has left and nothing can run on it any more. A successor would wait for it.
func (w *worker) isGone(now time.Time) bool {
	return !w.registered && len(w.runs) == 0 && now.Sub(w.lastContact) > unregisteredRetention && (w.allRunsKnown || now.After(w.leaseEnd))
}

// hasPendingAck reports whether ended runs that the worker may discard are not confirmed as discarded.
func (w *worker) hasPendingAck() bool { return w.lastAckedEnd > w.confirmedAck }

// clockTolerance covers the rounding of clock readings.
const clockTolerance = 10 * time.Millisecond

// isClockBehind reports whether the reading of the worker's clock in the response to an order that was sent at sentAt is lower than
// its incarnation can show after its last report.
func (w *worker) isClockBehind(sentAt time.Time, reading time.Duration, c *Config) bool {
	if w.clockAt.IsZero() || reading <= 0 {
		return false
	}
	elapsed := sentAt.Sub(w.clockAt)
	if elapsed > 0 {
		elapsed = time.Duration(float64(elapsed) * (1 - c.ClockDrift))
	}
	return reading+clockTolerance < w.clock+elapsed
}

// isUsable reports whether the worker may get new tasks.
func (c *Cell) isUsable(now time.Time, w *worker) bool {
	return !w.isSuspended(now) && c.isAvailable(now, w)
}

// isSuspended reports whether the worker gets no new tasks because of failed runs.
func (w *worker) isSuspended(now time.Time) bool { return now.Before(w.suspendedUntil) }

// isAvailable reports whether the worker may get new tasks unless it is suspended.
func (c *Cell) isAvailable(now time.Time, w *worker) bool {
	return w.registered && w.recorded && w.reported && !w.fenced && !c.isLeaseFixed(now, w) && !w.hasStrayRuns && w.isRegistrationCurrent(now) && !w.info.Draining && !w.evacuated && !now.Before(w.pausedUntil) &&
		now.Sub(w.lastContact) < c.config.ContactTimeout && !w.clockAt.IsZero() && !w.isUnresponsive(now, &c.config)
}

// registrationTimeout is how long a restarted worker gets no tasks until its registration names the new incarnation. While
// the table is unavailable, workers cannot register.
const registrationTimeout = 5 * time.Second

// isRegistrationCurrent reports whether the registration is that of the worker's current incarnation, which may have
// another capacity and other labels than the one before.
func (w *worker) isRegistrationCurrent(now time.Time) bool {
	return w.info.Incarnation == w.incarnation || now.Sub(w.restartedAt) >= registrationTimeout
}

// addRun reserves capacity for a run.
func (w *worker) addRun(r *run) {
	w.runs[r.name()] = r
	w.adjustCommitted(r, 1)
	if r.suspect {
		w.suspectRuns++
	}
	if r.step.tasksPerWorker != nil {
		r.step.tasksPerWorker[w]++
	}
}

// removeRun releases the capacity of a run.
func (w *worker) removeRun(r *run) {
	if !w.hasRun(r) {
		return
	}
	delete(w.runs, r.name())
	w.adjustCommitted(r, -1)
	if r.suspect {
		w.suspectRuns--
	}
	if r.step.tasksPerWorker != nil {
		r.step.tasksPerWorker[w]--
	}
}

func (w *worker) adjustCommitted(r *run, sign int64) {
	size := r.step.spec.Size
	w.headroomsStale = true
	if r.step.spec.BestEffort {
		if r.hasMinimumShare {
			w.minimumShareRuns += int(sign)
		} else {
			w.bestEffortCPU += sign * size.MilliCPU
		}
		size.MilliCPU = 0
	} else if r.step.spec.LongRunning {
		w.longRunningCPU += sign * size.MilliCPU
		w.longRunningCPUByImage[r.step.spec.Image] += sign * size.MilliCPU
	}
	w.committed.MilliCPU += sign * size.MilliCPU
	w.committed.MemoryMB += sign * size.MemoryMB
	w.committed.GPU += sign * size.GPU
}

// freeCapacity returns the capacity that is not reserved.
func (w *worker) freeCapacity() medlarsubmission.Size { return w.info.Capacity.Minus(w.committed) }

// findRun returns the run with the task name and number, or nil.
func (w *worker) findRun(n medlarsubmission.TaskName, number medlarorder.RunNumber) *run {
	if r := w.runs[n]; r != nil && r.number == number {
		return r
	}
	return nil
}

// hasRun reports whether the run is on the worker, or planned there.
func (w *worker) hasRun(r *run) bool { return w.runs[r.name()] == r }

// longRunningCPUOf returns the CPU that long-running tasks of a job have reserved on the worker.
func (w *worker) longRunningCPUOf(j *job) int64 {
	var sum int64
	for _, r := range w.runs {
		if r.step.spec.LongRunning && r.job() == j {
			sum += r.step.spec.Size.MilliCPU
		}
	}
	return sum
}
