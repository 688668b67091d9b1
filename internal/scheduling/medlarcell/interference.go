package medlarcell

import (
	"time"

	"medlarwheel/internal/scheduling/medlarinterference"
)

// InterferenceConfig configures how serving tasks are protected from interference by best-effort tasks on the same
// worker. Utilisation here is the effective utilisation of a serving task, as the interference model defines it.
type InterferenceConfig struct {
	// PlaceMargin is how far below the utilisation at its tail target a serving task must stay when a best-effort task
	// is placed beside it. PaceMargin is the same for setting the pace of best-effort tasks.
	PlaceMargin, PaceMargin float64
	// MaxHarm is the expected harm that a best-effort task may do to serving tasks, as a share of its own CPU, by the
	// timeliness of the work to be placed: late work must not make other work late.
	MaxHarm [3]float64
	// MaxDeferral is how long a step with late work waits for a place where it does less harm than other work may do.
	// Without a bound it could wait for ever beside loaded serving tasks.
	MaxDeferral time.Duration
	// LoadTrend configures the estimate of the load that the serving tasks of a step share.
	LoadTrend medlarinterference.TrendConfig
	// PriorDeviation is the expected deviation of a serving task above that load, before any report.
	PriorDeviation float64
	// Horizon is how far ahead utilisation is projected when a best-effort task is placed. It is about the task's run
	// time.
	Horizon time.Duration
	// DefaultBaselineUtilisation is assumed for serving tasks without reports.
	DefaultBaselineUtilisation float64
	// MinSampleSpan and MaxSampleSpan bound the time between two reports that are compared.
	MinSampleSpan, MaxSampleSpan time.Duration
	// HarmFactor times the CPU of a serving task is the best-effort CPU that is worth as much as keeping that task below
	// its tail target. A serving task over its target because of the work beside it costs four times what it earns, and
	// a core of best-effort work is worth about three of its cores.
	HarmFactor float64
	// HaltAfter is how long a serving task may exceed its tail target before the best-effort tasks beside it are halted,
	// regardless of the model.
	HaltAfter time.Duration
	// RaiseInterval is the minimum time between two changes of a pace of which the second is an increase.
	RaiseInterval time.Duration
	// RefitInterval is the time between two fits of the model.
	RefitInterval time.Duration
	Model         medlarinterference.Config
}

// DefaultInterferenceConfig returns the configuration for workers that average metrics over half a second.
func DefaultInterferenceConfig() InterferenceConfig {
	return InterferenceConfig{
		MaxHarm: [3]float64{0.6, 0.3, 0.1}, MaxDeferral: 8 * time.Second,
		LoadTrend: medlarinterference.DefaultTrendConfig(), PriorDeviation: 0.03,
		Horizon: 2 * time.Second, DefaultBaselineUtilisation: 0.5, MinSampleSpan: 300 * time.Millisecond,
		MaxSampleSpan: 2 * time.Second, HarmFactor: 1.3,
		HaltAfter: 1500 * time.Millisecond, RaiseInterval: 300 * time.Millisecond,
		RefitInterval: time.Second, Model: medlarinterference.DefaultConfig(),
	}
}

func (r *run) isServing() bool { return r.step.spec.LongRunning && r.step.spec.TailLatencyTarget > 0 }

func (r *run) image() medlarinterference.Image { return medlarinterference.Image(r.step.spec.Image) }

// cpuShare returns the share of the worker's CPU that a best-effort run asks for at full pace.
func (r *run) cpuShare() float64 { return r.step.cpuShareOn(r.worker) }

// cpuShareOn returns the share of the worker's CPU that a task of the step asks for.
func (s *step) cpuShareOn(w *worker) float64 {
	return float64(s.spec.Size.MilliCPU) / float64(max(1, w.info.Capacity.MilliCPU))
}

// riseOf returns by how much a best-effort run raises the utilisation of a serving run on its worker at full pace.
func (c *Cell) riseOf(bestEffort, serving *run) float64 {
	return bestEffort.cpuShare() * c.interferenceModel.Coefficient(bestEffort.image(), serving.image())
}

