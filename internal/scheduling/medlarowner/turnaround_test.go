package medlarowner

import (
	"testing"
	"time"
)

// TestTurnaroundDetectsASlowMachine guards against an owner that keeps the cell on a machine that gives it no processor time,
// and against one that leaves it because of a single late answer.
func TestTurnaroundDetectsASlowMachine(t *testing.T) {
	const fast, slow = 5 * time.Millisecond, 500 * time.Millisecond
	const limit = 150 * time.Millisecond
	var o Owner
	for range 100 {
		o.turnaround.observe(fast)
	}
	o.turnaround.observe(2 * slow)
	if got := o.Turnaround(); got > limit {
		t.Errorf("%v after one late answer", got)
	}
	for range 20 {
		o.turnaround.observe(slow)
	}
	if got := o.Turnaround(); got < limit {
		t.Errorf("%v on a slowed machine", got)
	}
	for range 40 {
		o.turnaround.observe(fast)
	}
	if got := o.Turnaround(); got > limit {
		t.Errorf("%v after the machine has recovered", got)
	}
}
