package medlarcell

import (
	"testing"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// movedCell is a cell with a worker of the service svc, w0, and one of svc-2, w1. The test submission was accepted for svc.
type movedCell struct {
	*scriptedCell
	running map[medlarwheel.WorkerID][]medlarorder.Running
	ended   []medlarorder.Ended
}

func newMovedCell(t *testing.T, term uint64) *movedCell {
	c := &movedCell{scriptedCell: newScriptedCell(t, 0, Ownership{Fence: medlarwheel.FencingToken(term << 12), Term: term}), running: map[medlarwheel.WorkerID][]medlarorder.Running{}}
	for i, service := range []medlarwheel.ServiceName{"svc", "svc-2"} {
		w := testWorker(i)
		w.Service = service
		c.cell.SetWorker(c.now, w)
	}
	c.flush()
	c.round()
	return c
}

// round lets both workers report and starts waiting tasks. It returns the workers that got one.
func (c *movedCell) round() (started []medlarwheel.WorkerID) {
	c.now = c.now.Add(fullScanInterval)
	for _, w := range []medlarwheel.WorkerID{"w0", "w1"} {
		report := medlarorder.Report{Running: c.running[w]}
		if w == "w0" {
			report.Ended = c.ended
		}
		c.report(Command{Worker: w}, report)
	}
	c.dispatch()
	for _, s := range c.starts {
		started = append(started, s.Worker)
		c.running[s.Worker] = append(c.running[s.Worker], medlarorder.Running{Task: s.Start.Task, Run: s.Start.Run})
		c.cell.HandleStartResponse(c.now, s.Worker, s.Start, medlarorder.Response{Verdict: medlarorder.VerdictAccepted}, nil)
	}
	return started
}

// end ends the first run on w0.
func (c *movedCell) end(kind medlarorder.EndKind) {
	run := c.running["w0"][0]
	c.running["w0"] = c.running["w0"][1:]
	c.ended = append(c.ended, medlarorder.Ended{Number: medlarorder.EndNumber(len(c.ended) + 1), Task: run.Task, Run: run.Run, Kind: kind})
}

func routeTo(service medlarwheel.ServiceName) map[string]medlarwheel.ServiceName {
	return map[string]medlarwheel.ServiceName{"q": service}
}

// TestQueueTakesItsSubmissionsAlong guards against accepted submissions that stay with the service of their acceptance for ever,
// although the configuration has moved their queue to another one.
func TestQueueTakesItsSubmissionsAlong(t *testing.T) {
	c := newMovedCell(t, 1)
	lasting, later := testStep(), testStep()
	lasting.LongRunning = true
	lasting.Size.MilliCPU = 5000
	later.After = []int{0}
	watch := testSubmission(lasting)
	watch.ID = "00000000000000bb"
	c.cell.Accept(c.now, testSubmission(testStep(), later))
	c.cell.Accept(c.now, watch)
	second := watch
	second.ID = "00000000000000cc"
	c.cell.Accept(c.now, second)
	if started := c.round(); len(started) != 2 || started[0] != "w0" || started[1] != "w0" {
		t.Fatalf("tasks were started on %v, want two on w0 and one that waits for room", started)
	}
	c.cell.SetRoutes(c.now, 2, routeTo("svc-2"))
	if started := c.round(); len(started) != 1 || started[0] != "w1" {
		t.Fatalf("after the queue has moved, tasks were started on %v, want the one that waits on w1", started)
	}
	if len(c.stops) > 0 || len(c.cell.workers["w0"].runs) != 2 {
		t.Errorf("%d stops, %d runs on w0; want what runs to end where it runs", len(c.stops), len(c.cell.workers["w0"].runs))
	}
	// The first to end is the task of the first step, or the long-running one.
	for range 2 {
		kind := medlarorder.EndDone
		if c.running["w0"][0].Task.Submission == watch.ID {
			kind = medlarorder.EndFailed
		}
		c.end(kind)
		if kind == medlarorder.EndFailed {
			c.cell.workers["w1"].info.Capacity.MilliCPU = 16000
			c.cell.failureCache.workerChanged(c.cell.workers["w1"])
		}
		if started := c.round(); len(started) != 1 || started[0] != "w1" {
			t.Errorf("after an end that is %q, tasks were started on %v, want the next one on w1", kind, started)
		}
	}
}

// TestMovedQueueMayMoveBack guards against an older configuration that undoes a newer one, and against a newer one that is ignored
// because it sends the queue back.
func TestMovedQueueMayMoveBack(t *testing.T) {
	c := newMovedCell(t, 1)
	c.cell.SetRoutes(c.now, 5, routeTo("svc-2"))
	c.cell.SetRoutes(c.now, 4, routeTo("svc"))
	c.cell.Accept(c.now, testSubmission(testStep()))
	if started := c.round(); len(started) != 1 || started[0] != "w1" {
		t.Errorf("with versions 5 and then 4 the task was started on %v, want w1 by version 5", started)
	}
	c.cell.SetRoutes(c.now, 6, routeTo("svc"))
	again := testSubmission(testStep())
	again.ID = "00000000000000bb"
	c.cell.Accept(c.now, again)
	if started := c.round(); len(started) != 1 || started[0] != "w0" {
		t.Errorf("with version 6 the task was started on %v, want w0", started)
	}
}

// TestSubmissionKeepsServiceOfNewerVersion guards against a submission that an instance has accepted under a newer configuration
// than the owner has, and that is sent to the service of the older one.
func TestSubmissionKeepsServiceOfNewerVersion(t *testing.T) {
	c := newMovedCell(t, 1)
	c.cell.SetRoutes(c.now, 4, routeTo("svc"))
	s := testSubmission(testStep())
	s.Service, s.ConfigVersion = "svc-2", 5
	c.cell.Accept(c.now, s)
	if started := c.round(); len(started) != 1 || started[0] != "w1" {
		t.Errorf("the task was started on %v, want w1", started)
	}
}

// TestSubmissionOfDeletedQueueKeepsItsLastService guards against submissions that go back to the service of their acceptance, or
// stop, when their queue is deleted after it has moved, also with the next owner.
func TestSubmissionOfDeletedQueueKeepsItsLastService(t *testing.T) {
	first := newMovedCell(t, 1)
	wide := testStep()
	wide.Size.MilliCPU = 20000
	first.cell.Accept(first.now, testSubmission(wide))
	first.cell.SetRoutes(first.now, 2, routeTo("svc-2"))
	first.cell.SetRoutes(first.now, 3, nil)
	first.cell.workers["w1"].info.Capacity.MilliCPU = 20000
	stored := first.progress()
	if started := first.round(); len(started) != 1 || started[0] != "w1" {
		t.Errorf("the task was started on %v, want w1", started)
	}
	if !first.cell.HasFlush() {
		t.Error("the move changes no record")
	}
	next := newMovedCell(t, 2)
	next.cell.SetRoutes(next.now, 3, nil)
	if err := next.cell.Restore(next.now, testSubmission(testStep()), stored, false); err != nil {
		t.Fatal(err)
	}
	if started := next.round(); len(started) != 1 || started[0] != "w1" {
		t.Errorf("the next owner has started the task on %v, want w1", started)
	}
}

// TestRestoredSubmissionFollowsItsQueue guards against a new owner that loads submissions with the service of their acceptance.
func TestRestoredSubmissionFollowsItsQueue(t *testing.T) {
	c := newMovedCell(t, 2)
	c.cell.SetRoutes(c.now, 2, routeTo("svc-2"))
	if err := c.cell.Restore(c.now, testSubmission(testStep()), Progress{}, false); err != nil {
		t.Fatal(err)
	}
	if started := c.round(); len(started) != 1 || started[0] != "w1" {
		t.Errorf("the task was started on %v, want w1", started)
	}
	if state, _ := c.cell.State("00000000000000aa"); state != medlarsubmission.StateRunning {
		t.Errorf("the submission is %q, want running", state)
	}
}
