package medlarcell

import "time"

// maxTimeOfDayError is the change of the time of day that due times ignore. A task may start that much before its time.
const maxTimeOfDayError = 20 * time.Millisecond

// SetTimeOfDay states how far the time of day, by which the occurrences of scheduled submissions are due, is ahead of the scheduler's
// clock. What is not started yet moves with it.
func (c *Cell) SetTimeOfDay(ahead time.Duration) {
	change := c.timeOfDayAhead - ahead
	if change.Abs() <= maxTimeOfDayError {
		return
	}
	c.timeOfDayAhead = ahead
	for _, j := range c.jobs {
		if j.isRepeated() {
			j.postpone(change)
		}
	}
}

// postpone moves the due times of a scheduled job on the scheduler's clock.
func (j *job) postpone(by time.Duration) {
	j.timeOfDayAhead -= by
	j.softDeadline, j.hardDeadline = j.softDeadline.Add(by), j.hardDeadline.Add(by)
	for _, o := range j.created() {
		o.startAt = o.startAt.Add(by)
	}
}

// due returns the time on the scheduler's clock from which occurrence k may start.
func (j *job) due(k int) time.Time {
	due := j.submission.Due(k)
	if j.isRepeated() {
		due = due.Add(-j.timeOfDayAhead)
	}
	return due
}
