package medlarcell

import (
	"fmt"
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// scriptedCell is a cell with workers whose answers the test writes itself.
type scriptedCell struct {
	*testing.T
	cell *Cell
	now  time.Time
	// starts, holds and stops are the orders since the last look.
	starts, renewals, stops []Command
}

func newScriptedCell(t *testing.T, workers int, tenure Ownership) *scriptedCell {
	b := &scriptedCell{T: t, cell: New(DefaultConfig()), now: simEpoch}
	b.cell.Begin(b.now, tenure)
	b.cell.Authorize(b.now.Add(time.Hour))
	for i := range workers {
		b.cell.SetWorker(b.now, testWorker(i))
	}
	b.flush()
	b.dispatch()
	return b
}

// newInheritingCell returns a cell that has taken over a submission and two workers, of which only the first is registered.
func newInheritingCell(t *testing.T, tenure Ownership) *scriptedCell {
	t.Helper()
	b := newScriptedCell(t, 0, tenure)
	if err := b.cell.Restore(b.now, testSubmission(testStep()), Progress{}, false); err != nil {
		t.Fatal(err)
	}
	b.cell.SetWorker(b.now, testWorker(0))
	b.cell.RestoreWorkers(b.now, []medlarorder.Worker{testWorker(0), testWorker(1)})
	b.flush()
	b.dispatch()
	return b
}

func testWorker(i int) medlarorder.Worker {
	return medlarorder.Worker{
		ID: medlarwheel.WorkerID(fmt.Sprintf("w%d", i)), Incarnation: 1, Service: "svc", Address: fmt.Sprintf("10.0.0.%d:80", i+1),
		Capacity: medlarsubmission.Size{MilliCPU: 8000, MemoryMB: 8000},
	}
}

func testSubmission(steps ...medlarsubmission.Step) medlarsubmission.Submission {
	return medlarsubmission.Submission{
		ID: "00000000000000aa", Route: "q", Service: "svc", AcceptedAt: simEpoch,
		Policy: medlarsubmission.Policy{MaxAttempts: 2, Stretch: 2, Allowance: time.Second}, Steps: steps,
	}
}

func testStep() medlarsubmission.Step {
	return medlarsubmission.Step{Count: 1, Size: medlarsubmission.Size{MilliCPU: 1000, MemoryMB: 10}, Estimate: time.Second}
}

// dispatch sorts the commands since the last look.
func (b *scriptedCell) dispatch() {
	b.cell.Place(b.now)
	b.starts, b.renewals, b.stops = nil, nil, nil
	for _, c := range b.cell.TakeCommands() {
		switch c.Kind {
		case CommandStart:
			b.starts = append(b.starts, c)
		case CommandRenew:
			b.renewals = append(b.renewals, c)
		case CommandStop:
			b.stops = append(b.stops, c)
		}
	}
}

// report answers a hold.
func (b *scriptedCell) report(h Command, r medlarorder.Report) {
	r.Incarnation = max(r.Incarnation, 1)
	if r.Verdict == "" {
		r.Verdict = medlarorder.VerdictAccepted
	}
	r.Clock = b.now.Sub(simEpoch) + time.Second
	b.cell.HandleRenewResponse(b.now, h.Worker, h.OutOfBand, b.now.Add(-time.Millisecond), h.Renew, r, nil)
}

// advance lets time pass with a look at what is due every 50 ms.
func (b *scriptedCell) advance(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(50 * time.Millisecond)
		b.cell.Tick(b.now)
	}
}

func (b *scriptedCell) flush() {
	for b.cell.HasFlush() {
		b.cell.FlushSucceeded(b.now, b.cell.TakeFlush(100))
	}
}

// TestRepeatedFailureCountsOnceAcrossOwners guards against a submission that is shown as failed after one failure: an end that was
// recorded, but not acknowledged before its owner died, is listed again to the next owner.
func TestRepeatedFailureCountsOnceAcrossOwners(t *testing.T) {
	end := medlarorder.Ended{Number: 1, Run: 1, Kind: medlarorder.EndFailed, Task: medlarsubmission.TaskName{Submission: "00000000000000aa"}}
	first := newScriptedCell(t, 1, Ownership{Fence: 1 << 12, Term: 1})
	first.report(first.renewals[0], medlarorder.Report{})
	first.cell.Accept(first.now, testSubmission(testStep()))
	first.dispatch()
	first.cell.HandleStartResponse(first.now, "w0", first.starts[0].Start, medlarorder.Response{Verdict: medlarorder.VerdictAccepted}, nil)
	first.report(first.renewals[0], medlarorder.Report{Ended: []medlarorder.Ended{end}})
	stored := first.cell.TakeFlush(100).Records[0].Progress

	next := newScriptedCell(t, 0, Ownership{Fence: 2 << 12, Term: 2})
	if err := next.cell.Restore(next.now, testSubmission(testStep()), stored, false); err != nil {
		t.Fatal(err)
	}
	next.cell.SetWorker(next.now, testWorker(0))
	next.dispatch()
	next.report(next.renewals[0], medlarorder.Report{Ended: []medlarorder.Ended{end}})
	next.flush()
	if state, _ := next.cell.State("00000000000000aa"); state == medlarsubmission.StateFailed {
		t.Fatal("one failed run, listed twice, has failed a submission that may fail twice")
	}
}

