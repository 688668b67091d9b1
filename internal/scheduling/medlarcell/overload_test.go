package medlarcell

import (
	"testing"
	"time"

	"medlarwheel/internal/acceptance/medlarsubmission"
)

// The load of TestOverloadLeavesNoWorkBehind: best-effort submissions of very different sizes arrive at a rate that asks for
// somewhat more than the workers have left.
const (
	overloadRate     = 4.0
	overloadTasks    = 30
	overloadDuration = 150 * time.Second
	// overloadMaxWait is several times the time after which the result of a submission is of no use to its client.
	overloadMaxWait = 110 * time.Second
)

// playOverload plays the load and returns how long each submission has waited for its first start.
func (f *loadFleet) playOverload() []time.Duration {
	var waits []time.Duration
	waiting := map[int]time.Time{}
	for f.elapsed() < overloadDuration {
		for range f.arrivalsAt(overloadRate) {
			n := len(waits)
			waits = append(waits, 0)
			waiting[n] = f.now
			f.accept(bestEffortID(n), 2, medlarsubmission.Step{
				Count: 1 + f.rng.IntN(overloadTasks), Size: medlarsubmission.Size{MilliCPU: loadTaskCPU}, Estimate: 1900 * time.Millisecond,
				BestEffort: true, Image: "filling-0",
			})
		}
		f.playTick()
		for n, since := range waiting {
			waits[n] = f.now.Sub(since)
			if f.cell.jobs[bestEffortID(n)].started {
				delete(waiting, n)
			}
		}
	}
	return waits
}

// TestOverloadLeavesNoWorkBehind guards against accepted work that is started only when nothing else waits, long after its
// result is of no use: it has to be refused, or started.
func TestOverloadLeavesNoWorkBehind(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		waits := newLoadFleet(t, seed).playOverload()
		tooLong := 0
		for _, wait := range waits {
			if wait > overloadMaxWait {
				tooLong++
			}
		}
		if tooLong > 0 {
			t.Errorf("seed %d: %d of %d submissions have waited for more than %v for their first start", seed, tooLong, len(waits), overloadMaxWait)
		}
	}
}
