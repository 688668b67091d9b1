package medlarcell

import (
	"medlarwheel/internal/scheduling/medlarinterference"
	"medlarwheel/internal/scheduling/medlarrank"
)

// Headrooms decide where best-effort work is placed. They answer two loads: with little work, each task is placed where
// peaks of the serving tasks do no harm; in a burst, work is placed as long as it is worth more than the harm.

// servingHeadroom is how far the utilisation of the serving runs of one image on a worker may rise.
type servingHeadroom struct {
	image medlarinterference.Image
	// runs holds the headroom of each run and the harm of pushing it over its target. smallest is the smallest headroom.
	runs     []runHeadroom
	smallest float64
}

// runHeadroom is the headroom of one serving run, and what is lost while it exceeds its target.
type runHeadroom struct{ headroom, harm float64 }

// updateHeadrooms computes how far one more best-effort task may raise the utilisation of the serving runs on a worker.
func (c *Cell) updateHeadrooms(w *worker) {
	w.headrooms, w.headroomsStale = w.headrooms[:0], false
	if w.longRunningCPU == 0 {
		return
	}
	bestEffort := w.bestEffortRuns()
	for _, r := range w.runs {
		if r.isServing() {
			w.addHeadroom(r.image(), runHeadroom{headroom: c.headroomOf(r, bestEffort), harm: c.harmOf(r)})
		}
	}
}

// headroomOf returns how far the utilisation of a serving run may rise above that which it is expected to have beside the
// best-effort runs on its worker.
func (c *Cell) headroomOf(r *run, bestEffort []*run) float64 {
	headroom := c.limit(r) - c.config.Interference.PlaceMargin - c.expectedUtilisation(c.passStartedAt, r)
	for _, b := range bestEffort {
		headroom -= c.riseOf(b, r) * float64(b.maxPace()) / fullPace
	}
	return headroom
}

// addHeadroom adds a run to those of its image.
func (w *worker) addHeadroom(image medlarinterference.Image, run runHeadroom) {
	for i := range w.headrooms {
		if h := &w.headrooms[i]; h.image == image {
			h.runs = append(h.runs, run)
			h.smallest = min(h.smallest, run.headroom)
			return
		}
	}
	w.headrooms = append(w.headrooms, servingHeadroom{image: image, runs: []runHeadroom{run}, smallest: run.headroom})
}

// interferenceCost returns the cost of the effect that a best-effort task of the step would have on the serving runs of a
// worker, as a part of a score, and whether that effect is acceptable.
func (c *Cell) interferenceCost(s *step, w *worker) (cost float64, ok bool) {
	cost, harm, ok := c.interferenceOn(s, w)
	return cost, ok && c.isHarmAcceptable(s, harm)
}

// interferenceOn returns the cost of the effect that a best-effort task of the step would have on the serving runs of a worker,
// what is lost by those that exceed their targets because of it, in cores of best-effort work, and whether all of them would
// stay below their targets at their expected load.
func (c *Cell) interferenceOn(s *step, w *worker) (cost, harm float64, ok bool) {
	if w.headroomsStale {
		c.updateHeadrooms(w)
	}
	image := medlarinterference.Image(s.spec.Image)
	share := s.cpuShareOn(w)
	totalRise := 0.0
	for i := range w.headrooms {
		h := &w.headrooms[i]
		rise := share * c.interferenceModel.Coefficient(image, h.image)
		if rise > h.smallest {
			return 0, 0, false
		}
		totalRise += rise * float64(len(h.runs))
		for _, r := range h.runs {
			harm += r.harm * (c.loadDeviations.Exceeding(r.headroom-rise) - c.loadDeviations.Exceeding(r.headroom))
		}
	}
	harmShare := harm * milli / float64(max(1, w.info.Capacity.MilliCPU))
	return interferencePenalty*totalRise + harmPenalty*harmShare, harm, true
}

// isHarmAcceptable reports whether a task of the step may do that harm to serving runs.
func (c *Cell) isHarmAcceptable(s *step, harm float64) bool {
	return harm <= c.acceptableHarm(s)
}

// acceptableHarm returns the harm that a task of the step may do to serving runs.
func (c *Cell) acceptableHarm(s *step) float64 {
	return c.maxHarm(s) * float64(s.spec.Size.MilliCPU) / milli
}

// maxHarm returns the expected harm that a task of the step may do, as a share of its own CPU.
func (c *Cell) maxHarm(s *step) float64 {
	return c.config.Interference.MaxHarm[c.harmTimeliness(s)]
}

// harmTimeliness returns the timeliness by which the harm of the step is limited. A step that has waited for MaxDeferral counts as in time.
func (c *Cell) harmTimeliness(s *step) medlarrank.Timeliness {
	if c.passStartedAt.Sub(s.readySince) > c.config.Interference.MaxDeferral {
		return medlarrank.TimelinessInTime
	}
	return s.rank.Timeliness
}
