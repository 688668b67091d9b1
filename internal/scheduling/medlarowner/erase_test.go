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

// eraserInFlight returns an eraser with one submission to remove, and the removal.
func eraserInFlight() (e eraser, part string, erasures []medlarcellstore.Erasure) {
	e = newEraser()
	e.versions[testID] = 7
	e.enqueue(testPart, testID)
	part = e.largestPart()
	erasures = e.pending[part]
	delete(e.pending, part)
	return e, part, erasures
}

// TestProgressIsErasedAfterItsSubmission guards against progress that is removed while the row of its submission may still be there: the next
// owner would start such a submission anew.
func TestProgressIsErasedAfterItsSubmission(t *testing.T) {
	present := medlartable.Row{Table: medlarcellstore.TableSubmissions, Key: string(testID), Version: 7}
	for name, c := range map[string]struct {
		err             error
		erased, waiting bool
	}{
		"removed":                        {erased: true},
		"no answer":                      {err: errors.New("no answer"), waiting: true},
		"gone already":                   {err: &medlartable.ConflictError{}, erased: true},
		"conflict of another submission": {err: &medlartable.ConflictError{Rows: []medlartable.Row{present}}, waiting: true},
	} {
		t.Run(name, func(t *testing.T) {
			e, part, erasures := eraserInFlight()
			e.handleResult(part, erasures, c.err)
			if got := slices.Contains(e.takeOrphanedProgress(), testID); got != c.erased {
				t.Errorf("progress removed: %v, want %v", got, c.erased)
			}
			if got := len(e.pending[part]) > 0; got != c.waiting {
				t.Errorf("removal tried again: %v, want %v", got, c.waiting)
			}
		})
	}
}

// TestProgressOfResubmittedIDIsKept guards against the removal of progress that belongs to a later submission with the
// same id.
func TestProgressOfResubmittedIDIsKept(t *testing.T) {
	e, part, erasures := eraserInFlight()
	e.handleResult(part, erasures, nil)
	e.versions[testID] = 9
	if got := e.takeOrphanedProgress(); len(got) > 0 {
		t.Errorf("progress of %v removed", got)
	}
}

// TestOrphanedProgressIsFound guards against progress that stays for ever because its owner ended between the two removals, and
// against the loss of progress whose submission can't be read.
func TestOrphanedProgressIsFound(t *testing.T) {
	e := newEraser()
	e.findOrphanedProgress([]medlartable.Row{{Key: "a", Value: []byte("not readable")}}, []medlartable.Row{{Key: "a"}, {Key: "b"}})
	if got := e.takeOrphanedProgress(); !slices.Equal(got, []medlarsubmission.ID{"b"}) {
		t.Errorf("orphans %v", got)
	}
}