// limit returns the utilisation at which a serving run reaches its tail target.
func (c *Cell) limit(r *run) float64 {
	return c.interferenceModel.UtilisationLimit(r.image(), r.step.spec.TailLatencyTarget)
}

// updateServingUtilisations updates the utilisation of the serving runs on a worker from their reported metrics, and
// sets the pace of the best-effort runs.
func (c *Cell) updateServingUtilisations(now time.Time, w *worker) {
	shares := w.shareHistory.averageShares(now, metricsWindow)
	for _, r := range w.runs {
		if r.isServing() && r.usage > 0 {
			c.observeServingRun(now, r, shares)
		}
	}
	w.headroomsStale = true
	if bestEffort := w.bestEffortRuns(); len(bestEffort) > 0 {
		c.setPaces(now, w, bestEffort)
	}
}

// observeServingRun updates a serving run from its tail latency and the best-effort shares over the same time.
func (c *Cell) observeServingRun(now time.Time, r *run, shares []medlarinterference.ImageShare) {
	config := &c.config.Interference
	tail := time.Duration(r.usage) * time.Millisecond
	utilisation := c.interferenceModel.Utilisation(r.image(), tail)
	baseline := utilisation
	for _, s := range shares {
		baseline -= s.Share * c.interferenceModel.Coefficient(s.Image, r.image())
	}
	c.trackTailTarget(now, r, tail)
	span := now.Sub(r.utilisationObservedAt)
	if r.hasLoad && span < config.MinSampleSpan {
		return
	}
	// A report covers the time of the metrics window before it.
	load, at := &r.step.load, now.Add(-metricsWindow/2)
	if r.hasLoad && span <= config.MaxSampleSpan && !c.interferenceModel.IsSaturated(utilisation) && !c.interferenceModel.IsSaturated(r.observedUtilisation) {
		if changes := shareChanges(shares, r.observedShares); len(changes) > 0 {
			c.interferenceModel.Observe(r.image(), utilisation-r.observedUtilisation-load.Slope(&config.LoadTrend)*span.Seconds(), changes)
		}
	}
	load.Observe(&config.LoadTrend, at, baseline)
	if !c.interferenceModel.IsSaturated(utilisation) {
		c.loadDeviations.Observe(baseline - load.At(&config.LoadTrend, at))
	}
	c.interferenceModel.ObserveBaseline(r.image(), baseline)
	r.hasLoad, r.observedUtilisation, r.utilisationObservedAt, r.observedShares = true, utilisation, now, shares
}

// expectedUtilisation returns the highest utilisation without interference that a serving run is expected to have while a
// best-effort task runs.
func (c *Cell) expectedUtilisation(now time.Time, r *run) float64 {
	if !r.step.load.HasObservations() {
		return c.config.Interference.DefaultBaselineUtilisation
	}
	config := &c.config.Interference
	current := r.step.load.At(&config.LoadTrend, now)
	ahead := r.step.load.At(&config.LoadTrend, now.Add(config.Horizon))
	return max(current, min(ahead, c.interferenceModel.BaselineUtilisation(r.image())))
}

// trackTailTarget records since when a serving run has exceeded its tail target.
func (c *Cell) trackTailTarget(now time.Time, r *run, tail time.Duration) {
	if tail < r.step.spec.TailLatencyTarget {
		r.overTargetSince = time.Time{}
		return
	}
	if r.overTargetSince.IsZero() {
		r.overTargetSince = now
		c.emit(Event{Kind: EventTailTargetExceeded, Task: r.name(), Run: r.number, Worker: r.worker.info.ID, Age: tail, Count: len(r.worker.runs)})
	}
}

func (w *worker) bestEffortRuns() []*run {
	var runs []*run
	for _, r := range w.runs {
		if r.step.spec.BestEffort && !r.stopping {
			runs = append(runs, r)
		}
	}
	return runs
}

// fitModel fits the interference model to the observations since the last fit.
func (c *Cell) fitModel(now time.Time) {
	if now.Sub(c.modelFittedAt) >= c.config.Interference.RefitInterval {
		c.modelFittedAt = now
		c.interferenceModel.Refit()
	}
}
