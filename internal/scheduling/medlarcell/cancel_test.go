package medlarcell

import (
	"testing"
	"time"

	"medlarwheel/internal/acceptance/medlarsubmission"
)

// TestSubmissionStoredAfterItsCancellationDoesNotRun guards against a submission that runs although its client was told that it
// does not exist: the table has carried out its write after the cancellation.
func TestSubmissionStoredAfterItsCancellationDoesNotRun(t *testing.T) {
	s := testSubmission(testStep())
	for name, gap := range map[string]time.Duration{"at once": 0, "seconds later": 6 * time.Second} {
		t.Run(name, func(t *testing.T) {
			c := newCrashCell(t, 2, Ownership{Fence: 1 << 12, Term: 1})
			c.cell.Cancel(c.now, s.ID)
			for end := c.now.Add(gap); c.now.Before(end); c.advance(100 * time.Millisecond) {
				c.keepAlive()
			}
			c.cell.Accept(c.now, s)
			for range 5 {
				c.keepAlive()
				c.advance(100 * time.Millisecond)
			}
			if len(c.starts) > 0 {
				t.Errorf("%d tasks were started", len(c.starts))
			}
			if state, known := c.cell.State(s.ID); state != medlarsubmission.StateCancelled || !known {
				t.Errorf("the submission is %q, want %q", state, medlarsubmission.StateCancelled)
			}
			if n := c.cell.QueueLength(s.Route); n != 0 {
				t.Errorf("%d submissions count as waiting, want 0", n)
			}
			if records := c.cell.TakeFlush(10).Records; len(records) != 1 || records[0].Progress.State != medlarsubmission.StateCancelled {
				t.Errorf("records to store are %+v, want the cancelled submission", records)
			}
		})
	}
}

// TestCancellationWithoutSubmissionIsErased guards against rows of cancellations that stay in the table for ever, because their
// submission was never stored.
func TestCancellationWithoutSubmissionIsErased(t *testing.T) {
	sc := newScriptedCell(t, 0, Ownership{Fence: 1 << 12, Term: 1})
	sc.cell.Cancel(sc.now, "00000000000000aa")
	sc.cell.Cancel(sc.now, "00000000000000aa")
	erased := func() (n int) {
		for _, c := range sc.cell.TakeCommands() {
			if c.Kind == CommandDeleteSubmission && c.Submission == "00000000000000aa" {
				n++
			}
		}
		return n
	}
	sc.now = sc.now.Add(sc.cell.config.KeepFinished)
	sc.cell.Tick(sc.now)
	if n := erased(); n != 0 {
		t.Errorf("%d erasures after %v, want none yet", n, sc.cell.config.KeepFinished)
	}
	sc.advance(time.Second)
	if n := erased(); n != 1 {
		t.Errorf("%d erasures after more than %v, want 1", n, sc.cell.config.KeepFinished)
	}
}
