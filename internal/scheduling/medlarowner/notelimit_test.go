package medlarowner

import (
	"testing"
	"time"

	"medlarwheel/internal/scheduling/medlarcell"
)

// TestManyNotesLeaveRoomForOthers guards against a flood of one kind of decision in the log that hides a change of ownership,
// and against lines that are left out without a word.
func TestManyNotesLeaveRoomForOthers(t *testing.T) {
	var l noteLimit
	now := time.Unix(1_700_000_000, 0)
	written := 0
	for range 3 * maxNotesPerKind {
		if ok, _ := l.admits(now, medlarcell.EventWorkerJoined); ok {
			written++
		}
	}
	if written != maxNotesPerKind {
		t.Errorf("%d lines of one kind in a second, want %d", written, maxNotesPerKind)
	}
	if ok, _ := l.admits(now, medlarcell.EventTakeoverReconciled); !ok {
		t.Error("a line of another kind is left out")
	}
	ok, left := l.admits(now.Add(time.Second), medlarcell.EventWorkerJoined)
	if !ok || left[medlarcell.EventWorkerJoined] != 2*maxNotesPerKind || len(left) != 1 {
		t.Errorf("written %v in the next second; left out %v", ok, left)
	}
}
