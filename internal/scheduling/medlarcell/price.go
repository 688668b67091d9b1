package medlarcell

import (
	"time"

	"medlarwheel/internal/scheduling/medlarinterference"
)

// lightPressure is the pressure up to which a filling image is taken to suit a serving image. Pressures lie well below or
// well above it.
const lightPressure = 0.4

// priceInterval is how often the prices of workers are computed anew.
const priceInterval = 200 * time.Millisecond

// demand is the filling work of one image that waits or runs, and the room on workers that suit it.
type demand struct {
	image  medlarinterference.Image
	wanted float64
	room   float64
}

// updatePrices computes what it costs others to place filling work on each worker: the demand of every image that the
// worker suits, against the room that the image has on all workers. An image that suits few workers thus keeps them from
// images that suit many.
func (c *Cell) updatePrices(now time.Time) {
	if now.Sub(c.pricedAt) < priceInterval {
		return
	}
	c.pricedAt = now
	demands := c.fillDemands()
	for _, w := range c.workers {
		w.price = 0
		if !w.isUsable(now, &c.config) {
			continue
		}
		if w.roomsStale {
			c.updateRooms(w)
		}
		room := float64(c.leftover(w)) / milli
		for i := range demands {
			if c.suits(demands[i].image, w) {
				demands[i].room += max(0, room)
			}
		}
	}
	c.shortages = map[medlarinterference.Image]float64{}
	for _, d := range demands {
		c.shortages[d.image] = d.wanted / max(1, d.room)
	}
	for _, w := range c.workers {
		for image, shortage := range c.shortages {
			if c.suits(image, w) {
				w.price += shortage
			}
		}
	}
}

// fillDemands sums the waiting filling work by image, in cores.
func (c *Cell) fillDemands() []demand {
	index := map[medlarinterference.Image]int{}
	var demands []demand
	for _, s := range c.queue {
		if !s.spec.Fills || len(s.ready) == 0 {
			continue
		}
		image := medlarinterference.Image(s.spec.Image)
		i, known := index[image]
		if !known {
			i = len(demands)
			index[image] = i
			demands = append(demands, demand{image: image})
		}
		demands[i].wanted += float64(len(s.ready)) * float64(s.spec.Size.MilliCPU) / milli
	}
	return demands
}

// suits reports whether filling work of the image does little harm to the serving tasks on a worker.
func (c *Cell) suits(image medlarinterference.Image, w *worker) bool {
	for i := range w.rooms {
		if c.pressure.Coefficient(image, w.rooms[i].image) > lightPressure {
			return false
		}
	}
	return true
}

// othersPrice returns the part of a worker's price that is due to other images than that of the step.
func (c *Cell) othersPrice(s *step, w *worker) float64 {
	image := medlarinterference.Image(s.spec.Image)
	if shortage, waiting := c.shortages[image]; waiting && c.suits(image, w) {
		return w.price - shortage
	}
	return w.price
}
