package medlarcell

import (
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// TestSilentCentreGetsNoTasks guards against tasks that are sent into a partition, one worker after another, until each of
// its workers has been silent for long enough.
func TestSilentCentreGetsNoTasks(t *testing.T) {
	b := newBench(t, 0, Tenure{Fence: 1 << 12, Term: 1})
	centreOf := map[medlarwheel.WorkerID]medlarwheel.DataCentreID{}
	for i := range 4 {
		info := benchWorker(i)
		info.DataCentre = "north"
		if i >= 2 {
			info.DataCentre = "south"
		}
		centreOf[info.ID] = info.DataCentre
		b.cell.SetWorker(b.now, info)
	}
	b.flush()
	b.look()
	renewals := b.holds
	for _, h := range renewals {
		b.report(h, medlarorder.Report{})
	}
	started := map[medlarwheel.DataCentreID]int{}
	// place starts the tasks of a submission and answers those in the south.
	place := func(id medlarsubmission.ID) {
		s := benchSubmission(benchStep())
		s.ID, s.Steps[0].Count = id, 4
		b.cell.Accept(b.now, s)
		b.look()
		clear(started)
		for _, c := range b.starts {
			started[centreOf[c.Worker]]++
			if centreOf[c.Worker] == "south" {
				answer := medlarorder.Answer{Verdict: medlarorder.VerdictAccepted, Clock: b.now.Sub(simEpoch) + time.Second}
				b.cell.Started(b.now, c.Worker, c.Start, answer, nil)
			}
		}
	}
	place("00000000000000aa")
	if started["north"] == 0 {
		t.Fatal("no task went to the north")
	}
	b.now = b.now.Add(DefaultConfig().SilenceTimeout)
	place("00000000000000ab")
	if started["north"] > 0 || started["south"] == 0 {
		t.Errorf("tasks started while the north is silent: %v", started)
	}
	for _, h := range renewals {
		if centreOf[h.Worker] == "north" {
			b.report(h, medlarorder.Report{})
		}
	}
	place("00000000000000ac")
	if started["north"] == 0 {
		t.Errorf("tasks started after the north has answered: %v", started)
	}
}
