package medlarcell

import "time"

// WorkerSpeedConfig configures how slow and hanging workers are distinguished from slow tasks.
type WorkerSpeedConfig struct {
	// MinSpan is the minimum time between two progress reports that are compared.
	MinSpan time.Duration
	// SpeedWeight is the weight of one comparison in the observed speed of a worker.
	SpeedWeight float64
	// SlowThreshold is the speed, relative to the mean of all workers, below which a worker counts as slow. Estimates
	// are off by up to a half, so a normal worker may show half of the mean speed for a while.
	SlowThreshold float64
	// MeanSpeedWeight is the weight of one comparison in the mean speed of all workers.
	MeanSpeedWeight float64
	// RecoveryTime is the time in which the speed of a worker without comparisons recovers to normal.
	RecoveryTime time.Duration
	// MinAge is the minimum age of a run that is moved away from a slow worker.
	MinAge time.Duration
	// MaxMoves bounds how often a task is moved or copied.
	MaxMoves int
}

// DefaultWorkerSpeedConfig returns the configuration for tasks of about a second and workers that report twice a second.
func DefaultWorkerSpeedConfig() WorkerSpeedConfig {
	return WorkerSpeedConfig{
		MinSpan: 350 * time.Millisecond, SpeedWeight: 0.3, SlowThreshold: 0.35, MeanSpeedWeight: 0.005, RecoveryTime: 8 * time.Second,
		MinAge: 700 * time.Millisecond, MaxMoves: 2,
	}
}

// maxObservedSpeed bounds the speed that is taken from one comparison.
const maxObservedSpeed = 2

// observeRunSpeed updates the speed of a worker from the run time of a completed run.
func (c *Cell) observeRunSpeed(now time.Time, r *run) {
	took := now.Sub(r.confirmedAt)
	expected := c.expectedRunTimeOf(r)
	if r.confirmedAt.IsZero() || expected <= 0 || took <= 0 || r.step.spec.BestEffort || r.wasOnColdWorker() {
		return
	}
	c.observeSpeed(now, r.worker, expected.Seconds()/took.Seconds())
}

// observeSpeed updates the speed of a worker from that of one run, which is the ratio of its expected run time to the
// actual one. Speeds are relative to the mean of all workers, since the estimates of a whole route may be wrong.
func (c *Cell) observeSpeed(now time.Time, w *worker, speed float64) {
	config := &c.config.WorkerSpeed
	speed = min(speed, maxObservedSpeed)
	// The first comparisons have more weight, so that the mean does not depend on its initial value.
	c.speedSamples++
	c.meanSpeed += max(config.MeanSpeedWeight, 1/float64(c.speedSamples)) * (speed - c.meanSpeed)
	w.relativeSpeed += config.SpeedWeight * (speed/max(c.meanSpeed, minRelativeSpeed) - w.relativeSpeed)
	w.speedObservedAt = now
}

// isSlow reports whether the worker's tasks run much slower than estimated.
func (w *worker) isSlow(c *Config) bool { return w.relativeSpeed < c.WorkerSpeed.SlowThreshold }

// checkProgress compares the progress of the runs on a worker with their estimates, and moves tasks away if the worker
// is slow.
func (c *Cell) checkProgress(now time.Time, w *worker) {
	wasSlow := w.isSlow(&c.config)
	for _, r := range w.runs {
		if r.step.spec.LongRunning || r.phase != runConfirmed || r.step.predictedRunTime <= 0 {
			continue
		}
		c.sampleProgress(now, r)
	}
	if w.isSlow(&c.config) != wasSlow {
		c.emit(Event{Kind: EventWorkerSpeed, Worker: w.info.ID, Count: int(w.relativeSpeed * 100), Age: now.Sub(w.lastContact)})
	}
	if !w.isSlow(&c.config) {
		return
	}
	for _, r := range w.runs {
		if c.isStuck(now, r) {
			c.move(now, r)
		}
	}
}

// sampleProgress updates the speed of a worker from the progress of a run since the last comparison.
func (c *Cell) sampleProgress(now time.Time, r *run) {
	if r.sampledProgressAt.IsZero() || r.pace != r.sampledPace {
		r.sampledProgressAt, r.sampledPercent, r.sampledPace = now, r.progressPercent, r.pace
		return
	}
	span := now.Sub(r.sampledProgressAt)
	if span < c.config.WorkerSpeed.MinSpan {
		return
	}
	done := float64(r.progressPercent-r.sampledPercent) / fullPace
	r.sampledProgressAt, r.sampledPercent = now, r.progressPercent
	if r.pace < fullPace || r.step.spec.BestEffort && !r.hasRequestedCPU() {
		// The run is throttled or short of CPU, which says nothing about the worker.
		return
	}
	// A cold worker that is as slow as expected has no fault.
	c.observeSpeed(now, r.worker, done*c.expectedRunTimeOf(r).Seconds()/span.Seconds())
}

// hasRequestedCPU reports whether a best-effort run gets most of the CPU that it asks for.
func (r *run) hasRequestedCPU() bool {
	const most = 0.8
	return r.usage >= 0 && float64(r.usage) >= most*float64(r.step.spec.Size.MilliCPU)
}

// isStuck reports whether a run on a slow worker should be started elsewhere.
func (c *Cell) isStuck(now time.Time, r *run) bool {
	spec := r.step.spec
	if spec.LongRunning || spec.Gang || r.stopping || r.phase != runConfirmed || r.pace < fullPace || r.step.predictedRunTime <= 0 {
		return false
	}
	age := now.Sub(r.confirmedAt)
	if age < c.config.WorkerSpeed.MinAge || r.task().moves >= c.config.WorkerSpeed.MaxMoves || len(r.task().runs) > 1 {
		return false
	}
	// The remaining work at the worker's speed must take more than twice as long as the whole task elsewhere.
	expected := r.step.expectedRunTime().Seconds()
	remaining := c.expectedRunTimeOf(r).Seconds() * float64(fullPace-r.progressPercent) / fullPace / max(r.worker.relativeSpeed, minRelativeSpeed)
	return remaining > 2*expected
}

// minRelativeSpeed keeps the expected remaining time of a hanging run finite.
const minRelativeSpeed = 0.02

// move starts a speculative copy of a run elsewhere if the step allows copies, and otherwise stops the run, so that it
// is started again.
func (c *Cell) move(now time.Time, r *run) {
	t := r.task()
	if t.waiting {
		// A copy already waits for a worker.
		return
	}
	t.moves++
	t.avoidWorker = r.worker.info.ID
	c.emit(Event{Kind: EventTaskMoved, Task: r.name(), Run: r.number, Worker: r.worker.info.ID, Count: r.progressPercent, Age: now.Sub(r.confirmedAt)})
	if !r.step.spec.Speculative {
		c.stop(now, r)
		return
	}
	t.waiting = true
	r.step.ready = append(r.step.ready, r.index)
	c.enqueue(now, r.step)
}

// recoverSpeeds raises the speed of workers without recent comparisons towards normal.
func (c *Cell) recoverSpeeds(now time.Time, elapsed time.Duration) {
	for _, w := range c.workers {
		if w.relativeSpeed < 1 && now.Sub(w.speedObservedAt) > time.Second {
			w.relativeSpeed = min(1, w.relativeSpeed+elapsed.Seconds()/c.config.WorkerSpeed.RecoveryTime.Seconds())
		}
	}
}
