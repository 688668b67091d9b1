package medlarcell

import (
	"time"

	"medlarwheel/internal/execution/medlarorder"
	"medlarwheel/internal/scheduling/medlarinterference"
)

// InterferenceConfig configures how serving tasks are protected from interference by best-effort tasks on the same
// worker. Utilisation here is the effective utilisation of a serving task, as the interference model defines it.
type InterferenceConfig struct {
	// PlaceMargin is how far below the utilisation at its tail target a serving task must stay when a best-effort task
	// is placed beside it. PaceMargin is the same for setting the pace of best-effort tasks.
	PlaceMargin, PaceMargin float64
	// TimelinessMargins is added to PlaceMargin, by the timeliness of the work to be placed: late work must not make
	// other work late.
	TimelinessMargins [3]float64
	// UtilisationWeight and TrendWeight are the weights of one report in the baseline utilisation of a serving task and
	// in its trend.
	UtilisationWeight, TrendWeight float64
	// MaxTrend bounds the trend, as a change per second.
	MaxTrend float64
	// Horizon is how far ahead utilisation is projected when a best-effort task is placed. It is about the task's run
	// time.
	Horizon time.Duration
	// DefaultBaselineUtilisation is assumed for serving tasks without reports.
	DefaultBaselineUtilisation float64
	// MinSampleSpan and MaxSampleSpan bound the time between two reports that are compared.
	MinSampleSpan, MaxSampleSpan time.Duration
	// SlowAfter and HaltAfter are how long a serving task may exceed its tail target before the best-effort tasks beside
	// it are slowed or halted, regardless of the model.
	SlowAfter, HaltAfter time.Duration
	// RaiseInterval is the minimum time between two increases of a pace, and RaiseStep the maximum size of one in
	// percent.
	RaiseInterval time.Duration
	RaiseStep     int
	// RefitInterval is the time between two fits of the model.
	RefitInterval time.Duration
	Model         medlarinterference.Config
}

