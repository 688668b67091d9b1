package medlarcell

import (
	"time"

	"medlarwheel"
	"medlarwheel/internal/scheduling/medlarforecast"
	"medlarwheel/internal/scheduling/medlarinterference"
)

// Learnt is what a cell has learnt, in a form that its next owner can start from.
type Learnt struct {
	Pressures medlarinterference.Snapshot `json:"pressures"`
	RunTimes  medlarforecast.Snapshot     `json:"run-times"`
}

// Check reports every fault of l.
func (l *Learnt) Check() medlarwheel.Faults {
	return append(l.Pressures.Check(), l.RunTimes.Check()...)
}

// Learnt returns what the cell has learnt.
func (c *Cell) Learnt() Learnt {
	return Learnt{Pressures: c.pressure.Snapshot(), RunTimes: c.runTimes.Snapshot()}
}

// RestoreLearnt starts from what the owner before has learnt. It comes before the submissions, whose run times it predicts.
func (c *Cell) RestoreLearnt(l Learnt) {
	c.pressure.Restore(l.Pressures)
	c.runTimes.Restore(l.RunTimes)
}

// work counts the time at the present pace in the run time at full pace.
func (r *run) work(now time.Time) {
	from := r.workedAt
	if from.IsZero() {
		from = r.confirmedAt
	}
	r.worked += now.Sub(from) * time.Duration(r.pace) / fullPace
	r.workedAt = now
}

// learnRunTime takes in the run time of a done run, and that of the step with its last one.
func (c *Cell) learnRunTime(now time.Time, r *run) {
	s := r.step
	if r.confirmedAt.IsZero() || s.spec.LongRunning {
		return
	}
	r.work(now)
	s.done++
	s.worked += r.worked
	s.longest = max(s.longest, r.worked)
	if s.done == len(s.tasks) {
		c.runTimes.Observe(s.occurrence.job.submission.Route, s.spec.Estimate, s.worked/time.Duration(s.done), s.longest)
	}
}

// minSiblings is the number of done tasks of a step from which on their mean run time says more than any prediction.
const minSiblings = 3

// runTime returns the run time that a task of the step is expected to have at full pace.
func (s *step) runTime() time.Duration {
	if s.done >= minSiblings {
		return s.worked / time.Duration(s.done)
	}
	return s.expected
}
