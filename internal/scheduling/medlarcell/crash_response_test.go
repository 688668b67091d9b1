package medlarcell

import (
	"testing"

	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// TestTaskThatCrashesWorkersBeforeTheyRespondIsGivenUp guards against a task that is started without end, because its workers close
// their connections before the owner has their responses to its starts.
func TestTaskThatCrashesWorkersBeforeTheyRespondIsGivenUp(t *testing.T) {
	c := newCrashCell(t, 4, Ownership{Fence: 1 << 12, Term: 1})
	c.cell.Accept(c.now, testSubmission(testStep()))
	c.dispatch()
	starts, crashes := c.starts, 0
	for ; len(starts) > 0 && crashes < 4*maxCrashes; crashes++ {
		start := starts[0]
		c.cell.HandleStartResponse(c.now, start.Worker, start.Start, medlarorder.Response{}, errSimDisconnected)
		starts = c.crash(start)
	}
	if state, _ := c.cell.State("00000000000000aa"); crashes > maxCrashes || state != medlarsubmission.StateFailed {
		t.Fatalf("after %d crashed workers the submission is %s, want it failed after %d at most", crashes, state, maxCrashes)
	}
}
