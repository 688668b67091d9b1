package medlarowner

import (
	"time"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
)

// Clocks relates the clock of this instance to those that stamp what the owner reads: the clocks of two instances may differ by any time.
type Clocks interface {
	// Local returns the local time of a reading of the table's clock, unless that is not known.
	Local(t medlarwheel.TableTime) (local time.Time, known bool)
	// At returns what the table's clock showed at a local time, or earlier. Zero means that it is not known.
	At(local time.Time) medlarwheel.TableTime
	// TimeOfDay returns the time of day by which scheduled submissions are due.
	TimeOfDay() time.Time
}

// unrelatedClocks is used without Clocks: the clock of this instance shows the time of day.
type unrelatedClocks struct{ medlarwheel.Clock }

// Local knows nothing.
func (unrelatedClocks) Local(medlarwheel.TableTime) (local time.Time, known bool) {
	return time.Time{}, false
}

// At knows nothing.
func (unrelatedClocks) At(time.Time) medlarwheel.TableTime { return 0 }

// TimeOfDay returns the local time.
func (c unrelatedClocks) TimeOfDay() time.Time { return c.Now() }

// toLocalClock sets the time of acceptance of a stored submission to that on the clock of this instance. No submission is accepted after it
// has been read, whatever the clock of the instance that accepted it shows.
func (o *Owner) toLocalClock(now time.Time, s medlarsubmission.Submission) medlarsubmission.Submission {
	if accepted, known := o.Clocks.Local(s.AcceptedAtTable); known {
		s.AcceptedAt = accepted
	}
	if s.AcceptedAt.After(now) {
		s.AcceptedAt = now
	}
	return s
}

// updateTimeOfDay passes the time of day to the scheduler, since it may be set at any moment.
func (o *Owner) updateTimeOfDay(now time.Time) {
	o.cell.SetTimeOfDay(o.Clocks.TimeOfDay().Sub(now))
}
