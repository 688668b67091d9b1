package medlarcell

import (
	"time"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
	"medlarwheel/internal/scheduling/medlarforecast"
	"medlarwheel/internal/scheduling/medlarinterference"
)

// Cell schedules the submissions of one cell on its workers.
type Cell struct {
	config Config

	// Ownership.

	fence medlarwheel.FencingToken
	// firstRun is the lowest run number of this tenure. It is above all numbers of earlier ones.
	firstRun medlarorder.RunNumber
	// settleAt is when a task that no worker knows may be started even if some workers have not reported.
	settleAt time.Time
	settled  bool
	// begunAt is when the tenure began, and adopted the tasks that have been taken over until it was settled.
	begunAt time.Time
	adopted int
	// outageLease is the lease that may be granted until lengthened, and outageLeases when every such lease has ended.
	outageLease              time.Duration
	lengthened, outageLeases time.Time
	// graceEnd is until when the owner before may still start tasks, of new submissions too.
	graceEnd time.Time
	// authority is until when this owner may order, unless it renews its ownership.
	authority time.Time

	// Work.

	jobs map[medlarsubmission.ID]*job
	// waiting counts the submissions of each route of which no task has started.
	waiting map[string]int
	// queue holds the steps with tasks that wait for a worker, by rank, and fresh those that are not in it yet.
	queue, fresh []*step
	rankedAt     time.Time
	// hasIdle is true if the queue may hold steps without waiting tasks.
	hasIdle bool
	misses  misses
	// dirty lists the jobs whose records have changed, and finished those in a final state, oldest first.
	dirty, finished []*job

	// Workers.

	workers map[medlarwheel.WorkerID]*worker
	// sorted lists the workers by id. It is nil after a change of the fleet.
	sorted  []*worker
	centres centres
	// usableNow, changedSince and open are the workers that a pass of placement looks at. They are kept to reuse their
	// memory. Workers with the present mark are in changedSince.
	usableNow, changedSince []*worker
	open                    candidates
	mark                    uint64
	// doubtful is the number of workers that have seen a higher token.
	doubtful int
	// unacked lists the workers with ends that they may not forget yet, and held those whose renewal waits for that.
	unacked, held []*worker
	// joined and left are the changes of the fleet that are not stored yet.
	joined, left []medlarwheel.WorkerID

	// What is learnt and measured.

	// meanSpeed is the mean speed of all runs against their predicted run times, and speeds the number of comparisons in it.
	meanSpeed float64
	speeds    int
	// runTimes predicts the run times of tasks by route.
	runTimes *medlarforecast.Model
	// meanWork is the mean work of the submissions of each route in core-seconds.
	meanWork map[string]float64
	loads    map[medlarwheel.ServiceName]*serviceLoad
	// shortSize is the usual size of short urgent tasks by service, in thousandths of a core.
	shortSize  map[medlarwheel.ServiceName]float64
	measuredAt time.Time
	pressure   *medlarinterference.Model
	refitAt    time.Time
	// shortages is the waiting work of each filling image against the room on workers that suit it.
	shortages map[medlarinterference.Image]float64
	pricedAt  time.Time

	// Output.

	commands     []Command
	notes        []Note
	waitsNotedAt time.Time
	tickedAt     time.Time
}

// New returns a cell without work.
func New(c Config) *Cell {
	return &Cell{
		config: c, jobs: map[medlarsubmission.ID]*job{}, workers: map[medlarwheel.WorkerID]*worker{}, centres: centres{}, waiting: map[string]int{},
		meanWork: map[string]float64{}, meanSpeed: 1, shortSize: map[medlarwheel.ServiceName]float64{}, misses: newMisses(),
		runTimes: medlarforecast.New(c.RunTimes),
		pressure: medlarinterference.New(c.Interference.Model),
	}
}

