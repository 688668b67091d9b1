package medlarcell

import (
	"testing"

	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// TestRestoreToleratesMalformedProgress guards against an owner that ends on a malformed row of progress, and takes all its successors
// with it, since they read the same row.
func TestRestoreToleratesMalformedProgress(t *testing.T) {
	for name, p := range map[string]Progress{
		"negative occurrence": {Done: map[string]string{"-1.0": "AQ"}},
		"negative step":       {Done: map[string]string{"0.-1": "AQ"}},
		"step out of range":   {Done: map[string]string{"0.9": "AQ"}},
		"no numbers":          {Done: map[string]string{"x": "AQ"}},
		"bits not readable":   {Done: map[string]string{"0.0": "%"}},
		"more bits":           {Done: map[string]string{"0.0": "/////w"}},
		"negative task":       {Failed: map[string][]medlarorder.RunNumber{"0.0.-1": {1}}},
		"task out of range":   {Saved: map[string]string{"0.0.77": "x"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := New(DefaultConfig())
			c.Begin(simEpoch, Ownership{Fence: 1 << 12, Term: 1})
			_ = c.Restore(simEpoch, testSubmission(testStep()), p, false)
			state, known := c.State(testSubmission().ID)
			if !known || state == medlarsubmission.StateFailed {
				t.Errorf("known %v, state %q", known, state)
			}
		})
	}
}
