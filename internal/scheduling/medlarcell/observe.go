package medlarcell

import "time"

// learn takes in the run time of a done task.
func (c *Cell) learn(now time.Time, r *run) {
	took := now.Sub(r.confirmedAt)
	if r.confirmedAt.IsZero() || r.step.spec.Estimate <= 0 || took <= 0 {
		return
	}
	speed := r.step.spec.Estimate.Seconds() / took.Seconds()
	r.worker.rate += rateWeight * (min(speed, maxRate) - r.worker.rate)
}

const (
	// rateWeight is the weight of one task in the observed speed of a worker.
	rateWeight = 0.2
	// maxRate bounds the speed that one short task may show.
	maxRate = 2
)
