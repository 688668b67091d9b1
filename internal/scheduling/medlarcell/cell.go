package medlarcell

import (
	"time"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarreturns"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
	"medlarwheel/internal/scheduling/medlarforecast"
	"medlarwheel/internal/scheduling/medlarinterference"
)

// Cell schedules the submissions of one cell on its workers.
type Cell struct {
	config Config
	// timeOfDayAhead is how far the time of day is ahead of the scheduler's clock.
	timeOfDayAhead time.Duration

	// Ownership.

	fence medlarwheel.FencingToken
	// firstRun is the lowest run number that this owner uses. It is above all numbers that earlier owners used.
	firstRun medlarorder.RunNumber
	// reconcileDeadline is the time from which a task that no worker has reported may be started even if some workers
	// have not reported.
	reconcileDeadline time.Time
	reconciled        bool
	// inheritedLeaseEnds holds when the leases of workers end that were silent under the previous owner, unless it has
	// granted outage leases, all of which have ended by inheritedOutageLeasesEnd.
	inheritedLeaseEnds       map[medlarwheel.WorkerID]time.Time
	inheritedOutageLeasesEnd time.Time
	// termStartedAt is when the ownership began. adoptedTasks counts the runs that were adopted until the cell was
	// reconciled.
	termStartedAt time.Time
	adoptedTasks  int
	// outageLease is the lease that may be granted until outageLeaseUntil while the table is unavailable. All such
	// leases have ended by outageLeasesEnd.
	outageLease                       time.Duration
	outageLeaseUntil, outageLeasesEnd time.Time
	// inGrace is true until all submissions that the previous owner may start tasks of are accepted.
	inGrace bool
	// authorityEnd is the time until which this owner may send orders without a further renewal of its ownership.
	authorityEnd time.Time
	// noSuccessorUntil is the time before which no other instance can have claimed the cell.
	noSuccessorUntil time.Time

	// Work.

	jobs map[medlarsubmission.ID]*job
	// routeServices holds the services of the routes by version routesVersion of the configuration.
	routeServices map[string]medlarwheel.ServiceName
	routesVersion medlarwheel.ConfigVersion
	// queueLengths counts the submissions of each route of which no task has started.
	queueLengths map[string]int
	// queue holds the steps with tasks that wait for a worker, by rank. unranked holds those that are still to be
	// inserted.
	queue, unranked []*step
	rankedAt        time.Time
	// resumeStep is the step at which the last placement pass has ended, or nil if it has reached the end of the queue.
	resumeStep *step
	// deferredSteps is the memory of the deferred steps of a pass.
	deferredSteps []*step
	// passStartedAt is when the latest placement pass started.
	passStartedAt   time.Time
	gangReservation gangReservation
	// needsCompaction is true if the queue may hold steps without waiting tasks.
	needsCompaction bool
	failureCache    placementFailureCache
	// leastRefusedHarm is the smallest harm for which alone a worker was refused to the step that is being placed.
	leastRefusedHarm float64
	// dirty lists the segments whose records have changed since they were last stored. finished lists the jobs in a final
	// state, oldest first.
	dirty    []*segment
	finished []*job
	// uncreatedJobs lists the jobs with occurrences that do not exist yet, since they are not due or wait for memory, in the order of their
	// acceptance. wantedMemory is the memory for which the due ones wait.
	uncreatedJobs []*job
	wantedMemory  int64
	// runs counts the runs of all tasks.
	runs int
	// earlyCancellations holds the times of cancellations whose submission is not known. A write of the submission without a
	// response may still be carried out. earlyCancellationOrder lists their submissions, oldest first, and some that have
	// become known since.
	earlyCancellations     map[medlarsubmission.ID]time.Time
	earlyCancellationOrder []medlarsubmission.ID

	// Workers.

	workers map[medlarwheel.WorkerID]*worker
	// sortedWorkers lists the workers by id. It is nil after a worker was added or removed.
	sortedWorkers          []*worker
	responsivenessByCentre responsivenessMap
	// usableWorkers, changedWorkers and candidates are the workers that a placement pass considers. They are fields so
	// that passes reuse their memory. A worker is in changedWorkers if its visitMark equals the cell's.
	usableWorkers, changedWorkers []*worker
	// rackWorkers is the same for the workers of one rack.
	rackWorkers []*worker
	racks       racks
	candidates  candidates
	visitMark   uint64
	// suspensionsEnd is when no worker is suspended any more.
	suspensionsEnd time.Time
	// evacuatedCentres holds the data centres on whose workers nothing is started.
	evacuatedCentres map[medlarwheel.DataCentreID]bool
	// evacuatedWorkers and coldWorkers are the numbers of such workers at the last measurement.
	evacuatedWorkers, coldWorkers int
	// fencedWorkers is the number of workers that have seen a higher fencing token.
	fencedWorkers int
	// unackedWorkers lists the workers with ended runs that are not acknowledged yet. deferredRenewals lists those whose
	// next renewal waits for the acknowledgement.
	unackedWorkers, deferredRenewals []*worker
	// storedLeases holds the workers whose lease end a renewal in the table, or on its way there, states. silenceChanged is
	// true if the next renewal will state others.
	storedLeases   map[medlarwheel.WorkerID]struct{}
	silenceChanged bool
	// joined and left are the workers whose addition or removal is not stored yet.
	joined, left []medlarwheel.WorkerID

	// Models and measurements.

	// meanSpeed is the mean speed of all runs relative to their predicted run times, over speedSamples comparisons.
	meanSpeed    float64
	speedSamples int
	// runTimes predicts the run times of tasks by route.
	runTimes *medlarforecast.Model
	// meanWork is the mean work of the submissions of each route, in core-seconds.
	meanWork map[string]float64
	loads    map[medlarwheel.ServiceName]*serviceLoad
	// shortTaskSize is the usual size of short urgent tasks by service, in thousandths of a core.
	shortTaskSize  map[medlarwheel.ServiceName]float64
	loadMeasuredAt time.Time
	// minimumShareRuns lists the runs with a minimum share. minimumSharesAt is when the last round of starts was, and
	// minimumSharesRaisedAt and minimumSharesMovedAt when those of raises and moves were. nextMinimumShare and nextMove are where the
	// next rounds begin.
	minimumShareRuns                                             []*run
	minimumSharesAt, minimumSharesRaisedAt, minimumSharesMovedAt time.Time
	nextMinimumShare, nextMove                                   int
	// overdueCPU is the CPU of the runs of overdue steps by service, in thousandths of a core.
	overdueCPU map[medlarwheel.ServiceName]int64
	// bestEffortDone is the best-effort work done since then, by service, in core-seconds.
	bestEffortDone map[medlarwheel.ServiceName]float64
	// returns holds the promises to submissions that were turned away.
	returns map[limitID]*medlarreturns.Calendar
	// wideTurns holds the turns of wide rounds.
	wideTurns map[wideKind]*wideTurns
	// memory is that of all submissions.
	memory            account
	reservations      []memoryReservation
	interferenceModel *medlarinterference.Model
	modelFittedAt     time.Time
	// loadDeviations is the distribution of the deviations of serving runs from the load of their step.
	loadDeviations *medlarinterference.Deviations
	// scarcity is the waiting work of each best-effort image divided by the free capacity of the workers that are
	// compatible with it.
	scarcity           map[medlarinterference.Image]float64
	opportunityCostsAt time.Time

	// Orders to workers.

	// startOrders and otherOrders are the memory of the orders without a response. outboxes lists the workers for which orders wait, in the
	// order of their turns.
	startOrders, otherOrders orderPool
	startWindow              startWindow
	outboxes                 []*worker

	// Output.

	commands     []Command
	events       []Event
	waitEventsAt time.Time
	tickedAt     time.Time
}

