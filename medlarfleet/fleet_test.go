package medlarfleet_test

import (
	"testing"
	"time"

	"medlarwheel"
)

var (
	small = medlarwheel.Resources{CPU: 1000, Memory: 1000}
	large = medlarwheel.Resources{CPU: 4000, Memory: 4000}
)

// Guards against a break anywhere on the path from a submitted job to its end: ownership, registration of workers,
// placing, starting, reporting.
func TestJobRunsToDone(t *testing.T) {
	w := newWorld(t, 3, large)
	i := w.start("entry-1", []medlarwheel.Template{batch("round", small, 300*time.Millisecond)}, nil)
	job := w.submit(i, medlarwheel.JobRequest{Name: "night", Template: "round", Tasks: 8})
	eventually(t, "job done", 20*time.Second, func() bool { return w.job(job.ID).State == medlarwheel.JobDone })
	w.checkHistory()
	if starts := len(w.events()) / 2; starts != 8 {
		t.Errorf("%d starts of 8 tasks", starts)
	}
}
