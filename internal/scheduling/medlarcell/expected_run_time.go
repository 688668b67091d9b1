package medlarcell

import "time"

// Tasks take longer on workers that are not on the rack of their data or that are still cold, and gangs of which the tasks should be on one
// rack take longer on several. All these runs are compared with the longer time. Run times away are learnt as if they had been near, those on
// cold workers not at all.

// expectedRunTimeOn returns the expected run time of a task of the step on a worker at full pace.
func (c *Cell) expectedRunTimeOn(s *step, w *worker) time.Duration {
	expected := time.Duration(float64(s.expectedRunTime()) * w.coldFactor)
	if c.isAway(s, w) {
		return time.Duration(float64(expected) * c.config.RemoteFactor)
	}
	return expected
}

// expectedRunTimeOf returns the expected run time of a run at full pace.
func (c *Cell) expectedRunTimeOf(r *run) time.Duration {
	expected := c.expectedRunTimeOn(r.step, r.worker)
	if !c.isAway(r.step, r.worker) && c.isSpread(r.step) {
		return time.Duration(float64(expected) * c.config.RemoteFactor)
	}
	return expected
}

// remoteFactorOf returns how many times as long the run takes as near.
func (c *Cell) remoteFactorOf(r *run) float64 {
	if c.isAway(r.step, r.worker) || c.isSpread(r.step) {
		return c.config.RemoteFactor
	}
	return 1
}

// hasRemoteFactor reports whether tasks take longer away from their data or their group.
func (c *Cell) hasRemoteFactor() bool { return c.config.RemoteFactor > 1 }

// isAway reports whether tasks of the step take longer on the worker because their data is elsewhere.
func (c *Cell) isAway(s *step, w *worker) bool {
	return s.spec.Rack != "" && s.spec.Rack != w.info.Rack && c.hasRemoteFactor() && !s.spec.LongRunning
}

// isGroup reports whether tasks of the step take longer on several racks.
func (c *Cell) isGroup(s *step) bool {
	return s.spec.Gang && s.spec.SameRack && len(s.tasks) > 1 && c.hasRemoteFactor() && !s.spec.LongRunning
}

// isSpread reports whether the step is a group that runs on several racks.
func (c *Cell) isSpread(s *step) bool {
	if !c.isGroup(s) {
		return false
	}
	var first *run
	for i := range s.tasks {
		for _, r := range s.tasks[i].runs {
			if first == nil {
				first = r
			}
			if r.worker.info.Rack != first.worker.info.Rack {
				return true
			}
		}
	}
	return false
}

// minRemainingShare is the share of its expected run time that a run is taken to need at least. Run times vary, so a run that has taken
// longer than expected does not end at once.
const minRemainingShare = 0.15

// minProgressForEstimate is the progress, in percent, from which on a run's own progress predicts its end.
const minProgressForEstimate = 20

// predictedEnd returns when a run is expected to end.
func (c *Cell) predictedEnd(now time.Time, r *run) time.Time {
	expected, since := c.expectedRunTimeOf(r), r.confirmedAt
	if since.IsZero() {
		since = r.sentAt
	} else if r.sampledPercent >= minProgressForEstimate {
		expected = r.sampledProgressAt.Sub(since) * fullPace / time.Duration(r.sampledPercent)
	}
	end, earliest := since.Add(expected), now.Add(time.Duration(minRemainingShare*float64(expected)))
	if end.Before(earliest) {
		return earliest
	}
	return end
}
