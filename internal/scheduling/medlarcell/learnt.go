package medlarcell

import (
	"time"

	"medlarwheel"
	"medlarwheel/internal/scheduling/medlarforecast"
	"medlarwheel/internal/scheduling/medlarinterference"
)

// ModelSnapshot is what a cell has learnt, in a form that its next owner can start from.
type ModelSnapshot struct {
	Interference medlarinterference.Snapshot `json:"pressures"`
	RunTimes     medlarforecast.Snapshot     `json:"run-times"`
}

// Check reports every fault of l.
func (l *ModelSnapshot) Check() medlarwheel.Faults {
	return append(l.Interference.Check(), l.RunTimes.Check()...)
}

// SnapshotModels returns what the cell has learnt.
func (c *Cell) SnapshotModels() ModelSnapshot {
	return ModelSnapshot{Interference: c.interferenceModel.Snapshot(), RunTimes: c.runTimes.Snapshot()}
}

// RestoreModels starts from what the owner before has learnt. It comes before the submissions, whose run times it predicts.
func (c *Cell) RestoreModels(l ModelSnapshot) {
	c.interferenceModel.Restore(l.Interference)
	c.runTimes.Restore(l.RunTimes)
}

// updateRunTime counts the time at the present pace in the run time at full pace.
func (r *run) updateRunTime(now time.Time) {
	from := r.runTimeUpdatedAt
	if from.IsZero() {
		from = r.confirmedAt
	}
	r.fullPaceRunTime += now.Sub(from) * time.Duration(r.pace) / fullPace
	r.runTimeUpdatedAt = now
}

// observeRunTime takes in the run time of a done run, and that of the step with its last one.
func (c *Cell) observeRunTime(now time.Time, r *run) {
	s := r.step
	if r.confirmedAt.IsZero() || s.spec.LongRunning {
		return
	}
	r.updateRunTime(now)
	s.completedRuns++
	s.totalRunTime += r.fullPaceRunTime
	s.longestRunTime = max(s.longestRunTime, r.fullPaceRunTime)
	if s.completedRuns == len(s.tasks) {
		c.runTimes.Observe(s.occurrence.job.submission.Route, s.spec.Estimate, s.totalRunTime/time.Duration(s.completedRuns), s.longestRunTime)
	}
}

// minRunsForMean is the number of done tasks of a step from which on their mean run time says more than any prediction.
const minRunsForMean = 3

// expectedRunTime returns the run time that a task of the step is expected to have at full pace.
func (s *step) expectedRunTime() time.Duration {
	if s.completedRuns >= minRunsForMean {
		return s.totalRunTime / time.Duration(s.completedRuns)
	}
	return s.predictedRunTime
}