// Restore takes in a submission that was accepted before this tenure, with its progress.
func (c *Cell) Restore(now time.Time, s medlarsubmission.Submission, p Progress, cancelled bool) error {
	if _, known := c.jobs[s.ID]; known {
		return nil
	}
	j := c.add(s, true)
	if err := j.apply(p); err != nil {
		return err
	}
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			c.enqueue(now, st)
		}
	}
	if p.hasStarted() {
		c.markStarted(j)
	}
	switch {
	case p.State.IsFinal():
		c.finish(now, j, p.State)
		j.durable = p.State
	case cancelled:
		c.cancel(now, j)
	default:
		c.checkComplete(now, j)
	}
	return nil
}

// Accept takes in a newly accepted submission. A repetition changes nothing.
func (c *Cell) Accept(now time.Time, s medlarsubmission.Submission) {
	if _, known := c.jobs[s.ID]; known {
		return
	}
	j := c.add(s, now.Before(c.graceEnd))
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			c.enqueue(now, st)
		}
	}
	c.note(Note{Kind: NoteAccepted, Submission: s.ID, Route: s.Route, Age: now.Sub(s.AcceptedAt)})
}

func (c *Cell) add(s medlarsubmission.Submission, inherited bool) *job {
	j := newJob(s, inherited, c.runTimes)
	j.useless = s.AcceptedAt.Add(time.Duration(c.config.LateFactor * float64(j.due.Sub(s.AcceptedAt))))
	c.jobs[s.ID] = j
	c.learnWork(j)
	c.learnShortSize(&s)
	if s.Times == 0 {
		c.waiting[s.Route]++
	}
	return j
}

// markStarted notes that the first task of the job has started.
func (c *Cell) markStarted(j *job) {
	if j.state == medlarsubmission.StateQueued {
		j.state = medlarsubmission.StateRunning
	}
	c.stopWaiting(j)
}

func (c *Cell) stopWaiting(j *job) {
	if !j.counted() {
		return
	}
	j.started = true
	c.waiting[j.submission.Route]--
}

// counted reports whether the job is in the number of waiting submissions.
func (j *job) counted() bool { return !j.started && j.submission.Times == 0 }

// Cancel stops all tasks of a submission for good, if it is known.
func (c *Cell) Cancel(now time.Time, id medlarsubmission.ID) {
	j, known := c.jobs[id]
	if known && !j.state.IsFinal() {
		c.cancel(now, j)
		c.note(Note{Kind: NoteCancelled, Submission: id, Route: j.submission.Route, Age: now.Sub(j.submission.AcceptedAt)})
	}
}

func (c *Cell) cancel(now time.Time, j *job) { c.finish(now, j, medlarsubmission.StateCancelled) }

// finish puts the job into a final state and stops what still runs.
func (c *Cell) finish(now time.Time, j *job, state medlarsubmission.State) {
	c.stopWaiting(j)
	j.started = true
	j.state, j.finishedAt = state, now
	c.hasIdle = true
	c.finished = append(c.finished, j)
	c.markDirty(j)
	j.eachRun(func(r *run) { c.stop(now, r) })
}

// State returns the state of a submission as its caller may see it.
func (c *Cell) State(id medlarsubmission.ID) (medlarsubmission.State, bool) {
	j, known := c.jobs[id]
	if !known {
		return "", false
	}
	if j.state.IsFinal() && j.durable != j.state && j.state != medlarsubmission.StateCancelled {
		return medlarsubmission.StateRunning, true
	}
	return j.state, true
}

// WorkerCount returns the number of known workers.
func (c *Cell) WorkerCount() int { return len(c.workers) }

// Waiting returns the number of accepted submissions of a route of which no task has started.
func (c *Cell) Waiting(route string) int { return c.waiting[route] }

// SetWorkers replaces the list of registered workers.
func (c *Cell) SetWorkers(now time.Time, workers []medlarorder.Worker) {
	listed := make(map[medlarwheel.WorkerID]bool, len(workers))
	for i := range workers {
		listed[workers[i].ID] = true
		c.SetWorker(now, workers[i])
	}
	for id := range c.workers {
		if !listed[id] {
			c.Unregister(now, id)
		}
	}
}

