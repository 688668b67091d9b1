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
	// HopeMargins is added to PlaceMargin for work by what it can still reach: late work must not cost others theirs.
	HopeMargins [3]float64
	// LevelWeight and TrendWeight are the weights of a report in the level that a serving task has by itself and in its
	// trend.
	LevelWeight, TrendWeight float64
	// MaxTrend bounds the trend of a level in a second.
	MaxTrend float64
	// Horizon is how far ahead levels are projected when a filling task is placed: about its run time.
	Horizon time.Duration
	// UnknownOwnLevel is taken for serving tasks without reports.
	UnknownOwnLevel float64
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
		PlaceMargin: 0.02, PaceMargin: 0.02, HopeMargins: [3]float64{0, 0.1, 0.2}, LevelWeight: 0.6, TrendWeight: 0.3, MaxTrend: 0.12,
		Horizon: 2 * time.Second, UnknownOwnLevel: 0.5, MinSampleSpan: 300 * time.Millisecond,
		MaxSampleSpan: 2 * time.Second, SlowAfter: 700 * time.Millisecond,
		HaltAfter: 1500 * time.Millisecond, RaiseInterval: 600 * time.Millisecond, RaiseStep: 40,
		RefitInterval: time.Second, Model: medlarinterference.DefaultConfig(),
	}
}

func (r *run) isServing() bool { return r.step.spec.LongRunning && r.step.spec.TailTarget > 0 }

func (r *run) image() medlarinterference.Image { return medlarinterference.Image(r.step.spec.Image) }

// share returns the part of the worker's processors that a filling run asks for at full pace.
func (r *run) share() float64 { return r.step.shareOf(r.worker) }

// shareOf returns the part of the worker's processors that a task of the step asks for.
func (s *step) shareOf(w *worker) float64 {
	return float64(s.spec.Size.MilliCPU) / float64(max(1, w.info.Capacity.MilliCPU))
}

// limit returns the level at which a serving run reaches its tail target.
func (c *Cell) limit(r *run) float64 {
	return c.pressure.UtilisationLimit(r.image(), r.step.spec.TailTarget)
}

// observe takes in the figures of the serving tasks on a worker, and sets the pace of the filling ones.
func (c *Cell) observe(now time.Time, w *worker) {
	shares := w.history.average(now, figureWindow)
	for r := range w.runs {
		if r.isServing() && r.usage > 0 {
			c.observeServing(now, r, shares)
		}
	}
	w.roomsStale = true
	if fills := w.fills(); len(fills) > 0 {
		c.setPaces(now, w, fills)
	}
}

// observeServing takes in the tail latency of a serving run beside the filling shares of the same span.
func (c *Cell) observeServing(now time.Time, r *run, shares []medlarinterference.ImageShare) {
	config := &c.config.Interference
	tail := time.Duration(r.usage) * time.Millisecond
	level := c.pressure.Utilisation(r.image(), tail)
	pressed := 0.0
	for _, s := range shares {
		pressed += s.Share * c.pressure.Coefficient(s.Image, r.image())
	}
	own := level - pressed
	c.noteTarget(now, r, tail)
	span := now.Sub(r.sampledAt)
	switch {
	case !r.hasLevel || span > config.MaxSampleSpan:
		r.level, r.trend, r.hasLevel = own, 0, true
	case span < config.MinSampleSpan:
		return
	default:
		c.compare(r, level, own, span, shares)
	}
	c.pressure.ObserveBaseline(r.image(), own)
	r.sample, r.sampledAt, r.shares = level, now, shares
}

// compare takes in the change of a serving run's level since its last report.
func (c *Cell) compare(r *run, level, own float64, span time.Duration, shares []medlarinterference.ImageShare) {
	config := &c.config.Interference
	if !c.pressure.IsSaturated(level) && !c.pressure.IsSaturated(r.sample) {
		if changes := difference(shares, r.shares); len(changes) > 0 {
			c.pressure.Observe(r.image(), level-r.sample-r.trend*span.Seconds(), changes)
		}
	}
	before := r.level
	r.level += config.LevelWeight * (own - r.level)
	r.trend += config.TrendWeight * ((r.level-before)/span.Seconds() - r.trend)
	r.trend = min(max(r.trend, -config.MaxTrend), config.MaxTrend)
}

// expected returns the highest level that a serving run is expected to have by itself while a filling task runs.
func (c *Cell) expected(r *run) float64 {
	if !r.hasLevel {
		return c.config.Interference.UnknownOwnLevel
	}
	ahead := r.level + max(0, r.trend)*c.config.Interference.Horizon.Seconds()
	return max(r.level, min(ahead, c.pressure.BaselineUtilisation(r.image())))
}

