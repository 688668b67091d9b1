package medlarcell

import (
	"time"

	"medlarwheel/internal/execution/medlarorder"
	"medlarwheel/internal/scheduling/medlarinterference"
)

// InterferenceConfig configures how filling tasks are kept from harming the serving tasks beside them.
type InterferenceConfig struct {
	// PlaceMargin is how far below the level of its tail target a serving task must stay when a filling task is placed
	// beside it, and PaceMargin when the pace of filling tasks is set.
	PlaceMargin, PaceMargin float64
	// TimelinessMargins is added to PlaceMargin for work by what it can still reach: late work must not cost others theirs.
	TimelinessMargins [3]float64
	// UtilisationWeight and TrendWeight are the weights of a report in the level that a serving task has by itself and in its
	// trend.
	UtilisationWeight, TrendWeight float64
	// MaxTrend bounds the trend of a level in a second.
	MaxTrend float64
	// Horizon is how far ahead levels are projected when a filling task is placed: about its run time.
	Horizon time.Duration
	// DefaultBaselineUtilisation is taken for serving tasks without reports.
	DefaultBaselineUtilisation float64
	// MinSampleSpan and MaxSampleSpan bound the time between two reports that are compared.
	MinSampleSpan, MaxSampleSpan time.Duration
	// SlowAfter and HaltAfter are how long a serving task may be over its target before the filling tasks beside it are
	// slowed and halted whatever the model says.
	SlowAfter, HaltAfter time.Duration
	// RaiseInterval is the least time between two raises of a pace, and RaiseStep its size in percent.
	RaiseInterval time.Duration
	RaiseStep     int
	// RefitInterval is the time between two fits of the model.
	RefitInterval time.Duration
	Model         medlarinterference.Config
}

// DefaultInterferenceConfig returns the configuration for figures that workers average over half a second.
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

// cpuShare returns the part of the worker's processors that a filling run asks for at full pace.
func (r *run) cpuShare() float64 { return r.step.cpuShareOn(r.worker) }

// cpuShareOn returns the part of the worker's processors that a task of the step asks for.
func (s *step) cpuShareOn(w *worker) float64 {
	return float64(s.spec.Size.MilliCPU) / float64(max(1, w.info.Capacity.MilliCPU))
}

// limit returns the level at which a serving run reaches its tail target.
func (c *Cell) limit(r *run) float64 {
	return c.interferenceModel.UtilisationLimit(r.image(), r.step.spec.TailLatencyTarget)
}

// updateServingUtilisations takes in the figures of the serving tasks on a worker, and sets the pace of the filling ones.
func (c *Cell) updateServingUtilisations(now time.Time, w *worker) {
	shares := w.shareHistory.averageShares(now, metricsWindow)
	for r := range w.runs {
		if r.isServing() && r.usage > 0 {
			c.observeServingRun(now, r, shares)
		}
	}
	w.headroomsStale = true
	if fills := w.bestEffortRuns(); len(fills) > 0 {
		c.setPaces(now, w, fills)
	}
}

// observeServingRun takes in the tail latency of a serving run beside the filling shares of the same span.
func (c *Cell) observeServingRun(now time.Time, r *run, shares []medlarinterference.ImageShare) {
	config := &c.config.Interference
	tail := time.Duration(r.usage) * time.Millisecond
	level := c.interferenceModel.Utilisation(r.image(), tail)
	pressed := 0.0
	for _, s := range shares {
		pressed += s.Share * c.interferenceModel.Coefficient(s.Image, r.image())
	}
	own := level - pressed
	c.trackTailTarget(now, r, tail)
	span := now.Sub(r.utilisationObservedAt)
	switch {
	case !r.hasBaseline || span > config.MaxSampleSpan:
		r.baselineUtilisation, r.baselineTrend, r.hasBaseline = own, 0, true
	case span < config.MinSampleSpan:
		return
	default:
		c.updateBaseline(r, level, own, span, shares)
	}
	c.interferenceModel.ObserveBaseline(r.image(), own)
	r.observedUtilisation, r.utilisationObservedAt, r.observedShares = level, now, shares
}

// updateBaseline takes in the change of a serving run's level since its last report.
func (c *Cell) updateBaseline(r *run, level, own float64, span time.Duration, shares []medlarinterference.ImageShare) {
	config := &c.config.Interference
	if !c.interferenceModel.IsSaturated(level) && !c.interferenceModel.IsSaturated(r.observedUtilisation) {
		if changes := shareChanges(shares, r.observedShares); len(changes) > 0 {
			c.interferenceModel.Observe(r.image(), level-r.observedUtilisation-r.baselineTrend*span.Seconds(), changes)
		}
	}
	before := r.baselineUtilisation
	r.baselineUtilisation += config.UtilisationWeight * (own - r.baselineUtilisation)
	r.baselineTrend += config.TrendWeight * ((r.baselineUtilisation-before)/span.Seconds() - r.baselineTrend)
	r.baselineTrend = min(max(r.baselineTrend, -config.MaxTrend), config.MaxTrend)
}

