package medlarcell

import (
	"testing"
	"time"

	"medlarwheel/internal/acceptance/medlarsubmission"
)

const (
	// turnsSubmissions best-effort submissions of turnsTasks tasks arrive at once. All of them take about 70 s.
	turnsSubmissions = 400
	turnsTasks       = 8
	turnsDuration    = 90 * time.Second
	// turnsMaxWait is twice the time after which the result of a submission is of no use to its client.
	turnsMaxWait = 30 * time.Second
)

// playBacklog plays the load and returns when the last submission has begun, and when all were done or the play was over.
func (f *loadFleet) playBacklog() (lastBegun, allDone time.Duration) {
	for n := range turnsSubmissions {
		size := medlarsubmission.Size{MilliCPU: loadTaskCPU/2 + int64(f.rng.IntN(loadTaskCPU))}
		f.accept(bestEffortID(n), 2, medlarsubmission.Step{
			Count: turnsTasks, Size: size, Estimate: 1900 * time.Millisecond, BestEffort: true, Image: "filling-0",
		})
	}
	for unfinished := turnsSubmissions; unfinished > 0 && f.elapsed() < turnsDuration; {
		f.playTick()
		unfinished = 0
		for n := range turnsSubmissions {
			j := f.cell.jobs[bestEffortID(n)]
			if !j.started {
				lastBegun = f.elapsed()
			}
			if !j.state.IsFinal() {
				unfinished++
			}
		}
	}
	return lastBegun, f.elapsed()
}

// TestBacklogPastItsDeadlineBegins guards against accepted best-effort work that has nothing running until all smaller work that is
// as late is done, although serving and urgent tasks leave most of the workers free.
func TestBacklogPastItsDeadlineBegins(t *testing.T) {
	forSeeds(t, 3, func(t *testing.T, seed uint64) {
		lastBegun, allDone := newLoadFleet(t, seed).playBacklog()
		t.Logf("the last submission has begun after %v, and all are done after %v", lastBegun, allDone)
		if lastBegun > turnsMaxWait {
			t.Errorf("the last submission has begun after %v, want at most %v", lastBegun, turnsMaxWait)
		}
		if allDone >= turnsDuration {
			t.Errorf("not all submissions are done after %v", allDone)
		}
	})
}