// noteTarget notes since when a serving run is over its target.
func (c *Cell) noteTarget(now time.Time, r *run, tail time.Duration) {
	if tail < r.step.spec.TailTarget {
		r.overSince = time.Time{}
		return
	}
	if r.overSince.IsZero() {
		r.overSince = now
		c.note(Note{Kind: NoteTailExceeded, Task: r.name(), Run: r.number, Worker: r.worker.info.ID, Age: tail, Count: len(r.worker.runs)})
	}
}

func (w *worker) fills() []*run {
	var fills []*run
	for r := range w.runs {
		if r.step.spec.Fills && !r.stopping {
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
		if !r.isServing() || !r.hasLevel {
			continue
		}
		allowed := c.allowedShare(now, r, fills)
		for i, f := range fills {
			if f.share()*c.pressure.Coefficient(f.image(), r.image()) > minPressure || allowed == 0 {
				wanted[i] = min(wanted[i], allowed)
			}
		}
	}
	for i, f := range fills {
		c.setPace(now, f, int(wanted[i]*fullPace))
	}
}

// minPressure is the rise of a level below which a filling task is left alone.
const minPressure = 0.01

// allowedShare returns the part of their speed that filling runs may keep beside a serving run.
func (c *Cell) allowedShare(now time.Time, r *run, fills []*run) float64 {
	config := &c.config.Interference
	pressed := 0.0
	for _, f := range fills {
		pressed += f.share() * c.pressure.Coefficient(f.image(), r.image())
	}
	allowed := 1.0
	if room := c.limit(r) - config.PaceMargin - r.level; pressed > room {
		allowed = max(0, room) / pressed
	}
	if !r.overSince.IsZero() {
		switch over := now.Sub(r.overSince); {
		case over >= config.HaltAfter:
			allowed = 0
		case over >= config.SlowAfter:
			allowed = min(allowed, slowShare)
		}
	}
	return allowed
}

// slowShare is the share of their speed that filling tasks keep beside a serving task that stays over its target.
const slowShare = 0.3

// paceStep is the least change of a pace, in percent, that is worth an order.
const paceStep = 10

// setPace orders the pace of a run, lowering it at once and raising it in steps.
func (c *Cell) setPace(now time.Time, r *run, percent int) {
	percent -= percent % paceStep
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
	r.work(now)
	r.pace, r.pacedAt = percent, now
	r.worker.history.change(now, r)
	c.commands = append(c.commands, Command{
		Kind: CommandPace, Worker: r.worker.info.ID, Address: r.worker.info.Address,
		Pace: medlarorder.Pace{Task: r.name(), Run: r.number, Fence: r.worker.fence, Percent: percent},
	})
}

// refit fits the model to the observations since the last time.
func (c *Cell) refit(now time.Time) {
	if now.Sub(c.refitAt) >= c.config.Interference.RefitInterval {
		c.refitAt = now
		c.pressure.Refit()
	}
}

// serveRoom is how far the levels of the serving runs of one image on a worker may rise.
type serveRoom struct {
	image medlarinterference.Image
	// count is the number of runs, and room the least room of them.
	count int
	room  float64
}

// updateRooms computes how far the levels of the serving tasks on a worker may rise by one more filling task.
func (c *Cell) updateRooms(w *worker) {
	w.rooms, w.roomsStale = w.rooms[:0], false
	if w.serving == 0 {
		return
	}
	fills := w.fills()
	for r := range w.runs {
		if r.isServing() {
			c.addRoom(w, r.image(), c.roomOf(r, fills))
		}
	}
}

func (c *Cell) roomOf(r *run, fills []*run) float64 {
	room := c.limit(r) - c.config.Interference.PlaceMargin - c.expected(r)
	for _, f := range fills {
		room -= f.share() * c.pressure.Coefficient(f.image(), r.image())
	}
	return room
}

func (c *Cell) addRoom(w *worker, image medlarinterference.Image, room float64) {
	for i := range w.rooms {
		if w.rooms[i].image == image {
			w.rooms[i].count++
			w.rooms[i].room = min(w.rooms[i].room, room)
			return
		}
	}
	w.rooms = append(w.rooms, serveRoom{image: image, count: 1, room: room})
}

// harm returns by how much a filling task of the step would raise the levels of the serving tasks on a worker, and
// whether all of them would stay below their targets.
func (c *Cell) harm(s *step, w *worker) (total float64, ok bool) {
	if w.roomsStale {
		c.updateRooms(w)
	}
	image := medlarinterference.Image(s.spec.Image)
	share := s.shareOf(w)
	for i := range w.rooms {
		rise := share * c.pressure.Coefficient(image, w.rooms[i].image)
		if rise > w.rooms[i].room-c.config.Interference.HopeMargins[s.rank.Timeliness] {
			return 0, false
		}
		total += rise * float64(w.rooms[i].count)
	}
	return total, true
}