// TestUnresponsiveWorkerLosesItsTasks guards against tasks that stay with a crashed worker for ever: a renewal without an answer
// may have extended the lease, so that repeating it moves the end of the lease away.
func TestUnresponsiveWorkerLosesItsTasks(t *testing.T) {
	b := newScriptedCell(t, 2, Ownership{Fence: 1 << 12, Term: 1})
	for _, h := range b.renewals {
		b.report(h, medlarorder.Report{})
	}
	b.cell.Accept(b.now, testSubmission(testStep()))
	b.dispatch()
	first := b.starts[0]
	b.cell.HandleStartResponse(b.now, first.Worker, first.Start, medlarorder.Response{Verdict: medlarorder.VerdictAccepted}, nil)
	running := []medlarorder.Running{{Task: first.Start.Task, Run: 1}}
	b.now = b.now.Add(time.Millisecond)
	for step := 0; step < 200 && (len(b.starts) == 0 || b.starts[0].Worker == first.Worker); step++ {
		for _, h := range b.renewals {
			switch {
			case h.Worker != first.Worker:
				b.report(h, medlarorder.Report{})
			case step == 0:
				b.report(h, medlarorder.Report{Running: running})
			default:
				b.cell.HandleRenewResponse(b.now, h.Worker, h.OutOfBand, b.now, h.Renew, medlarorder.Report{}, errSimNoResponse)
			}
		}
		b.advance(100 * time.Millisecond)
		b.dispatch()
	}
	if len(b.starts) == 0 {
		t.Fatalf("after %v the task of a silent worker has not been started elsewhere", b.now.Sub(simEpoch))
	}
	if lease := DefaultConfig().Lease; b.now.Sub(simEpoch) < lease {
		t.Fatalf("the task was started elsewhere after %v, before the lease of %v had ended", b.now.Sub(simEpoch), lease)
	}
}

// TestRenewalAfterLostResponseAcknowledgesNothing guards against ends that a restarted worker forgets unread: a connection that is
// opened anew may reach another life, whose ends are numbered from 1 again.
func TestRenewalAfterLostResponseAcknowledgesNothing(t *testing.T) {
	b := newScriptedCell(t, 1, Ownership{Fence: 1 << 12, Term: 1})
	b.report(b.renewals[0], medlarorder.Report{Ended: []medlarorder.Ended{{Number: 1, Run: 1, Kind: medlarorder.EndDone}}})
	b.advance(DefaultConfig().AckWaitTimeout)
	b.flush()
	b.cell.FlushSucceeded(b.now, b.cell.TakeFlush(0))
	b.dispatch()
	if len(b.renewals) != 1 {
		t.Fatalf("%d renewals are due, want 1", len(b.renewals))
	}
	b.cell.HandleRenewResponse(b.now, "w0", false, b.now, b.renewals[0].Renew, medlarorder.Report{}, errSimNoResponse)
	b.dispatch()
	if acked := b.renewals[0].Renew.AckedUpTo; acked != 0 {
		t.Fatalf("the renewal after a lost answer acknowledges ends up to %d", acked)
	}
}

// TestFencedOwnerConfirmsOwnershipBeforeRaisingToken guards against an owner that gives the cell up, or stays locked out, because a worker
// that was forgotten and came back knows a token that the same owner had raised for it.
func TestFencedOwnerConfirmsOwnershipBeforeRaisingToken(t *testing.T) {
	b := newScriptedCell(t, 1, Ownership{Fence: 1 << 12, Term: 1})
	refused := b.renewals[0]
	b.report(refused, medlarorder.Report{Verdict: medlarorder.VerdictFenced})
	if !b.cell.NeedsOwnershipCheck() {
		t.Fatal("a refused token does not ask for a confirmation")
	}
	b.dispatch()
	pending := b.renewals[0]
	b.now = b.now.Add(10 * time.Millisecond)
	b.cell.OwnershipConfirmed(b.now, b.now)
	// The renewal that was on its way with the old token is refused, and the next one has the raised token.
	b.report(pending, medlarorder.Report{Verdict: medlarorder.VerdictFenced})
	b.dispatch()
	if b.cell.NeedsOwnershipCheck() || len(b.renewals) == 0 || b.renewals[len(b.renewals)-1].Renew.Fence <= refused.Renew.Fence {
		t.Fatal("after its ownership is confirmed, the owner does not raise the worker's token")
	}
}

