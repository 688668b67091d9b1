package medlarcell

import (
	"slices"
	"strings"
	"testing"
	"time"

	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// bestEffortWaits returns the events about waiting best-effort submissions after a wait of 5 s, the last ones first.
func (sc *scriptedCell) bestEffortWaits() []Event {
	sc.cell.TakeEvents()
	for range 100 {
		sc.advance(50 * time.Millisecond)
		sc.report(Command{Worker: "w0"}, medlarorder.Report{})
	}
	events := slices.DeleteFunc(sc.cell.TakeEvents(), func(e Event) bool { return e.Kind != EventBestEffortWaiting })
	slices.Reverse(events)
	return events
}

func newBestEffortCell(t *testing.T, steps ...medlarsubmission.Step) (*scriptedCell, *step) {
	sc := newScriptedCell(t, 1, Ownership{Fence: 1 << 12, Term: 1})
	sc.report(sc.renewals[0], medlarorder.Report{})
	for i := range steps {
		steps[i].BestEffort, steps[i].Image = true, "f0"
	}
	s := testSubmission(steps...)
	s.Policy.Priority = 2
	sc.cell.Accept(sc.now, s)
	sc.cell.updateQueue(sc.now)
	return sc, sc.cell.jobs[s.ID].occurrences[0].steps[0]
}

// TestWaitReasonTellsWhatHoldsBestEffortWork guards against a log that cannot tell why one best-effort submission waits: the order of
// the queue, the room, the serving tasks, the shape of the step, or a queue that lacks it.
func TestWaitReasonTellsWhatHoldsBestEffortWork(t *testing.T) {
	tests := map[string]func(sc *scriptedCell, s *step){
		// No pass places the task.
		"position 1 of 1, past its hard deadline, first step, width 1, size 1000/10/0, in queue for 4.0 s: fit 1": func(_ *scriptedCell, s *step) {
			s.rank.Timeliness = 2
		},
		"in no queue":  func(sc *scriptedCell, _ *step) { sc.cell.queue = nil },
		"gang":         func(_ *scriptedCell, s *step) { s.spec.Gang = true },
		"processors 1": func(sc *scriptedCell, _ *step) { sc.cell.workers["w0"].bestEffortCPU = 7500 },
		"memory 1":     func(sc *scriptedCell, _ *step) { sc.cell.workers["w0"].committed.MemoryMB = 8000 },
		"suspended 1":  func(sc *scriptedCell, _ *step) { sc.cell.workers["w0"].suspendedUntil = sc.now.Add(time.Minute) },
		"headroom 1": func(sc *scriptedCell, _ *step) {
			sc.cell.config.Interference.DefaultBaselineUtilisation = 2
			serving := testStep()
			serving.LongRunning, serving.TailLatencyTarget, serving.Image = true, 50*time.Millisecond, "s0"
			j := sc.cell.add(testSubmissionWithID(1, serving, 0), false)
			w := sc.cell.workers["w0"]
			w.addRun(newRun(sc.now, w, j.occurrence(0).steps[0], 0, 1))
		},
		"harm 1": func(sc *scriptedCell, _ *step) { sc.cell.config.Interference.MaxHarm = [3]float64{-1, -1, -1} },
	}
	for want, hold := range tests {
		sc, s := newBestEffortCell(t, testStep())
		hold(sc, s)
		events := sc.bestEffortWaits()
		if len(events) == 0 || !strings.Contains(events[0].Reason, want) {
			t.Errorf("the events are %+v, want a reason with %q", events, want)
		}
	}
}

// TestWaitReasonsOfBestEffortWorkAreBounded guards against a log that fills with the waits of a large backlog, and that hides the oldest.
func TestWaitReasonsOfBestEffortWorkAreBounded(t *testing.T) {
	sc, _ := newBestEffortCell(t, testStep())
	for i := range 50 {
		step := testStep()
		step.BestEffort = true
		s := testSubmissionWithID(i, step, 2)
		s.AcceptedAt = sc.now.Add(time.Duration(1+i) * time.Millisecond)
		sc.cell.Accept(sc.now, s)
	}
	events := sc.bestEffortWaits()
	if want := 2 * maxBestEffortWaits; len(events) != want {
		t.Fatalf("%d events, want %d", len(events), want)
	}
	if oldest := events[maxBestEffortWaits-1]; oldest.Task.Submission != "00000000000000aa" || !strings.Contains(oldest.Reason, "submissions like it 51") {
		t.Errorf("the first event of a round is %+v, want one about the submission that was accepted first, of 51", oldest)
	}
}

// TestRunningSubmissionIsNotReportedAsWaiting guards against lines about submissions that progress.
func TestRunningSubmissionIsNotReportedAsWaiting(t *testing.T) {
	wide := testStep()
	wide.Count = 2
	wide.Size.MilliCPU = 5000
	sc, _ := newBestEffortCell(t, wide)
	sc.dispatch()
	if len(sc.starts) != 1 {
		t.Fatalf("%d starts, want 1", len(sc.starts))
	}
	if waiting := sc.cell.waitingBestEffortSteps(sc.now.Add(time.Minute)); len(waiting) > 0 {
		t.Errorf("%d waiting submissions, want none", len(waiting))
	}
}
