package medlarowner

import (
	"slices"
	"testing"

	"github.com/pkg/errors"

	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/state/medlarcellstore"
	"medlarwheel/internal/state/medlartable"
)

const (
	testPart = "c0"
	testID   = medlarsubmission.ID("00000000000000aa")
)

// eraserInFlight returns an eraser whose only removal was taken from its queue, the part of the table, and the removal.
func eraserInFlight() (e eraser, part string, erasures []medlarcellstore.Erasure) {
	e = newEraser()
	e.versions[testID] = 7
	e.enqueue(testPart, testID, 1)
	part = e.largestPart()
	erasures = e.pending[part]
	delete(e.pending, part)
	return e, part, erasures
}

// TestProgressIsErasedAfterItsSubmission guards against removing progress while the row of its submission may still
// exist: the next owner would find a submission without progress and run it again.
func TestProgressIsErasedAfterItsSubmission(t *testing.T) {
	present := medlartable.Row{Table: medlarcellstore.TableSubmissions, Key: string(testID), Version: 7}
	for name, c := range map[string]struct {
		err              error
		erased, requeued bool
	}{
		"removed":                        {erased: true},
		"no response":                    {err: errors.New("no response"), requeued: true},
		"removed already":                {err: &medlartable.ConflictError{}, erased: true},
		"conflict of another submission": {err: &medlartable.ConflictError{Rows: []medlartable.Row{present}}, requeued: true},
	} {
		t.Run(name, func(t *testing.T) {
			e, part, erasures := eraserInFlight()
			e.handleResult(part, erasures, c.err)
			if got := slices.Contains(e.takeOrphanedProgress(), medlarcellstore.ProgressKey(testID)); got != c.erased {
				t.Errorf("progress is removed: got %v, want %v", got, c.erased)
			}
			if got := len(e.pending[part]) > 0; got != c.requeued {
				t.Errorf("removal is queued again: got %v, want %v", got, c.requeued)
			}
		})
	}
}

// TestProgressOfResubmittedIDIsKept guards against removing the progress of a new submission that reuses the id of an
// erased one.
func TestProgressOfResubmittedIDIsKept(t *testing.T) {
	e, part, erasures := eraserInFlight()
	e.handleResult(part, erasures, nil)
	e.versions[testID] = 9
	if got := e.takeOrphanedProgress(); len(got) > 0 {
		t.Errorf("progress of %v is removed, want none", got)
	}
}

// TestOrphanedProgressIsFound guards against progress that is never removed because its owner terminated between the
// two removals, and against removing the progress of a submission whose row exists but can't be decoded.
func TestOrphanedProgressIsFound(t *testing.T) {
	e := newEraser()
	e.findOrphanedProgress([]medlartable.Row{{Key: "a", Value: []byte("not readable")}}, []medlartable.Row{{Key: "a"}, {Key: "b"}})
	if got := e.takeOrphanedProgress(); !slices.Equal(got, []medlarcellstore.ProgressKey{"b"}) {
		t.Errorf("orphaned progress: got %v, want [b]", got)
	}
}

// TestCancellationWithoutSubmissionIsErasedBesideConflict guards against rows of cancellations that stay in the table, because
// another submission of the same removal has changed.
func TestCancellationWithoutSubmissionIsErasedBesideConflict(t *testing.T) {
	e := newEraser()
	e.enqueue(testPart, testID, 1)
	part := e.largestPart()
	erasures := e.pending[part]
	delete(e.pending, part)
	e.handleResult(part, erasures, &medlartable.ConflictError{})
	if len(e.pending[part]) != 1 {
		t.Errorf("%d removals are queued after a conflict of another submission, want 1", len(e.pending[part]))
	}
	stored := medlartable.Row{Table: medlarcellstore.TableSubmissions, Key: string(testID), Version: 7}
	delete(e.pending, part)
	e.handleResult(part, erasures, &medlartable.ConflictError{Rows: []medlartable.Row{stored}})
	if len(e.pending[part])+len(e.orphaned) != 0 {
		t.Errorf("%d removals and %d of progress are queued for a submission that was stored after all, want none", len(e.pending[part]), len(e.orphaned))
	}
}