// New returns a cell without submissions or workers.
func New(c Config) *Cell {
	return &Cell{
		config: c, jobs: map[medlarsubmission.ID]*job{}, earlyCancellations: map[medlarsubmission.ID]time.Time{}, workers: map[medlarwheel.WorkerID]*worker{}, storedLeases: map[medlarwheel.WorkerID]struct{}{}, responsivenessByCentre: responsivenessMap{}, queueLengths: map[string]int{},
		meanWork: map[string]float64{}, meanSpeed: 1, shortTaskSize: map[medlarwheel.ServiceName]float64{}, bestEffortDone: map[medlarwheel.ServiceName]float64{}, overdueCPU: map[medlarwheel.ServiceName]int64{}, loads: map[medlarwheel.ServiceName]*serviceLoad{}, failureCache: newPlacementFailureCache(), returns: map[limitID]*medlarreturns.Calendar{}, wideTurns: map[wideKind]*wideTurns{},
		runTimes:          medlarforecast.New(c.RunTimes),
		interferenceModel: medlarinterference.New(c.Interference.Model),
		loadDeviations:    medlarinterference.NewDeviations(c.Interference.PriorDeviation),
		startWindow:       newStartWindow(),
		startOrders:       orderPool{limit: c.Orders.StartBytes},
		otherOrders:       orderPool{limit: c.Orders.OtherBytes},
	}
}