// expectedUtilisation returns the highest level that a serving run is expected to have by itself while a filling task runs.
func (c *Cell) expectedUtilisation(r *run) float64 {
	if !r.hasBaseline {
		return c.config.Interference.DefaultBaselineUtilisation
	}
	ahead := r.baselineUtilisation + max(0, r.baselineTrend)*c.config.Interference.Horizon.Seconds()
	return max(r.baselineUtilisation, min(ahead, c.interferenceModel.BaselineUtilisation(r.image())))
}

// trackTailTarget notes since when a serving run is over its target.
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
	var fills []*run
	for r := range w.runs {
		if r.step.spec.BestEffort && !r.stopping {
			fills = append(fills, r)
		}
	}
	return fills
}

// setPaces slows filling tasks so far that the serving tasks beside them stay below their targets.
func (c *Cell) setPaces(now time.Time, w *worker, fills []*run) {
	wanted := make([]float64, len(fills))
	for i := range wanted {
		wanted[i] = 1
	}
	for r := range w.runs {
		if !r.isServing() || !r.hasBaseline {
			continue
		}
		allowed := c.allowedPace(now, r, fills)
		for i, f := range fills {
			if f.cpuShare()*c.interferenceModel.Coefficient(f.image(), r.image()) > negligibleInterference || allowed == 0 {
				wanted[i] = min(wanted[i], allowed)
			}
		}
	}
	for i, f := range fills {
		c.setPace(now, f, int(wanted[i]*fullPace))
	}
}

// negligibleInterference is the rise of a level below which a filling task is left alone.
const negligibleInterference = 0.01

// allowedPace returns the part of their speed that filling runs may keep beside a serving run.
func (c *Cell) allowedPace(now time.Time, r *run, fills []*run) float64 {
	config := &c.config.Interference
	pressed := 0.0
	for _, f := range fills {
		pressed += f.cpuShare() * c.interferenceModel.Coefficient(f.image(), r.image())
	}
	allowed := 1.0
	if room := c.limit(r) - config.PaceMargin - r.baselineUtilisation; pressed > room {
		allowed = max(0, room) / pressed
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

// slowedPaceShare is the share of their speed that filling tasks keep beside a serving task that stays over its target.
const slowedPaceShare = 0.3

// paceGranularity is the least change of a pace, in percent, that is worth an order.
const paceGranularity = 10

// setPace orders the pace of a run, lowering it at once and raising it in steps.
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

// fitModel fits the model to the observations since the last time.
func (c *Cell) fitModel(now time.Time) {
	if now.Sub(c.modelFittedAt) >= c.config.Interference.RefitInterval {
		c.modelFittedAt = now
		c.interferenceModel.Refit()
	}
}

// servingHeadroom is how far the levels of the serving runs of one image on a worker may rise.
type servingHeadroom struct {
	image medlarinterference.Image
	// count is the number of runs, and room the least room of them.
	count    int
	headroom float64
}

// updateHeadrooms computes how far the levels of the serving tasks on a worker may rise by one more filling task.
func (c *Cell) updateHeadrooms(w *worker) {
	w.headrooms, w.headroomsStale = w.headrooms[:0], false
	if w.longRunningCPU == 0 {
		return
	}
	fills := w.bestEffortRuns()
	for r := range w.runs {
		if r.isServing() {
			c.addHeadroom(w, r.image(), c.headroomOf(r, fills))
		}
	}
}

func (c *Cell) headroomOf(r *run, fills []*run) float64 {
	room := c.limit(r) - c.config.Interference.PlaceMargin - c.expectedUtilisation(r)
	for _, f := range fills {
		room -= f.cpuShare() * c.interferenceModel.Coefficient(f.image(), r.image())
	}
	return room
}

func (c *Cell) addHeadroom(w *worker, image medlarinterference.Image, room float64) {
	for i := range w.headrooms {
		if w.headrooms[i].image == image {
			w.headrooms[i].count++
			w.headrooms[i].headroom = min(w.headrooms[i].headroom, room)
			return
		}
	}
	w.headrooms = append(w.headrooms, servingHeadroom{image: image, count: 1, headroom: room})
}

// interferenceOf returns by how much a filling task of the step would raise the levels of the serving tasks on a worker, and
// whether all of them would stay below their targets.
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
