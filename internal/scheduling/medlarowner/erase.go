package medlarowner

import (
	"time"

	"github.com/pkg/errors"

	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/state/medlarcellstore"
	"medlarwheel/internal/state/medlartable"
)

const (
	// maxProgressErasures bounds the removals of progress in one batch, so that it still has space for records.
	maxProgressErasures = 20
	// progressBacklog is the number of rows of progress to remove from which each batch removes as many as it stores records.
	progressBacklog = 200
)

// eraser removes the rows of submissions that the cell no longer keeps. The row of a submission is removed first, from
// the part of the table that holds it. Its progress is removed after that, with one of the batches that store records.
type eraser struct {
	// known holds the submissions of the cell, and those whose rows are being removed.
	known *knownSubmissions
	// pending holds the submissions whose rows are to be removed, by part of the table.
	pending map[string][]medlarcellstore.Erasure
	// segments holds the number of segments of the pending submissions.
	segments map[medlarsubmission.ID]int
	// orphaned holds the rows of progress whose submissions are removed.
	orphaned []medlarcellstore.ProgressKey
	// inFlight is true while a removal is in progress.
	inFlight bool
}

func newEraser(known *knownSubmissions) eraser {
	return eraser{
		known: known, segments: map[medlarsubmission.ID]int{},
		pending: map[string][]medlarcellstore.Erasure{},
	}
}

// enqueue adds a submission whose rows are to be removed, with the number of segments of its progress.
func (e *eraser) enqueue(cell string, id medlarsubmission.ID, segments int) {
	part := medlarcellstore.SubmissionPart(cell, id)
	e.pending[part] = append(e.pending[part], medlarcellstore.Erasure{ID: id, Version: e.known.version(id)})
	e.segments[id] = segments
}

// addOrphaned adds the rows of progress of a submission that is removed.
func (e *eraser) addOrphaned(id medlarsubmission.ID) {
	for segment := range max(1, e.segments[id]) {
		e.orphaned = append(e.orphaned, medlarcellstore.NewProgressKey(id, segment))
	}
	delete(e.segments, id)
}

// findOrphanedProgress finds progress without a submission, which a previous owner left when it ended between the two
// removals.
func (e *eraser) findOrphanedProgress(submissions []storedSubmission, progress []storedProgress) {
	present := make(map[string]bool, len(submissions))
	for i := range submissions {
		present[submissions[i].key] = true
	}
	for i := range progress {
		if key := progress[i].key; !present[string(key.Submission())] {
			e.orphaned = append(e.orphaned, key)
		}
	}
}

// hasBacklog reports whether the removals of progress don't keep up with those of submissions.
func (e *eraser) hasBacklog() bool { return len(e.orphaned) > progressBacklog }

// takeOrphanedProgress returns the rows of progress that the next batch is to remove. A submission that was submitted again in the
// meantime keeps its progress.
func (e *eraser) takeOrphanedProgress() []medlarcellstore.ProgressKey {
	var taken []medlarcellstore.ProgressKey
	limit := maxProgressErasures
	if e.hasBacklog() {
		limit = medlarcellstore.MaxRecords / 2
	}
	n := 0
	for ; n < len(e.orphaned) && len(taken) < limit; n++ {
		if e.known.version(e.orphaned[n].Submission()) == 0 {
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
			e.known.remove(erasure.ID, erasure.Version)
			e.addOrphaned(erasure.ID)
			continue
		}
		switch row, _ := conflict.Find(medlarcellstore.TableSubmissions, string(erasure.ID)); row.Version {
		case erasure.Version:
			e.pending[part] = append(e.pending[part], erasure)
		case 0:
			// An earlier attempt has removed the row, but its response was lost.
			e.known.remove(erasure.ID, erasure.Version)
			e.addOrphaned(erasure.ID)
		}
	}
	return true
}

// erasePending removes pending submissions from one part of the table. Only one transaction is in flight at a time. While a whole
// transaction is pending, the next one follows at once.
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
				return
			}
			if len(o.eraser.pending[o.eraser.largestPart()]) >= medlarcellstore.MaxErasures && !o.isolation.isActive() && !o.releasing {
				o.erasePending()
			}
		})
	})
}
