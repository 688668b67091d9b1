package medlarcell

import (
	"testing"
	"time"

	"medlarwheel/internal/execution/medlarorder"
)

// TestFailedRunExtendsDeadlines guards against work that is given up as late because of its failed runs. The caller's
// objective includes failed runs on the critical path, but not those on a worker whose earlier runs failed too.
func TestFailedRunExtendsDeadlines(t *testing.T) {
	const took = 3 * time.Second
	for name, c := range map[string]struct {
		failsBefore bool
		want        time.Duration
	}{
		"first failure":        {want: 2 * took},
		"worker failed before": {failsBefore: true},
	} {
		b := newScriptedCell(t, 1, Ownership{Fence: 1 << 12, Term: 1})
		b.report(b.renewals[0], medlarorder.Report{})
		b.cell.Accept(b.now, testSubmission(testStep()))
		b.dispatch()
		start := b.starts[0]
		b.cell.HandleStartResponse(b.now, start.Worker, start.Start, medlarorder.Response{Verdict: medlarorder.VerdictAccepted}, nil)
		j := b.cell.jobs[start.Start.Task.Submission]
		softDeadline, hardDeadline := j.softDeadline, j.hardDeadline
		if c.failsBefore {
			b.cell.workers[start.Worker].recentFailedJobs = append(b.cell.workers[start.Worker].recentFailedJobs, "00000000000000bb")
		}
		b.advance(took)
		b.report(b.renewals[0], medlarorder.Report{Ended: []medlarorder.Ended{
			{Number: 1, Task: start.Start.Task, Run: start.Start.Run, Kind: medlarorder.EndFailed},
		}})
		if got := j.softDeadline.Sub(softDeadline); got != c.want {
			t.Errorf("%s: soft deadline extended by %v, want %v", name, got, c.want)
		}
		if got, want := j.hardDeadline.Sub(hardDeadline), time.Duration(DefaultConfig().HardDeadlineFactor*float64(c.want)); got != want {
			t.Errorf("%s: hard deadline extended by %v, want %v", name, got, want)
		}
	}
}
