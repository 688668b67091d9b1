package medlarcell

import (
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// runWithVerdicts answers all starts for a minute, each with the verdict of its worker, and returns their number by worker.
func (sc *scriptedCell) runWithVerdicts(verdicts map[medlarwheel.WorkerID]medlarorder.Verdict) map[medlarwheel.WorkerID]int {
	starts := map[medlarwheel.WorkerID]int{}
	running := map[medlarwheel.WorkerID][]medlarorder.Running{}
	for range 1200 {
		sc.advance(50 * time.Millisecond)
		sc.dispatch()
		for _, s := range sc.starts {
			starts[s.Worker]++
			if verdicts[s.Worker] == medlarorder.VerdictAccepted {
				running[s.Worker] = append(running[s.Worker], medlarorder.Running{Task: s.Start.Task, Run: s.Start.Run})
			}
			response := medlarorder.Response{Verdict: verdicts[s.Worker], Clock: sc.now.Sub(simEpoch) + time.Second}
			sc.cell.HandleStartResponse(sc.now, s.Worker, s.Start, response, nil)
		}
		for id := range verdicts {
			sc.report(Command{Worker: id}, medlarorder.Report{Running: running[id]})
		}
		sc.flush()
	}
	return starts
}

// TestInvalidOrdersAreGivenUp guards against orders that every worker rejects as invalid and that are repeated thousands of times a
// second, or for ever.
func TestInvalidOrdersAreGivenUp(t *testing.T) {
	sc := newScriptedCell(t, 3, Ownership{Fence: 1 << 12, Term: 1})
	step := testStep()
	step.Count = 10
	sc.cell.Accept(sc.now, testSubmission(step))
	total := 0
	for _, n := range sc.runWithVerdicts(map[medlarwheel.WorkerID]medlarorder.Verdict{
		"w0": medlarorder.VerdictInvalid, "w1": medlarorder.VerdictInvalid, "w2": medlarorder.VerdictInvalid,
	}) {
		total += n
	}
	if most := step.Count * maxInvalidRounds; total > most {
		t.Errorf("%d starts of %d tasks within a minute, want at most %d", total, step.Count, most)
	}
	if state, _ := sc.cell.State("00000000000000aa"); state != medlarsubmission.StateFailed {
		t.Errorf("the submission is %q after a minute, want failed", state)
	}
}

// TestInvalidVerdictOfOneWorkerFailsNoSubmission guards against a submission that is failed because of one worker which rejects
// every order.
func TestInvalidVerdictOfOneWorkerFailsNoSubmission(t *testing.T) {
	sc := newScriptedCell(t, 2, Ownership{Fence: 1 << 12, Term: 1})
	step := testStep()
	step.Count = 4
	sc.cell.Accept(sc.now, testSubmission(step))
	starts := sc.runWithVerdicts(map[medlarwheel.WorkerID]medlarorder.Verdict{"w0": medlarorder.VerdictInvalid, "w1": medlarorder.VerdictAccepted})
	if state, _ := sc.cell.State("00000000000000aa"); state.IsFinal() || starts["w1"] != step.Count {
		t.Errorf("the submission is %q, with %d starts on the worker that accepts them, want all %d running there", state, starts["w1"], step.Count)
	}
}
