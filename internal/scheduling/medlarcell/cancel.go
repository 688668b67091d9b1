package medlarcell

import (
	"time"

	"medlarwheel/internal/acceptance/medlarsubmission"
)

// Cancel ends a submission and stops its runs. It does nothing if the submission is finished. If it is unknown, it is cancelled
// as soon as it is accepted.
func (c *Cell) Cancel(now time.Time, id medlarsubmission.ID) {
	j, known := c.jobs[id]
	switch {
	case !known:
		c.addEarlyCancellation(now, id)
	case !j.state.IsFinal():
		c.cancel(now, j)
		c.emit(Event{Kind: EventCancelled, Submission: id, Route: j.submission.Route, Age: now.Sub(j.submission.AcceptedAt)})
	}
}

func (c *Cell) cancel(now time.Time, j *job) { c.finish(now, j, medlarsubmission.StateCancelled) }

func (c *Cell) addEarlyCancellation(now time.Time, id medlarsubmission.ID) {
	if _, known := c.earlyCancellations[id]; !known {
		c.earlyCancellations[id] = now
		c.earlyCancellationOrder = append(c.earlyCancellationOrder, id)
	}
}

// removeEarlyCancellations deletes the rows of cancellations whose submission was not stored while a finished one would have
// been kept. Writes are carried out seconds late at most.
func (c *Cell) removeEarlyCancellations(now time.Time) {
	for len(c.earlyCancellationOrder) > 0 {
		id := c.earlyCancellationOrder[0]
		if at, pending := c.earlyCancellations[id]; pending {
			if now.Sub(at) <= c.config.KeepFinished {
				return
			}
			delete(c.earlyCancellations, id)
			c.commands = append(c.commands, Command{Kind: CommandDeleteSubmission, Submission: id})
		}
		c.earlyCancellationOrder = c.earlyCancellationOrder[1:]
	}
}
