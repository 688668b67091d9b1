package medlarowner

import (
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/state/medlarcellstore"
	"medlarwheel/internal/state/medlartable"
)

// maxErased bounds the removals of progress in one batch, so that they leave room for records.
const maxErased = 20

// eraser removes the rows of submissions that the cell has forgotten. The row of a submission is removed first, in the part
// that holds it, and its progress after that, with a batch of the chain.
type eraser struct {
	// versions holds the version of each submission's row.
	versions map[medlarsubmission.ID]medlarwheel.RowVersion
	// forgotten holds the submissions to remove, by part.
	forgotten map[string][]medlarcellstore.Erasure
	// erased holds the submissions whose rows are gone and whose progress is to be removed.
	erased []medlarsubmission.ID
	// busy is true while a removal is on its way.
	busy bool
}

func newEraser() eraser {
	return eraser{
		versions:  map[medlarsubmission.ID]medlarwheel.RowVersion{},
		forgotten: map[string][]medlarcellstore.Erasure{},
	}
}

// forget notes a submission whose rows are to be removed.
func (e *eraser) forget(cell string, id medlarsubmission.ID) {
	part := medlarcellstore.SubmissionPart(cell, id)
	e.forgotten[part] = append(e.forgotten[part], medlarcellstore.Erasure{ID: id, Version: e.versions[id]})
	delete(e.versions, id)
}

// findOrphans finds progress that an owner before has not removed any more after its submission.
func (e *eraser) findOrphans(submissions, progress []medlartable.Row) {
	present := make(map[string]bool, len(submissions))
	for _, r := range submissions {
		present[r.Key] = true
	}
	for _, r := range progress {
		if !present[r.Key] {
			e.erased = append(e.erased, medlarsubmission.ID(r.Key))
		}
	}
}

// takeErased returns some submissions whose progress is to be removed now. One that was handed in again meanwhile keeps it.
func (e *eraser) takeErased() []medlarsubmission.ID {
	var taken []medlarsubmission.ID
	n := 0
	for ; n < len(e.erased) && len(taken) < maxErased; n++ {
		if _, known := e.versions[e.erased[n]]; !known {
			taken = append(taken, e.erased[n])
		}
	}
	e.erased = e.erased[n:]
	return taken
}

// largest returns the part with the most submissions to remove.
func (e *eraser) largest() (part string) {
	for p, waiting := range e.forgotten {
		if len(waiting) > len(e.forgotten[part]) {
			part = p
		}
	}
	return part
}

// settle takes in the result of a removal. It reports false if the removal has to be tried again.
func (e *eraser) settle(part string, erasures []medlarcellstore.Erasure, err error) bool {
	e.busy = false
	var conflict *medlartable.ConflictError
	isConflict := errors.As(err, &conflict)
	if err != nil && !isConflict {
		e.forgotten[part] = append(e.forgotten[part], erasures...)
		return false
	}
	for _, erasure := range erasures {
		if !isConflict {
			e.erased = append(e.erased, erasure.ID)
			continue
		}
		row, found := conflict.Find(medlarcellstore.TableSubmissions, string(erasure.ID))
		switch {
		case !found || row.Version == 0:
			// An earlier removal was carried out, and its answer was lost.
			e.erased = append(e.erased, erasure.ID)
		case row.Version == erasure.Version:
			e.forgotten[part] = append(e.forgotten[part], erasure)
		}
	}
	return true
}

// eraseForgotten removes submissions of one part, one transaction at a time.
func (o *Owner) eraseForgotten() {
	part := o.eraser.largest()
	if part == "" || o.eraser.busy {
		return
	}
	waiting := o.eraser.forgotten[part]
	n := min(len(waiting), medlarcellstore.MaxErasures)
	erasures := waiting[:n:n]
	if n == len(waiting) {
		delete(o.eraser.forgotten, part)
	} else {
		o.eraser.forgotten[part] = waiting[n:]
	}
	o.eraser.busy = true
	o.background("erase", func() {
		_, err := o.writer.Transact(medlarcellstore.Erase(o.config.Part, erasures))
		o.post(func(time.Time) {
			if !o.eraser.settle(part, erasures, err) {
				o.Log.Warn().Str("event", "erase-failed").Str("part", part).Int("submissions", n).Err(err).Msg("")
			}
		})
	})
}