// DefaultInterferenceConfig returns the configuration for workers that average metrics over half a second.
func DefaultInterferenceConfig() InterferenceConfig {
	return InterferenceConfig{
		PlaceMargin: 0.02, PaceMargin: 0.02, TimelinessMargins: [3]float64{0, 0.1, 0.2}, UtilisationWeight: 0.6, TrendWeight: 0.3, MaxTrend: 0.12,
		Horizon: 2 * time.Second, DefaultBaselineUtilisation: 0.5, MinSampleSpan: 300 * time.Millisecond,
		MaxSampleSpan: 2 * time.Second, SlowAfter: 700 * time.Millisecond,
		HaltAfter: 1500 * time.Millisecond, RaiseInterval: 600 * time.Millisecond, RaiseStep: 40,
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

// limit returns the utilisation at which a serving run reaches its tail target.
func (c *Cell) limit(r *run) float64 {
	return c.interferenceModel.UtilisationLimit(r.image(), r.step.spec.TailLatencyTarget)
}

// updateServingUtilisations updates the utilisation of the serving runs on a worker from their reported metrics, and
// sets the pace of the best-effort runs.
func (c *Cell) updateServingUtilisations(now time.Time, w *worker) {
	shares := w.shareHistory.averageShares(now, metricsWindow)
	for r := range w.runs {
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
	interference := 0.0
	for _, s := range shares {
		interference += s.Share * c.interferenceModel.Coefficient(s.Image, r.image())
	}
	baseline := utilisation - interference
	c.trackTailTarget(now, r, tail)
	span := now.Sub(r.utilisationObservedAt)
	switch {
	case !r.hasBaseline || span > config.MaxSampleSpan:
		r.baselineUtilisation, r.baselineTrend, r.hasBaseline = baseline, 0, true
	case span < config.MinSampleSpan:
		return
	default:
		c.updateBaseline(r, utilisation, baseline, span, shares)
	}
	c.interferenceModel.ObserveBaseline(r.image(), baseline)
	r.observedUtilisation, r.utilisationObservedAt, r.observedShares = utilisation, now, shares
}

// updateBaseline updates the model, the baseline utilisation and its trend from the change since the last report.
func (c *Cell) updateBaseline(r *run, utilisation, baseline float64, span time.Duration, shares []medlarinterference.ImageShare) {
	config := &c.config.Interference
	if !c.interferenceModel.IsSaturated(utilisation) && !c.interferenceModel.IsSaturated(r.observedUtilisation) {
		if changes := shareChanges(shares, r.observedShares); len(changes) > 0 {
			c.interferenceModel.Observe(r.image(), utilisation-r.observedUtilisation-r.baselineTrend*span.Seconds(), changes)
		}
	}
	before := r.baselineUtilisation
	r.baselineUtilisation += config.UtilisationWeight * (baseline - r.baselineUtilisation)
	r.baselineTrend += config.TrendWeight * ((r.baselineUtilisation-before)/span.Seconds() - r.baselineTrend)
	r.baselineTrend = min(max(r.baselineTrend, -config.MaxTrend), config.MaxTrend)
}

// expectedUtilisation returns the highest baseline utilisation that a serving run is expected to have while a
// best-effort task runs.
func (c *Cell) expectedUtilisation(r *run) float64 {
	if !r.hasBaseline {
		return c.config.Interference.DefaultBaselineUtilisation
	}
	ahead := r.baselineUtilisation + max(0, r.baselineTrend)*c.config.Interference.Horizon.Seconds()
	return max(r.baselineUtilisation, min(ahead, c.interferenceModel.BaselineUtilisation(r.image())))
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
	for r := range w.runs {
		if r.step.spec.BestEffort && !r.stopping {
			runs = append(runs, r)
		}
	}
	return runs
}

// setPaces slows best-effort runs as far as the serving runs beside them need to stay below their tail targets.
func (c *Cell) setPaces(now time.Time, w *worker, bestEffort []*run) {
	wanted := make([]float64, len(bestEffort))
	for i := range wanted {
		wanted[i] = 1
	}
	for r := range w.runs {
		if !r.isServing() || !r.hasBaseline {
			continue
		}
		allowed := c.allowedPace(now, r, bestEffort)
		for i, b := range bestEffort {
			if b.cpuShare()*c.interferenceModel.Coefficient(b.image(), r.image()) > negligibleInterference || allowed == 0 {
				wanted[i] = min(wanted[i], allowed)
			}
		}
	}
	for i, b := range bestEffort {
		c.setPace(now, b, int(wanted[i]*fullPace))
	}
}

// negligibleInterference is the rise of utilisation up to which a best-effort run is not slowed.
const negligibleInterference = 0.01

// allowedPace returns the share of full pace that best-effort runs may keep beside a serving run.
func (c *Cell) allowedPace(now time.Time, r *run, bestEffort []*run) float64 {
	config := &c.config.Interference
	interference := 0.0
	for _, b := range bestEffort {
		interference += b.cpuShare() * c.interferenceModel.Coefficient(b.image(), r.image())
	}
	allowed := 1.0
	if headroom := c.limit(r) - config.PaceMargin - r.baselineUtilisation; interference > headroom {
		allowed = max(0, headroom) / interference
	}
	if !r.overTargetSince.IsZero() {
		switch over := now.Sub(r.overTargetSince); {
		case over >= config.HaltAfter:
			allowed = 0
		case over >= config.SlowAfter:
			allowed = min(allowed, slowedPaceShare)
		}
	}
	return allowed
}

// slowedPaceShare is the share of full pace that best-effort runs keep beside a serving run that exceeds its target for
// longer than SlowAfter.
const slowedPaceShare = 0.3

// paceGranularity is the smallest change of a pace, in percent, for which an order is sent.
const paceGranularity = 10

// setPace orders a new pace for a run. It lowers the pace at once and raises it in steps.
func (c *Cell) setPace(now time.Time, r *run, percent int) {
	percent -= percent % paceGranularity
	config := &c.config.Interference
	if percent > r.pace {
		if now.Sub(r.pacedAt) < config.RaiseInterval {
			return
		}
		percent = min(percent, r.pace+config.RaiseStep)
	}
	if percent == r.pace || r.phase != runConfirmed {
		return
	}
	r.updateRunTime(now)
	r.pace, r.pacedAt = percent, now
	r.worker.shareHistory.changePace(now, r)
	c.commands = append(c.commands, Command{
		Kind: CommandPace, Worker: r.worker.info.ID, Address: r.worker.info.Address,
		Pace: medlarorder.Pace{Task: r.name(), Run: r.number, Fence: r.worker.fence, Percent: percent},
	})
}

// fitModel fits the interference model to the observations since the last fit.
func (c *Cell) fitModel(now time.Time) {
	if now.Sub(c.modelFittedAt) >= c.config.Interference.RefitInterval {
		c.modelFittedAt = now
		c.interferenceModel.Refit()
	}
}

// servingHeadroom is how far the utilisation of the serving runs of one image on a worker may rise.
type servingHeadroom struct {
	image medlarinterference.Image
	// count is the number of runs, and headroom the smallest headroom among them.
	count    int
	headroom float64
}

// updateHeadrooms computes how far one more best-effort task may raise the utilisation of the serving runs on a worker.
func (c *Cell) updateHeadrooms(w *worker) {
	w.headrooms, w.headroomsStale = w.headrooms[:0], false
	if w.longRunningCPU == 0 {
		return
	}
	bestEffort := w.bestEffortRuns()
	for r := range w.runs {
		if r.isServing() {
			c.addHeadroom(w, r.image(), c.headroomOf(r, bestEffort))
		}
	}
}

func (c *Cell) headroomOf(r *run, bestEffort []*run) float64 {
	headroom := c.limit(r) - c.config.Interference.PlaceMargin - c.expectedUtilisation(r)
	for _, b := range bestEffort {
		headroom -= b.cpuShare() * c.interferenceModel.Coefficient(b.image(), r.image())
	}
	return headroom
}

func (c *Cell) addHeadroom(w *worker, image medlarinterference.Image, headroom float64) {
	for i := range w.headrooms {
		if w.headrooms[i].image == image {
			w.headrooms[i].count++
			w.headrooms[i].headroom = min(w.headrooms[i].headroom, headroom)
			return
		}
	}
	w.headrooms = append(w.headrooms, servingHeadroom{image: image, count: 1, headroom: headroom})
}

// interferenceOf returns by how much a best-effort task of the step would raise the utilisation of the serving runs on a
// worker in total, and whether all of them would stay below their targets.
func (c *Cell) interferenceOf(s *step, w *worker) (total float64, ok bool) {
	if w.headroomsStale {
		c.updateHeadrooms(w)
	}
	image := medlarinterference.Image(s.spec.Image)
	share := s.cpuShareOn(w)
	for i := range w.headrooms {
		rise := share * c.interferenceModel.Coefficient(image, w.headrooms[i].image)
		if rise > w.headrooms[i].headroom-c.config.Interference.TimelinessMargins[s.rank.Timeliness] {
			return 0, false
		}
		total += rise * float64(w.headrooms[i].count)
	}
	return total, true
}