// RestoreFleet takes in the workers that the owner before this one has used. Those whose registration has gone may still
// run tasks, and have to report or lose their leases like all others.
func (c *Cell) RestoreFleet(now time.Time, fleet []medlarorder.Worker) {
	for _, info := range fleet {
		if c.workers[info.ID] == nil {
			// The life is left open: the worker may have restarted since.
			info.Incarnation = 0
			c.SetWorker(now, info)
			c.workers[info.ID].registered = false
		}
		c.workers[info.ID].recorded = true
	}
}

// SetWorker takes in the registration of a worker.
func (c *Cell) SetWorker(now time.Time, info medlarorder.Worker) {
	w := c.workers[info.ID]
	if w == nil {
		w = newWorker(info, c.fence, c.settleAt)
		w.centre = c.centres.of(info.DataCentre)
		c.workers[info.ID] = w
		c.sorted = nil
		c.joined = append(c.joined, info.ID)
		if c.settled {
			c.note(Note{Kind: NoteWorkerJoined, Worker: info.ID})
		}
	}
	if info.Draining && !w.info.Draining {
		c.note(Note{Kind: NoteWorkerDraining, Worker: info.ID, Age: info.Remaining})
	}
	address := w.info.Address
	w.registered = true
	if info.Incarnation < w.life {
		// An older registration than the worker's own report.
		return
	}
	w.info, w.centre = info, c.centres.of(info.DataCentre)
	c.misses.changed(w)
	if info.Incarnation != w.life {
		c.restarted(now, w, info.Incarnation)
	}
	if !w.holding || address != info.Address {
		c.hold(now, w, 0)
	}
}

// Unregister notes that the registration of a worker has gone. What runs there is kept while the worker answers.
func (c *Cell) Unregister(now time.Time, id medlarwheel.WorkerID) {
	w := c.workers[id]
	if w == nil || !w.registered {
		return
	}
	w.registered = false
	c.note(Note{Kind: NoteWorkerGone, Worker: id, Age: now.Sub(w.contact)})
}

// restarted drops what ran in an earlier life of the worker.
func (c *Cell) restarted(now time.Time, w *worker, life medlarorder.Incarnation) {
	known := w.life != 0
	w.life = life
	if !known {
		return
	}
	c.note(Note{Kind: NoteWorkerRestarted, Worker: w.info.ID, Count: len(w.runs)})
	for r := range w.runs {
		c.lose(now, r, lostRestart)
	}
	w.processed, w.acked, w.reported = 0, 0, false
	w.clockAt = time.Time{}
	w.failedJobs, w.rate = nil, 1
}

// Tick does what is due: leases that have ended, stops to send again, finished submissions to forget.
func (c *Cell) Tick(now time.Time) {
	c.trySettle(now)
	for id, w := range c.workers {
		if len(w.runs) > 0 && now.After(w.leaseEnd) {
			c.note(Note{Kind: NoteLeaseEnded, Worker: id, Count: len(w.runs), Age: now.Sub(w.contact)})
			for r := range w.runs {
				c.lose(now, r, lostLease)
			}
		}
		if !w.registered && len(w.runs) == 0 && now.Sub(w.contact) > 2*c.config.Lease && now.After(w.leaseEnd) {
			delete(c.workers, id)
			c.clearDoubt(w)
			w.holdDue = time.Time{}
			c.sorted = nil
			c.left = append(c.left, id)
			c.commands = append(c.commands, Command{Kind: CommandForget, Worker: id})
			continue
		}
		for r := range w.runs {
			if r.stopping && now.Sub(r.stopSentAt) > c.config.StopRetry {
				c.sendStop(now, r)
			}
		}
	}
	c.holdAcked(now)
	c.refit(now)
	c.recoverRates(now, now.Sub(c.tickedAt))
	c.tickedAt = now
	c.measure(now)
	c.noteWaits(now)
	c.forget(now)
}

func (c *Cell) forget(now time.Time) {
	kept := 0
	for kept < len(c.finished) && now.Sub(c.finished[kept].finishedAt) > c.config.KeepFinished {
		j := c.finished[kept]
		if j.dirty {
			break
		}
		delete(c.jobs, j.submission.ID)
		c.commands = append(c.commands, Command{Kind: CommandErase, Submission: j.submission.ID})
		kept++
	}
	c.finished = c.finished[kept:]
}
