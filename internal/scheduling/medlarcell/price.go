package medlarcell

import (
	"time"

	"medlarwheel/internal/scheduling/medlarinterference"
)

// maxCompatibleCoefficient is the pressure up to which a filling image is taken to suit a serving image. Pressures lie well below or
// well above it.
const maxCompatibleCoefficient = 0.4

// opportunityCostInterval is how often the prices of workers are computed anew.
const opportunityCostInterval = 200 * time.Millisecond

// demand is the filling work of one image that waits or runs, and the room on workers that suit it.
type demand struct {
	image         medlarinterference.Image
	waitingCPU    float64
	compatibleCPU float64
}

// updateOpportunityCosts computes what it costs others to place filling work on each worker: the demand of every image that the
// worker suits, against the room that the image has on all workers. An image that suits few workers thus keeps them from
// images that suit many.
func (c *Cell) updateOpportunityCosts(now time.Time) {
	if now.Sub(c.opportunityCostsAt) < opportunityCostInterval {
		return
	}
	c.opportunityCostsAt = now
	demands := c.bestEffortDemands()
	for _, w := range c.workers {
		w.opportunityCost = 0
		if !w.isUsable(now, &c.config) {
			continue
		}
		if w.headroomsStale {
			c.updateHeadrooms(w)
		}
		room := float64(c.unusedCPU(w)) / milli
		for i := range demands {
			if c.isCompatible(demands[i].image, w) {
				demands[i].compatibleCPU += max(0, room)
			}
		}
	}
	c.scarcity = map[medlarinterference.Image]float64{}
	for _, d := range demands {
		c.scarcity[d.image] = d.waitingCPU / max(1, d.compatibleCPU)
	}
	for _, w := range c.workers {
		for image, shortage := range c.scarcity {
			if c.isCompatible(image, w) {
				w.opportunityCost += shortage
			}
		}
	}
}

// bestEffortDemands sums the waiting filling work by image, in cores.
func (c *Cell) bestEffortDemands() []demand {
	index := map[medlarinterference.Image]int{}
	var demands []demand
	for _, s := range c.queue {
		if !s.spec.BestEffort || len(s.ready) == 0 {
			continue
		}
		image := medlarinterference.Image(s.spec.Image)
		i, known := index[image]
		if !known {
			i = len(demands)
			index[image] = i
			demands = append(demands, demand{image: image})
		}
		demands[i].waitingCPU += float64(len(s.ready)) * float64(s.spec.Size.MilliCPU) / milli
	}
	return demands
}

// isCompatible reports whether filling work of the image does little harm to the serving tasks on a worker.
func (c *Cell) isCompatible(image medlarinterference.Image, w *worker) bool {
	for i := range w.headrooms {
		if c.interferenceModel.Coefficient(image, w.headrooms[i].image) > maxCompatibleCoefficient {
			return false
		}
	}
	return true
}

// opportunityCostForOthers returns the part of a worker's price that is due to other images than that of the step.
func (c *Cell) opportunityCostForOthers(s *step, w *worker) float64 {
	image := medlarinterference.Image(s.spec.Image)
	if shortage, waiting := c.scarcity[image]; waiting && c.isCompatible(image, w) {
		return w.opportunityCost - shortage
	}
	return w.opportunityCost
}