// Restore adds a submission that was accepted before this ownership, with its stored progress. Those that have started come first: their
// tasks exist whatever the limits, since an earlier owner had the memory for them.
func (c *Cell) Restore(now time.Time, s medlarsubmission.Submission, p Progress, cancelled bool) error {
	if _, known := c.jobs[s.ID]; known {
		return nil
	}
	j := c.add(s, true)
	if p.Service != "" {
		c.moveTo(j, p.Service, p.ConfigVersion)
	}
	if p.State.IsFinal() {
		c.restoreFinal(now, j, p.State)
		return nil
	}
	if err := j.restoreProgress(p); err != nil {
		return err
	}
	j.charge()
	if c.followRoute(j) {
		c.markDirty(j)
	}
	// Earlier builds have stored the progress of all segments in the row of the first one.
	for i := 1; i < len(j.segments); i++ {
		c.markSegmentDirty(&j.segments[i])
	}
	c.createOrDefer(now, j)
	if p.HasStarted() {
		c.markStarted(j)
	}
	if cancelled {
		c.cancel(now, j)
	} else {
		c.checkComplete(now, j)
	}
	return nil
}

// restoreFinal restores a job whose final state is stored.
func (c *Cell) restoreFinal(now time.Time, j *job, state medlarsubmission.State) {
	c.stopWaiting(j)
	j.started = true
	j.state, j.durableState, j.finishedAt = state, state, now
	c.finished = append(c.finished, j)
	j.releaseTasks()
}

// Accept adds a newly accepted submission. It does nothing if the submission is known.
func (c *Cell) Accept(now time.Time, s medlarsubmission.Submission) {
	if _, known := c.jobs[s.ID]; known {
		return
	}
	j := c.add(s, c.inGrace)
	if c.followRoute(j) {
		c.markDirty(j)
	}
	c.createOrDefer(now, j)
	c.observeBestEffort(now, j)
	c.forgetReturn(s.ID)
	c.endReservation(s.ID)
	c.emit(Event{Kind: EventAccepted, Submission: s.ID, Route: s.Route, Age: now.Sub(s.AcceptedAt)})
	if _, cancelled := c.earlyCancellations[s.ID]; cancelled {
		delete(c.earlyCancellations, s.ID)
		c.Cancel(now, s.ID)
	}
}

func (c *Cell) add(s medlarsubmission.Submission, inherited bool) *job {
	j := newJob(s, inherited, c.runTimes, c.config.segmentTasks(&s), c.timeOfDayAhead)
	j.hardDeadline = j.due(0).Add(time.Duration(c.config.HardDeadlineFactor * float64(j.softDeadline.Sub(j.due(0)))))
	c.jobs[s.ID] = j
	j.account = &c.memory
	j.charge()
	c.observeWork(j)
	c.observeShortTaskSize(&s)
	if s.OccurrenceCount == 0 {
		c.queueLengths[s.Route]++
	}
	return j
}

