package medlarcell

import (
	"fmt"
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/internal/execution/medlarorder"
)

// crashCell is a cell whose workers crash right after the start of a task, and are back a few seconds later under another
// id at the same address.
type crashCell struct {
	*scriptedCell
	addresses map[medlarwheel.WorkerID]string
	lives     int
}

func newCrashCell(t *testing.T, workers int, ownership Ownership) *crashCell {
	c := &crashCell{scriptedCell: newScriptedCell(t, 0, ownership), addresses: map[medlarwheel.WorkerID]string{}}
	for i := range workers {
		c.join(fmt.Sprintf("10.0.0.%d:80", i+1))
	}
	return c
}

// join registers a new worker at an address and reports for it.
func (c *crashCell) join(address string) {
	c.lives++
	w := testWorker(0)
	w.ID, w.Address = medlarwheel.WorkerID(fmt.Sprintf("w%d", c.lives)), address
	c.addresses[w.ID] = address
	c.cell.SetWorker(c.now, w)
	c.flush()
	c.keepAlive()
}

// keepAlive responds to the renewals of all workers that are up, and lets the others get no response.
func (c *crashCell) keepAlive() {
	starts := c.starts
	c.dispatch()
	for _, renewal := range c.renewals {
		if c.addresses[renewal.Worker] != "" {
			c.report(renewal, medlarorder.Report{})
		} else {
			c.loseResponse(renewal)
		}
	}
	c.starts = append(starts, c.starts...)
}

// crashAtStart confirms the start of a task and lets the worker crash of it. It returns the starts that follow within the
// time in which the lease of the worker must have ended.
func (c *crashCell) crashAtStart(start Command) []Command {
	c.starts = nil
	c.cell.HandleStartResponse(c.now, start.Worker, start.Start, medlarorder.Response{Verdict: medlarorder.VerdictAccepted}, nil)
	address := c.addresses[start.Worker]
	delete(c.addresses, start.Worker)
	for step := range 100 {
		c.advance(100 * time.Millisecond)
		switch step {
		case 30:
			c.cell.Unregister(c.now, start.Worker)
		case 40:
			c.join(address)
		}
		c.flush()
		c.keepAlive()
	}
	return c.starts
}

// events returns the events of a kind since the last call.
func (c *crashCell) events(kind EventKind) (found []Event) {
	for _, e := range c.cell.TakeEvents() {
		if e.Kind == kind {
			found = append(found, e)
		}
	}
	return found
}

// TestRepeatedCrashesAreLogged guards against logs that do not tell how many workers have crashed under a task.
func TestRepeatedCrashesAreLogged(t *testing.T) {
	c := newCrashCell(t, 3, Ownership{Fence: 1 << 12, Term: 1})
	c.cell.Accept(c.now, testSubmission(testStep()))
	c.dispatch()
	starts := c.starts
	for range 2 {
		starts = c.crashAtStart(starts[0])
	}
	logged := c.events(EventTaskSuspected)
	if len(logged) != 1 || logged[0].Count != 2 {
		t.Fatalf("%d events, want one that counts two crashes: %+v", len(logged), logged)
	}
	if want := "confirmed 2, right after the start 2, alone 2"; logged[0].Reason != want {
		t.Fatalf("the event gives %q, want %q", logged[0].Reason, want)
	}
}
