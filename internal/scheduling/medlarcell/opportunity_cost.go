package medlarcell

import (
	"time"

	"medlarwheel/internal/scheduling/medlarinterference"
)

// maxCompatibleCoefficient is the interference coefficient up to which a best-effort image counts as compatible with a
// serving image. Coefficients lie well below or well above it.
const maxCompatibleCoefficient = 0.4

// opportunityCostInterval is the time between two updates of the opportunity costs.
const opportunityCostInterval = 200 * time.Millisecond

// demand is the waiting best-effort work of one image and the free capacity of the workers that are compatible with it,
// in cores.
type demand struct {
	image         medlarinterference.Image
	waitingCPU    float64
	compatibleCPU float64
}

// updateOpportunityCosts computes the cost to other images of placing best-effort work on each worker: the sum, over the
// images that are compatible with the worker, of demand divided by the free capacity of all compatible workers. Work
// of images that are compatible with many workers thus avoids those that images with few compatible workers need.
func (c *Cell) updateOpportunityCosts(now time.Time) {
	if now.Sub(c.opportunityCostsAt) < opportunityCostInterval {
		return
	}
	c.opportunityCostsAt = now
	demands := c.bestEffortDemands()
	for _, w := range c.workers {
		w.opportunityCost = 0
		if !c.isUsable(now, w) {
			continue
		}
		if w.headroomsStale {
			c.updateHeadrooms(w)
		}
		unused := float64(c.unusedCPU(w)) / milli
		for i := range demands {
			if c.isCompatible(demands[i].image, w) {
				demands[i].compatibleCPU += max(0, unused)
			}
		}
	}
	c.scarcity = map[medlarinterference.Image]float64{}
	for _, d := range demands {
		c.scarcity[d.image] = d.waitingCPU / max(1, d.compatibleCPU)
	}
	for _, w := range c.workers {
		for image, scarcity := range c.scarcity {
			if c.isCompatible(image, w) {
				w.opportunityCost += scarcity
			}
		}
	}
}

// bestEffortDemands returns the waiting best-effort work by image, in cores.
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

// isCompatible reports whether best-effort work of the image interferes little with the serving tasks on a worker.
func (c *Cell) isCompatible(image medlarinterference.Image, w *worker) bool {
	for i := range w.headrooms {
		if c.interferenceModel.Coefficient(image, w.headrooms[i].image) > maxCompatibleCoefficient {
			return false
		}
	}
	return true
}

// opportunityCostForOthers returns the part of a worker's opportunity cost that is due to other images than that of the
// step.
func (c *Cell) opportunityCostForOthers(s *step, w *worker) float64 {
	image := medlarinterference.Image(s.spec.Image)
	if scarcity, waiting := c.scarcity[image]; waiting && c.isCompatible(image, w) {
		return w.opportunityCost - scarcity
	}
	return w.opportunityCost
}
