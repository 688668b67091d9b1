package medlarowner

import (
	"testing"
	"time"
)

// TestTurnaroundDetectsASlowMachine guards against an owner that keeps the cell on a machine that starves it of processor
// time, because the mean rises too slowly, and against one that gives up the cell because of a single late response.
func TestTurnaroundDetectsASlowMachine(t *testing.T) {
	const fast, slow = 5 * time.Millisecond, 500 * time.Millisecond
	const limit = 150 * time.Millisecond
	var o Owner
	for range 100 {
		o.turnaround.observe(fast)
	}
	o.turnaround.observe(2 * slow)
	if got := o.Turnaround(); got > limit {
		t.Errorf("turnaround after one late response: got %v, want at most %v", got, limit)
	}
	for range 20 {
		o.turnaround.observe(slow)
	}
	if got := o.Turnaround(); got < limit {
		t.Errorf("turnaround on a slow machine: got %v, want at least %v", got, limit)
	}
	for range 40 {
		o.turnaround.observe(fast)
	}
	if got := o.Turnaround(); got > limit {
		t.Errorf("turnaround after the machine has recovered: got %v, want at most %v", got, limit)
	}
}