// markStarted records that the first task of the job has started.
func (c *Cell) markStarted(j *job) {
	if j.state == medlarsubmission.StateQueued {
		j.state = medlarsubmission.StateRunning
	}
	c.stopWaiting(j)
}

func (c *Cell) stopWaiting(j *job) {
	if !j.isCountedAsWaiting() {
		return
	}
	j.started = true
	c.queueLengths[j.submission.Route]--
}

// isCountedAsWaiting reports whether the job is included in the queue length of its route.
func (j *job) isCountedAsWaiting() bool { return !j.started && j.submission.OccurrenceCount == 0 }

// finish moves the job to a final state and stops its runs.
func (c *Cell) finish(now time.Time, j *job, state medlarsubmission.State) {
	c.stopWaiting(j)
	j.started = true
	j.state, j.finishedAt = state, now
	c.needsCompaction = true
	c.finished = append(c.finished, j)
	c.markDirty(j)
	j.forEachRun(func(r *run) { c.stop(now, r) })
}

// State returns the state of a submission as its client may see it. Completion and failure are visible only once they
// are stored.
func (c *Cell) State(id medlarsubmission.ID) (medlarsubmission.State, bool) {
	j, known := c.jobs[id]
	if !known {
		return "", false
	}
	if j.state.IsFinal() && j.durableState != j.state && j.state != medlarsubmission.StateCancelled {
		return medlarsubmission.StateRunning, true
	}
	return j.state, true
}

// WorkerCount returns the number of known workers.
func (c *Cell) WorkerCount() int { return len(c.workers) }

// QueueLength returns the number of accepted submissions of a route of which no task has started.
func (c *Cell) QueueLength(route string) int { return c.queueLengths[route] }

// Tick handles ended leases, resends stops, sends deferred renewals, updates the models and removes finished submissions.
func (c *Cell) Tick(now time.Time) {
	c.tryReconcile(now)
	for id, w := range c.workers {
		if len(w.runs) > 0 && c.isLeaseOver(now, w.leaseEnd) {
			c.emit(Event{Kind: EventLeaseEnded, Worker: id, Count: len(w.runs), Age: now.Sub(w.lastContact)})
			c.takeBackPlanned(now, w)
			c.recordCrashes(now, w, w.incarnation, lostLease)
			for _, r := range w.runs {
				c.markLost(now, r, lostLease)
			}
		}
		if w.isGone(now) {
			delete(c.workers, id)
			c.clearFenced(w)
			w.renewalDue = time.Time{}
			c.sortedWorkers, c.racks.byKey = nil, nil
			c.left = append(c.left, id)
			c.commands = append(c.commands, Command{Kind: CommandDisconnect, Worker: id})
			continue
		}
		c.updateCold(now, w)
		for _, r := range w.runs {
			if r.stopping && now.Sub(r.stopSentAt) > c.config.StopRetry {
				c.sendStop(now, r)
			}
		}
	}
	c.silenceChanged = c.differsFromStoredLeases(now)
	c.createOccurrences(now)
	c.evacuate(now)
	c.sendDeferredRenewals(now)
	c.sendPending(now)
	c.fitModel(now)
	c.recoverSpeeds(now, now.Sub(c.tickedAt))
	c.tickedAt = now
	c.measureLoad(now)
	c.emitWaitReasons(now)
	c.removeFinished(now)
	c.removeEarlyCancellations(now)
}

func (c *Cell) removeFinished(now time.Time) {
	kept := 0
	for kept < len(c.finished) && now.Sub(c.finished[kept].finishedAt) > c.config.KeepFinished {
		j := c.finished[kept]
		if j.dirtySegments > 0 {
			break
		}
		delete(c.jobs, j.submission.ID)
		j.uncharge()
		c.commands = append(c.commands, Command{Kind: CommandDeleteSubmission, Submission: j.submission.ID, Segments: len(j.segments)})
		kept++
	}
	c.finished = c.finished[kept:]
}
