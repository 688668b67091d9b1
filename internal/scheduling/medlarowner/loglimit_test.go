package medlarowner

import (
	"testing"
	"time"

	"medlarwheel/internal/scheduling/medlarcell"
)

// TestLogLimitAppliesToEachKind guards against a flood of one kind of event that suppresses the log line of another, such
// as a change of ownership, and against lines that are suppressed without being counted.
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
		t.Errorf("lines of one kind in a second: got %d, want %d", written, maxLinesPerKind)
	}
	if ok, _ := l.admits(now, medlarcell.EventTakeoverReconciled); !ok {
		t.Error("a line of another kind is suppressed")
	}
	ok, suppressed := l.admits(now.Add(time.Second), medlarcell.EventWorkerJoined)
	if !ok || suppressed[medlarcell.EventWorkerJoined] != 2*maxLinesPerKind || len(suppressed) != 1 {
		t.Errorf("next second: admitted %v with suppressed lines %v, want true with %d of the one kind", ok, suppressed, 2*maxLinesPerKind)
	}
}
