package medlarcell

import "time"

// learn takes in the run time of a done task. (Estimates of later tasks follow it.)
func (c *Cell) learn(now time.Time, r *run) {
	took := now.Sub(r.confirmedAt)
	if r.confirmedAt.IsZero() || r.step.spec.Estimate <= 0 || took <= 0 {
		return
	}
	speed := r.step.spec.Estimate.Seconds() / took.Seconds()
	r.worker.rate += rateWeight * (min(speed, 2) - r.worker.rate)
}

// rateWeight is the weight of one task in the observed speed of a worker.
const rateWeight = 0.2

// observe reads the figures of the running tasks of a worker.
func (c *Cell) observe(now time.Time, w *worker) {
	var asked, used int64
	for r := range w.runs {
		if r.step.spec.Fills && r.usage >= 0 && r.pace == fullPace && now.Sub(r.confirmedAt) > usageWindow {
			asked += r.step.spec.Size.MilliCPU
			used += r.usage
		}
	}
	_ = asked
	_ = used
}

// usageWindow is the span over which workers average the use of a task.
const usageWindow = 500 * time.Millisecond
