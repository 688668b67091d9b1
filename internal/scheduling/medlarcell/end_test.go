package medlarcell

import (
	"testing"
	"time"

	"medlarwheel/internal/execution/medlarorder"
)

// TestFailedRunExtendsDeadlines guards against work that counts as late because of its failed runs. The client's
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
		sc := newScriptedCell(t, 1, Ownership{Fence: 1 << 12, Term: 1})
		sc.report(sc.renewals[0], medlarorder.Report{})
		sc.cell.Accept(sc.now, testSubmission(testStep()))
		sc.dispatch()
		start := sc.starts[0]
		sc.cell.HandleStartResponse(sc.now, start.Worker, start.Start, medlarorder.Response{Verdict: medlarorder.VerdictAccepted}, nil)
		j := sc.cell.jobs[start.Start.Task.Submission]
		softDeadline, hardDeadline := j.softDeadline, j.hardDeadline
		if c.failsBefore {
			sc.cell.workers[start.Worker].recentFailedJobs = append(sc.cell.workers[start.Worker].recentFailedJobs, "00000000000000bb")
		}
		sc.advance(took)
		sc.report(sc.renewals[0], medlarorder.Report{Ended: []medlarorder.Ended{
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
