package medlarcell

import (
	"strings"
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/internal/execution/medlarorder"
)

// settle lets time pass until the cell is reconciled, while only the first worker responds, and returns the events.
func (sc *scriptedCell) settle(t *testing.T, first medlarwheel.WorkerID) (events []Event) {
	t.Helper()
	for range 400 {
		for _, r := range sc.renewals {
			if r.Worker == first {
				sc.report(r, medlarorder.Report{})
			} else {
				sc.loseResponse(r)
			}
		}
		sc.advance(50 * time.Millisecond)
		sc.dispatch()
		events = append(events, sc.cell.TakeEvents()...)
		for _, e := range events {
			if e.Kind == EventTakeoverReconciled {
				return events
			}
		}
	}
	t.Fatal("the cell was not reconciled within 20 s")
	return nil
}

// TestTakeoverTellsWhyWorkersAreNotAwaited guards against logs that do not show which bound has ended the wait for a worker.
func TestTakeoverTellsWhyWorkersAreNotAwaited(t *testing.T) {
	for name, test := range map[string]struct {
		ownership Ownership
		want      map[medlarwheel.WorkerID]string
	}{
		"leases":     {Ownership{LeaseEnds: map[medlarwheel.WorkerID]time.Time{"w1": simEpoch.Add(time.Second)}}, map[medlarwheel.WorkerID]string{"w1": "stated lease end", "w2": "full lease"}},
		"outage":     {Ownership{OutageLeaseRemaining: 9 * time.Second, LeaseEnds: map[medlarwheel.WorkerID]time.Time{"w1": simEpoch.Add(time.Second)}}, map[medlarwheel.WorkerID]string{"w1": "full lease", "w2": "full lease"}},
		"grace":      {Ownership{Grace: time.Second, Expired: true}, map[medlarwheel.WorkerID]string{"w1": "full lease", "w2": "full lease"}},
		"long-lease": {Ownership{PreviousLease: 10 * time.Second, OutageLeaseRemaining: time.Second, LeaseEnds: map[medlarwheel.WorkerID]time.Time{"w1": simEpoch}}, map[medlarwheel.WorkerID]string{"w1": "outage leases", "w2": "full lease"}},
	} {
		t.Run(name, func(t *testing.T) {
			test.ownership.Fence, test.ownership.Term = 2<<12, 2
			sc := newScriptedCell(t, 3, test.ownership)
			sc.cell.SetWorker(sc.now, testWorker(3))
			got := map[medlarwheel.WorkerID]string{}
			var settled Event
			for _, e := range sc.settle(t, "w0") {
				switch e.Kind {
				case EventWorkerNotAwaited:
					got[e.Worker] = e.Reason
					if e.Age < 0 {
						t.Errorf("worker %s is not awaited %v before the end of its leases", e.Worker, -e.Age)
					}
				case EventTakeoverReconciled:
					settled = e
				}
			}
			if len(got) != len(test.want) || got["w1"] != test.want["w1"] || got["w2"] != test.want["w2"] {
				t.Errorf("reasons: got %v, want %v", got, test.want)
			}
			if !strings.HasSuffix(settled.Reason, "not recorded: 1") || settled.Worker != "w2" && test.want["w1"] != test.want["w2"] {
				t.Errorf("takeover-settled: got reason %q and worker %s, want one worker that is not recorded", settled.Reason, settled.Worker)
			}
		})
	}
}

// TestManyUnheardWorkersAreBounded guards against a change of owner whose log lines hide all others.
func TestManyUnheardWorkersAreBounded(t *testing.T) {
	sc := newScriptedCell(t, 3*maxUnheardEvents, Ownership{Fence: 2 << 12, Term: 2})
	lines := 0
	for _, e := range sc.settle(t, "w0") {
		if e.Kind == EventWorkerNotAwaited {
			lines++
		}
	}
	if lines != maxUnheardEvents {
		t.Errorf("lines about single workers: got %d, want %d", lines, maxUnheardEvents)
	}
}