// TestUnregisteredWorkerKeepsItsTasks guards against a second run of tasks on workers whose registrations lapsed while the
// table was away: they are cut off or slow to register again, and run on under their leases.
func TestUnregisteredWorkerKeepsItsTasks(t *testing.T) {
	for _, grace := range []time.Duration{0, 2 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) { checkTakeoverWithUnregisteredWorker(t, grace) })
	}
}

func checkTakeoverWithUnregisteredWorker(t *testing.T, grace time.Duration) {
	b := newInheritingCell(t, Ownership{Fence: 2 << 12, Term: 2, Grace: grace})
	for _, h := range b.renewals {
		if h.Worker == "w0" {
			b.report(h, medlarorder.Report{})
		}
	}
	b.dispatch()
	if len(b.starts) > 0 {
		t.Fatal("a task was started although it may run on a worker whose registration has lapsed")
	}
	pending := b.renewals
	b.advance(grace + b.cell.inheritedLeaseBound(false) - 200*time.Millisecond)
	b.dispatch()
	if len(b.starts) > 0 {
		t.Fatal("a task was started before every lease must have ended")
	}
	pending = append(pending, b.renewals...)
	b.advance(300 * time.Millisecond)
	for _, h := range pending {
		if h.Worker == "w0" {
			b.report(h, medlarorder.Report{})
		}
	}
	b.dispatch()
	if len(b.starts) != 1 {
		t.Fatal("the task was not started after every lease must have ended")
	}
}

// TestCancelledSubmissionIsNotStarted guards against tasks that are started after the cancellation of their submission: both may
// come in with one read of the table.
func TestCancelledSubmissionIsNotStarted(t *testing.T) {
	b := newScriptedCell(t, 1, Ownership{Fence: 1 << 12, Term: 1})
	b.report(b.renewals[0], medlarorder.Report{})
	b.cell.Accept(b.now, testSubmission(testStep()))
	b.cell.Cancel(b.now, "00000000000000aa")
	b.dispatch()
	if len(b.starts) > 0 {
		t.Fatal("a task of a cancelled submission was started")
	}
}

// TestNewSubmissionWaitsForGracePeriod guards against a submission that two owners start: the one before may still give orders,
// and hears of new submissions as well.
func TestNewSubmissionWaitsForGracePeriod(t *testing.T) {
	b := newScriptedCell(t, 2, Ownership{Fence: 2 << 12, Term: 2, Grace: 2 * time.Second})
	b.report(b.renewals[0], medlarorder.Report{})
	b.cell.Accept(b.now, testSubmission(testStep()))
	second := b.renewals[1]
	b.dispatch()
	if len(b.starts) > 0 {
		t.Fatal("a new submission was started while the owner before may start it too")
	}
	// With a raised token on every worker, the owner before can start nothing any more.
	b.report(second, medlarorder.Report{})
	b.dispatch()
	if len(b.starts) != 1 {
		t.Fatal("the submission was not started although every worker has reported")
	}
}

// TestNextOwnerIgnoresDrainingAndUnregisteredWorkers guards against a worker that has left, or is leaving, and is in use again after a change
// of owner: the list of the fleet still names it, and it still answers.
func TestNextOwnerIgnoresDrainingAndUnregisteredWorkers(t *testing.T) {
	b := newScriptedCell(t, 0, Ownership{Fence: 2 << 12, Term: 2})
	leaving := testWorker(1)
	leaving.Draining = true
	b.cell.SetWorkers(b.now, []medlarorder.Worker{testWorker(0), leaving})
	b.cell.RestoreWorkers(b.now, []medlarorder.Worker{testWorker(0), testWorker(1), testWorker(2)})
	b.flush()
	b.dispatch()
	if len(b.renewals) != 3 {
		t.Fatalf("%d workers were asked for their lists, want all three", len(b.renewals))
	}
	for _, h := range b.renewals {
		b.report(h, medlarorder.Report{})
	}
	step := testStep()
	step.Count, step.MaxPerWorker = 3, 1
	b.cell.Accept(b.now, testSubmission(step))
	b.dispatch()
	if len(b.starts) != 1 || b.starts[0].Worker != "w0" {
		t.Fatalf("tasks were started by %d orders, want one to w0, which alone stays", len(b.starts))
	}
}
