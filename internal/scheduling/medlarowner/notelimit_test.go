package medlarowner

import (
	"testing"
	"time"

	"medlarwheel/internal/scheduling/medlarcell"
)

// TestLogLimitAppliesToEachKind guards against a flood of one kind of decision in the log that hides a change of ownership,
// and against lines that are left out without a word.
func TestLogLimitAppliesToEachKind(t *testing.T) {
	var l logLimit
	now := time.Unix(1_700_000_000, 0)
	written := 0
	for range 3 * maxLinesPerKind {
		if ok, _ := l.admits(now, medlarcell.EventWorkerJoined); ok {
			written++
		}
	}
	if written != maxLinesPerKind {
		t.Errorf("%d lines of one kind in a second, want %d", written, maxLinesPerKind)
	}
	if ok, _ := l.admits(now, medlarcell.EventTakeoverReconciled); !ok {
		t.Error("a line of another kind is left out")
	}
	ok, left := l.admits(now.Add(time.Second), medlarcell.EventWorkerJoined)
	if !ok || left[medlarcell.EventWorkerJoined] != 2*maxLinesPerKind || len(left) != 1 {
		t.Errorf("written %v in the next second; left out %v", ok, left)
	}
}
