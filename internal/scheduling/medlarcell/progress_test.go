package medlarcell

import (
	"testing"

	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// TestRestoreToleratesMalformedProgress guards against an owner that crashes on a malformed progress row. All its
// successors would crash too, since they read the same row.
func TestRestoreToleratesMalformedProgress(t *testing.T) {
	for name, p := range map[string]Progress{
		"negative occurrence": {Done: map[string]string{"-1.0": "AQ"}},
		"negative step":       {Done: map[string]string{"0.-1": "AQ"}},
		"step out of range":   {Done: map[string]string{"0.9": "AQ"}},
		"key not numeric":     {Done: map[string]string{"x": "AQ"}},
		"invalid base64":      {Done: map[string]string{"0.0": "%"}},
		"too many bits":       {Done: map[string]string{"0.0": "/////w"}},
		"negative offset":     {Done: map[string]string{"0.0+-1": "AQ"}},
		"offset out of range": {Done: map[string]string{"0.0+9223372036854775807": "AQ"}},
		"offset not numeric":  {Done: map[string]string{"0.0+x": "AQ"}},
		"negative task":       {Failed: map[string][]medlarorder.RunNumber{"0.0.-1": {1}}},
		"task out of range":   {Checkpoints: map[string]string{"0.0.77": "x"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := New(DefaultConfig())
			c.Begin(simEpoch, Ownership{Fence: 1 << 12, Term: 1})
			_ = c.Restore(simEpoch, testSubmission(testStep()), p, false)
			state, known := c.State(testSubmission().ID)
			if !known || state == medlarsubmission.StateFailed {
				t.Errorf("submission known: %v, state %q, want it known and not failed", known, state)
			}
		})
	}
}
