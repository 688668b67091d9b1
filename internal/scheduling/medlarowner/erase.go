package medlarowner

import (
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/state/medlarcellstore"
	"medlarwheel/internal/state/medlartable"
)

// maxProgressErasures bounds the removals of progress in one batch, so that it still has space for records.
const maxProgressErasures = 20

// eraser removes the rows of submissions that the cell no longer keeps. The row of a submission is removed first, from
// the part of the table that holds it. Its progress is removed after that, with one of the batches that store records.
type eraser struct {
	// versions holds the version of the row of each submission. A cancellation whose submission was not stored has none.
	versions map[medlarsubmission.ID]medlarwheel.RowVersion
	// pending holds the submissions whose rows are to be removed, by part of the table.
	pending map[string][]medlarcellstore.Erasure
	// orphaned holds the submissions whose rows are removed and whose progress is still stored.
	orphaned []medlarsubmission.ID
	// inFlight is true while a removal is in progress.
	inFlight bool
}

func newEraser() eraser {
	return eraser{
		versions: map[medlarsubmission.ID]medlarwheel.RowVersion{},
		pending:  map[string][]medlarcellstore.Erasure{},
	}
}

// enqueue adds a submission whose rows are to be removed.
func (e *eraser) enqueue(cell string, id medlarsubmission.ID) {
	part := medlarcellstore.SubmissionPart(cell, id)
	e.pending[part] = append(e.pending[part], medlarcellstore.Erasure{ID: id, Version: e.versions[id]})
	delete(e.versions, id)
}

// findOrphanedProgress finds progress without a submission, which a previous owner left when it ended between the two
// removals.
func (e *eraser) findOrphanedProgress(submissions, progress []medlartable.Row) {
	present := make(map[string]bool, len(submissions))
	for _, r := range submissions {
		present[r.Key] = true
	}
	for _, r := range progress {
		if !present[r.Key] {
			e.orphaned = append(e.orphaned, medlarsubmission.ID(r.Key))
		}
	}
}

// takeOrphanedProgress returns up to maxProgressErasures submissions whose progress is to be removed now. A submission
// that was submitted again in the meantime keeps its progress.
func (e *eraser) takeOrphanedProgress() []medlarsubmission.ID {
	var taken []medlarsubmission.ID
	n := 0
	for ; n < len(e.orphaned) && len(taken) < maxProgressErasures; n++ {
		if _, known := e.versions[e.orphaned[n]]; !known {
			taken = append(taken, e.orphaned[n])
		}
	}
	e.orphaned = e.orphaned[n:]
	return taken
}

// largestPart returns the part of the table with the most submissions to remove.
func (e *eraser) largestPart() (part string) {
	for p, erasures := range e.pending {
		if len(erasures) > len(e.pending[part]) {
			part = p
		}
	}
	return part
}

// handleResult processes the result of a removal. It reports false if the removal failed and was queued again.
func (e *eraser) handleResult(part string, erasures []medlarcellstore.Erasure, err error) bool {
	e.inFlight = false
	var conflict *medlartable.ConflictError
	isConflict := errors.As(err, &conflict)
	if err != nil && !isConflict {
		e.pending[part] = append(e.pending[part], erasures...)
		return false
	}
	for _, erasure := range erasures {
		if !isConflict {
			e.orphaned = append(e.orphaned, erasure.ID)
			continue
		}
		switch row, _ := conflict.Find(medlarcellstore.TableSubmissions, string(erasure.ID)); row.Version {
		case erasure.Version:
			e.pending[part] = append(e.pending[part], erasure)
		case 0:
			// An earlier attempt has removed the row, but its response was lost.
			e.orphaned = append(e.orphaned, erasure.ID)
		}
	}
	return true
}

// erasePending removes pending submissions from one part of the table. Only one transaction is in flight at a time.
func (o *Owner) erasePending() {
	part := o.eraser.largestPart()
	if part == "" || o.eraser.inFlight {
		return
	}
	pending := o.eraser.pending[part]
	n := min(len(pending), medlarcellstore.MaxErasures)
	erasures := pending[:n:n]
	if n == len(pending) {
		delete(o.eraser.pending, part)
	} else {
		o.eraser.pending[part] = pending[n:]
	}
	o.eraser.inFlight = true
	o.goInBackground("erase", func() {
		_, err := o.writer.Transact(medlarcellstore.Erase(o.config.Part, erasures))
		o.postToControl(func(time.Time) {
			if !o.eraser.handleResult(part, erasures, err) {
				o.Log.Warn().Str("event", "erase-failed").Str("part", part).Int("submissions", n).Err(err).
					Msg("submission rows not removed; queued again for a later attempt")
			}
		})
	})
}
