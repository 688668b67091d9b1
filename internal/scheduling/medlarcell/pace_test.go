package medlarcell

import (
	"testing"
	"time"

	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// paceCell is a cell whose only worker runs a serving task and a best-effort one.
type paceCell struct {
	*scriptedCell
	serving, filling medlarorder.Running
	paces            []Command
}

// paceSubmissions returns a submission that serves and one that fills.
func paceSubmissions() (serving, filling medlarsubmission.Submission) {
	serving = testSubmission(medlarsubmission.Step{
		Count: 1, Size: medlarsubmission.Size{MilliCPU: 3000}, LongRunning: true, TailLatencyTarget: loadTarget, Image: "web",
	})
	filling = testSubmission(medlarsubmission.Step{Count: 1, Size: medlarsubmission.Size{MilliCPU: 1000}, Estimate: time.Minute, BestEffort: true, Image: "etl"})
	filling.ID = "00000000000000bb"
	return serving, filling
}

func newPaceCell(t *testing.T) *paceCell {
	c := &paceCell{scriptedCell: newScriptedCell(t, 1, Ownership{Fence: 1 << 12, Term: 1})}
	c.report(c.renewals[0], medlarorder.Report{})
	serving, filling := paceSubmissions()
	c.cell.Accept(c.now, serving)
	c.cell.Accept(c.now, filling)
	c.dispatch()
	if len(c.starts) != 2 {
		t.Fatalf("%d tasks were started, want 2", len(c.starts))
	}
	for _, s := range c.starts {
		c.cell.HandleStartResponse(c.now, s.Worker, s.Start, medlarorder.Response{Verdict: medlarorder.VerdictAccepted}, nil)
		running := medlarorder.Running{Task: s.Start.Task, Run: s.Start.Run}
		if s.Start.Task.Submission == filling.ID {
			c.filling = running
		} else {
			c.serving = running
		}
	}
	return c
}

// step reports a tail latency of the serving task after 400 ms, and keeps the pace orders that follow.
func (c *paceCell) step(tail time.Duration) {
	c.advance(400 * time.Millisecond)
	serving := c.serving
	serving.Usage, serving.HasUsage = tail.Milliseconds(), true
	c.cell.TakeCommands()
	c.report(Command{Worker: "w0"}, medlarorder.Report{Running: []medlarorder.Running{serving, c.filling}})
	for _, command := range c.cell.TakeCommands() {
		if command.Kind == CommandPace {
			c.paces = append(c.paces, command)
		}
	}
}

// setPace chooses a pace for the best-effort task, and keeps the orders that follow.
func (c *paceCell) setPace(percent int) {
	for _, r := range c.cell.workers["w0"].bestEffortRuns() {
		c.cell.setPace(c.now, r, percent)
	}
	for _, command := range c.cell.TakeCommands() {
		if command.Kind == CommandPace {
			c.paces = append(c.paces, command)
		}
	}
}

// respond lets the last order have the given result.
func (c *paceCell) respond(err error) {
	last := c.paces[len(c.paces)-1]
	c.cell.HandlePaceResponse(c.now, last.Worker, last.Pace, medlarorder.Response{Verdict: medlarorder.VerdictAccepted}, err)
}

// TestLostPaceOrderIsRepeated guards against a best-effort task that goes on disturbing a serving one, because the order that halts it
// was lost.
func TestLostPaceOrderIsRepeated(t *testing.T) {
	c := newPaceCell(t)
	c.setPace(0)
	c.respond(errSimNoResponse)
	c.now = c.now.Add(time.Second)
	c.setPace(0)
	if len(c.paces) != 2 || c.paces[1].Pace.Percent != 0 {
		t.Fatalf("pace orders are %+v, want the lost one and its repetition", c.paces)
	}
	if first, second := c.paces[0].Pace.Fence, c.paces[1].Pace.Fence; second <= first {
		t.Errorf("the repeated order has token %d, want more than %d, so that a late copy of an earlier order has no effect", second, first)
	}
	c.respond(nil)
	c.now = c.now.Add(time.Second)
	if c.setPace(0); len(c.paces) != 2 {
		t.Errorf("%d orders after the second was accepted, want no further one", len(c.paces))
	}
}

// TestResponseToEarlierPaceConfirmsNothing guards against a lost order that is not repeated, because the response to an earlier one
// arrives after it.
func TestResponseToEarlierPaceConfirmsNothing(t *testing.T) {
	c := newPaceCell(t)
	c.setPace(40)
	c.setPace(0)
	c.respond(errSimNoResponse)
	first := c.paces[0]
	c.cell.HandlePaceResponse(c.now, first.Worker, first.Pace, medlarorder.Response{Verdict: medlarorder.VerdictAccepted}, nil)
	c.now = c.now.Add(time.Second)
	if c.setPace(0); len(c.paces) != 3 || c.paces[2].Pace.Percent != 0 {
		t.Errorf("pace orders are %+v, want the halt again", c.paces)
	}
}

// TestLostPaceOrderIsNotRepeatedWithoutPause guards against hundreds of pace orders a second to a worker that does not respond to them.
func TestLostPaceOrderIsNotRepeatedWithoutPause(t *testing.T) {
	c := newPaceCell(t)
	c.setPace(0)
	for range 100 {
		c.respond(errSimNoResponse)
		c.now = c.now.Add(10 * time.Millisecond)
		c.setPace(0)
	}
	if repeated := len(c.paces) - 1; repeated < 2 || repeated > 5 {
		t.Errorf("%d repetitions within a second, want 2 to 5", repeated)
	}
}

// TestAdoptedRunGetsItsPace guards against a best-effort task that stays halted for ever, because the previous owner has halted it and
// this one takes it for a task at full pace.
func TestAdoptedRunGetsItsPace(t *testing.T) {
	serving, filling := paceSubmissions()
	c := &paceCell{scriptedCell: newScriptedCell(t, 0, Ownership{Fence: 2 << 12, Term: 2})}
	for _, s := range []medlarsubmission.Submission{serving, filling} {
		if err := c.cell.Restore(c.now, s, Progress{}, false); err != nil {
			t.Fatal(err)
		}
	}
	c.cell.SetWorker(c.now, testWorker(0))
	c.cell.RestoreWorkers(c.now, []medlarorder.Worker{testWorker(0)})
	c.flush()
	c.serving = medlarorder.Running{Task: medlarsubmission.TaskName{Submission: serving.ID}, Run: 1}
	c.filling = medlarorder.Running{Task: medlarsubmission.TaskName{Submission: filling.ID}, Run: 1}
	for range 5 {
		c.step(loadBaseLatency)
	}
	if len(c.paces) == 0 || c.paces[0].Pace.Percent != fullPace {
		t.Errorf("pace orders to the adopted run are %+v, want one with full pace", c.paces)
	}
}
