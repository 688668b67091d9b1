package medlarcell

import (
	"fmt"
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// seriesWorkers is the number of workers of an ownerSeries. Two of them run a task each.
const seriesWorkers = 3

// ownerSeries is a series of owners of one cell with a worker that is lost, and others that respond.
type ownerSeries struct {
	*scriptedCell
	t      *testing.T
	term   uint64
	stored Progress
	// left is what the last stored renewal says of leases, and storedAt when it was stored.
	left     map[medlarwheel.WorkerID]time.Duration
	storedAt time.Time
	lost     medlarwheel.WorkerID
	// restartedAfter is the age in the event of the restart.
	restartedAfter time.Duration
	// running holds what the workers run.
	running map[medlarwheel.WorkerID][]medlarorder.Running
}

// newOwnerSeries returns a series whose first owner has started two long-running tasks, one of them on a worker that is lost now.
func newOwnerSeries(t *testing.T) *ownerSeries {
	s := &ownerSeries{
		t: t, term: 1, scriptedCell: newScriptedCell(t, seriesWorkers, Ownership{Fence: 1 << 12, Term: 1}), running: map[medlarwheel.WorkerID][]medlarorder.Running{},
	}
	for _, r := range s.renewals {
		s.report(r, medlarorder.Report{})
	}
	s.cell.Accept(s.now, seriesSubmission())
	for range 20 {
		s.round()
	}
	for s.lost = range s.running {
		return s
	}
	t.Fatal("the task was not started")
	return nil
}

func seriesSubmission() medlarsubmission.Submission {
	step := testStep()
	step.LongRunning, step.Count, step.MaxPerWorker = true, 2, 1
	return testSubmission(step)
}

// round lets 50 ms pass, with the responses of the workers that are up and a renewal. It reports whether a task was started.
func (s *ownerSeries) round() (started bool) {
	for _, e := range s.cell.TakeEvents() {
		if e.Kind == EventTaskRestarted {
			s.restartedAfter = e.Age
		}
	}
	s.advance(50 * time.Millisecond)
	s.dispatch()
	for _, start := range s.starts {
		started = true
		s.running[start.Worker] = []medlarorder.Running{{Task: start.Start.Task, Run: start.Start.Run}}
		s.cell.HandleStartResponse(s.now, start.Worker, start.Start, medlarorder.Response{Verdict: medlarorder.VerdictAccepted}, nil)
	}
	for _, r := range s.renewals {
		if r.Worker == s.lost {
			s.loseResponse(r)
			continue
		}
		s.report(r, medlarorder.Report{Running: s.running[r.Worker]})
	}
	s.flush()
	s.left, s.storedAt = s.cell.TakeLeasesLeft(s.now), s.now
	s.cell.ConfirmLeasesLeft(s.now, s.left)
	s.stored = s.progress()
	return started
}

// changeOwner lets the next owner claim the cell.
func (s *ownerSeries) changeOwner(expired bool) {
	s.term++
	ends := map[medlarwheel.WorkerID]time.Time{}
	for id, left := range s.left {
		ends[id] = s.storedAt.Add(left)
	}
	now := s.now
	s.scriptedCell = &scriptedCell{T: s.t, cell: New(DefaultConfig()), now: now}
	s.cell.Begin(now, Ownership{Fence: medlarwheel.FencingToken(s.term << 12), Term: s.term, Expired: expired, LeaseEnds: ends})
	s.cell.Authorize(now.Add(time.Hour))
	s.cell.ExcludeSuccessor(now.Add(time.Hour))
	if err := s.cell.Restore(now, seriesSubmission(), s.stored, false); err != nil {
		s.t.Fatal(err)
	}
	for i := range seriesWorkers {
		w := testWorker(i)
		s.cell.RestoreWorkers(now, []medlarorder.Worker{w})
		if w.ID != s.lost {
			s.cell.SetWorker(now, w)
		}
	}
	s.flush()
}

// TestChangeOfOwnerDoesNotDelayLostTask guards against a task that is lost with its worker and waits for a full lease again after
// each change of owner, planned or not.
func TestChangeOfOwnerDoesNotDelayLostTask(t *testing.T) {
	waitFor := func(changes []time.Duration, expired bool) time.Duration {
		s := newOwnerSeries(t)
		lostAt := s.now
		for s.now.Sub(lostAt) < 3*DefaultConfig().MaxLease {
			if len(changes) > 0 && s.now.Sub(lostAt) >= changes[0] {
				s.changeOwner(expired)
				changes = changes[1:]
			}
			if s.round() {
				waited := s.now.Sub(lostAt)
				if s.round(); s.restartedAfter < waited-time.Second || s.restartedAfter > waited+time.Second {
					t.Errorf("the event of the restart gives %v since the loss, want about %v", s.restartedAfter, waited)
				}
				return waited
			}
		}
		return s.now.Sub(lostAt)
	}
	without := waitFor(nil, false)
	if lease := DefaultConfig().Lease; without < lease-time.Second {
		t.Fatalf("the task was started elsewhere after %v, want after its lease of %v", without, lease)
	}
	for _, changes := range [][]time.Duration{
		{1500 * time.Millisecond}, {5500 * time.Millisecond}, {2 * time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second, 6 * time.Second},
	} {
		for _, expired := range []bool{false, true} {
			name := fmt.Sprintf("changes after %v, expired %v", changes, expired)
			if with := waitFor(changes, expired); with > without+200*time.Millisecond {
				t.Errorf("%s: the task was started after %v, without a change after %v", name, with, without)
			}
		}
	}
}

// TestStoredLeaseIsNotExtended guards against a second run of a task: the worker responds again and gets a longer lease than the
// one that a renewal in the table states, its owner ends, and the successor does not reach the worker.
func TestStoredLeaseIsNotExtended(t *testing.T) {
	s := newOwnerSeries(t)
	for range 40 {
		s.round()
	}
	w := s.cell.workers[s.lost]
	if left := s.left[s.lost]; left <= 0 || left > DefaultConfig().Lease {
		t.Fatalf("the renewal states %v left of the lease of the silent worker, want more than 0 and at most %v", left, DefaultConfig().Lease)
	}
	end := w.leaseEnd
	s.dispatch()
	back := Command{Worker: s.lost}
	for range 3 {
		s.report(back, medlarorder.Report{Running: s.running[s.lost]})
		s.dispatch()
		for _, r := range s.renewals {
			if r.Worker == s.lost && (r.Renew.LeaseEnd != 0 || r.Renew.Wait != 0) {
				t.Fatalf("the lease is extended to %v with a wait of %v before a renewal without the worker is stored", r.Renew.LeaseEnd, r.Renew.Wait)
			}
		}
		if s.cell.isUsable(s.now, w) {
			t.Fatal("the worker may get new tasks, whose starts would extend its lease")
		}
		s.now = s.now.Add(50 * time.Millisecond)
	}
	if !w.leaseEnd.Equal(end) {
		t.Fatalf("the lease ends %v later", w.leaseEnd.Sub(end))
	}
	if !s.cell.HasSilenceChanged() {
		t.Fatal("no renewal is due although the worker has responded")
	}
	left := s.cell.TakeLeasesLeft(s.now)
	s.report(back, medlarorder.Report{Running: s.running[s.lost]})
	if s.dispatch(); len(s.renewals) > 0 && s.renewals[0].Renew.LeaseEnd != 0 {
		t.Fatal("the lease is extended before the renewal without the worker is confirmed")
	}
	s.cell.ConfirmLeasesLeft(s.now, left)
	s.report(back, medlarorder.Report{Running: s.running[s.lost]})
	if s.dispatch(); len(s.renewals) != 1 || s.renewals[0].Renew.LeaseEnd == 0 {
		t.Errorf("next renewals of the worker are %+v, want one that extends its lease", s.renewals)
	}
}

// TestOutageExtendsStoredLease guards against the tasks of a data centre that end because its workers were silent when the table
// became unavailable, so that no renewal without them can be stored.
func TestOutageExtendsStoredLease(t *testing.T) {
	s := newOwnerSeries(t)
	for range 40 {
		s.round()
	}
	const outageLease = 8 * time.Second
	s.cell.AllowOutageLease(s.now.Add(time.Second), outageLease)
	s.report(Command{Worker: s.lost}, medlarorder.Report{Running: s.running[s.lost]})
	s.dispatch()
	extended := false
	for _, r := range s.renewals {
		if r.Worker == s.lost {
			extended = r.Renew.LeaseEnd != 0
		}
	}
	if bound := s.now.Add(time.Duration(float64(outageLease)*1.03) + DefaultConfig().LeaseMargin); !extended || s.cell.workers[s.lost].leaseEnd.After(bound) {
		t.Errorf("lease extended: %v, it ends after %v, want at most %v", extended, s.cell.workers[s.lost].leaseEnd.Sub(s.now), bound.Sub(s.now))
	}
}

// TestOutageLeasesDelayReconciliation guards against a second run of a task whose worker was silent at the last renewal and got an
// outage lease after it.
func TestOutageLeasesDelayReconciliation(t *testing.T) {
	sc := newScriptedCell(t, 0, Ownership{
		Fence: 2 << 12, Term: 2, OutageLeaseRemaining: 4 * time.Second, LeaseEnds: map[medlarwheel.WorkerID]time.Time{"w0": simEpoch.Add(time.Second)},
	})
	sc.cell.RestoreWorkers(sc.now, []medlarorder.Worker{testWorker(0)})
	for _, want := range []struct {
		after      time.Duration
		reconciled bool
	}{{after: 3900 * time.Millisecond}, {after: 4500 * time.Millisecond, reconciled: true}} {
		if got := sc.cell.isReconciled(simEpoch.Add(want.after)); got != want.reconciled {
			t.Errorf("reconciled after %v: got %v, want %v", want.after, got, want.reconciled)
		}
	}
}
