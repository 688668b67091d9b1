package medlarcell

import (
	"time"

	"medlarwheel"
	"medlarwheel/internal/scheduling/medlarforecast"
	"medlarwheel/internal/scheduling/medlarinterference"
)

// ModelSnapshot is the state of the cell's models, which the next owner starts from.
type ModelSnapshot struct {
	Interference medlarinterference.Snapshot `json:"pressures"`
	RunTimes     medlarforecast.Snapshot     `json:"run-times"`
}

// Check returns all faults of the snapshot.
func (s *ModelSnapshot) Check() medlarwheel.Faults {
	return append(s.Interference.Check(), s.RunTimes.Check()...)
}

// SnapshotModels returns the state of the cell's models.
func (c *Cell) SnapshotModels() ModelSnapshot {
	return ModelSnapshot{Interference: c.interferenceModel.Snapshot(), RunTimes: c.runTimes.Snapshot()}
}

// RestoreModels restores the models of the previous owner. It must be called before Restore, which predicts run times.
func (c *Cell) RestoreModels(s ModelSnapshot) {
	c.interferenceModel.Restore(s.Interference)
	c.runTimes.Restore(s.RunTimes)
}

// updateRunTime adds the time since the last update, scaled by the pace, to the run time at full pace.
func (r *run) updateRunTime(now time.Time) {
	from := r.runTimeUpdatedAt
	if from.IsZero() {
		from = r.confirmedAt
	}
	r.fullPaceRunTime += now.Sub(from) * time.Duration(r.pace) / fullPace
	r.runTimeUpdatedAt = now
}

// observeRunTime adds the run time of a completed run to its step, and that of a completed step to the prediction model.
func (c *Cell) observeRunTime(now time.Time, r *run) {
	s := r.step
	if r.confirmedAt.IsZero() || s.spec.LongRunning || r.wasOnColdWorker() {
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

// minRunsForMean is the number of completed runs of a step at which their mean replaces the prediction.
const minRunsForMean = 3

// expectedRunTime returns the expected run time of a task of the step at full pace.
func (s *step) expectedRunTime() time.Duration {
	if s.completedRuns >= minRunsForMean {
		return s.totalRunTime / time.Duration(s.completedRuns)
	}
	return s.predictedRunTime
}
