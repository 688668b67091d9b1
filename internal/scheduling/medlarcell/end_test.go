package medlarcell

import (
	"testing"
	"time"

	"medlarwheel/internal/execution/medlarorder"
)

// TestFailedRunExtendsDeadlines guards against work that is given up as late because of runs that have failed: its caller
// counts them in the chain of its work, but not those of a worker that fails everything.
func TestFailedRunExtendsDeadlines(t *testing.T) {
	const took = 3 * time.Second
	for name, c := range map[string]struct {
		failsBefore bool
		want        time.Duration
	}{
		"own fault":             {want: 2 * took},
		"worker fails them all": {failsBefore: true},
	} {
		b := newScriptedCell(t, 1, Ownership{Fence: 1 << 12, Term: 1})
		b.report(b.renewals[0], medlarorder.Report{})
		b.cell.Accept(b.now, testSubmission(testStep()))
		b.dispatch()
		start := b.starts[0]
		b.cell.HandleStartResponse(b.now, start.Worker, start.Start, medlarorder.Response{Verdict: medlarorder.VerdictAccepted}, nil)
		j := b.cell.jobs[start.Start.Task.Submission]
		due, useless := j.softDeadline, j.hardDeadline
		if c.failsBefore {
			b.cell.workers[start.Worker].recentFailedJobs = append(b.cell.workers[start.Worker].recentFailedJobs, "00000000000000bb")
		}
		b.advance(took)
		b.report(b.renewals[0], medlarorder.Report{Ended: []medlarorder.Ended{
			{Number: 1, Task: start.Start.Task, Run: start.Start.Run, Kind: medlarorder.EndFailed},
		}})
		if got := j.softDeadline.Sub(due); got != c.want {
			t.Errorf("%s: due %v later, want %v", name, got, c.want)
		}
		if got, want := j.hardDeadline.Sub(useless), time.Duration(DefaultConfig().HardDeadlineFactor*float64(c.want)); got != want {
			t.Errorf("%s: of use for %v longer, want %v", name, got, want)
		}
	}
}
