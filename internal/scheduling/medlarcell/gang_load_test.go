package medlarcell

import (
	"fmt"
	"testing"
	"time"

	"medlarwheel/internal/acceptance/medlarsubmission"
)

// The load of TestBestEffortGangStartsBesideBacklog: more best-effort work than the workers can do, and gangs that need half of them.
const (
	gangLoadRate     = 9
	gangLoadTasks    = 12
	gangLoadInterval = 10 * time.Second
	// maxGangWait is how long after its acceptance a gang starts at the latest.
	maxGangWait = 14 * time.Second
)

// TestBestEffortGangStartsBesideBacklog guards against a best-effort gang that waits for a minute beside serving tasks, since other
// best-effort work takes each place that they tolerate.
func TestBestEffortGangStartsBesideBacklog(t *testing.T) {
	forSeeds(t, 4, func(t *testing.T, seed uint64) {
		f := newLoadFleet(t, seed)
		count, gangs, inTime := 0, 0, 0
		for f.elapsed() < loadDuration {
			for range f.arrivalsAt(gangLoadRate) {
				count++
				f.accept(bestEffortID(count), 2, medlarsubmission.Step{
					Count: loadTasks, Size: medlarsubmission.Size{MilliCPU: loadTaskCPU}, Estimate: 1900 * time.Millisecond, BestEffort: true,
					Image: fmt.Sprintf("filling-%d", f.rng.IntN(6)),
				})
			}
			if f.elapsed() >= time.Duration(gangs+1)*gangLoadInterval {
				gangs++
				f.accept(gangID(gangs), 2, medlarsubmission.Step{
					Count: gangLoadTasks, Size: medlarsubmission.Size{MilliCPU: loadTaskCPU}, Estimate: 1900 * time.Millisecond, BestEffort: true,
					Image: fmt.Sprintf("filling-%d", f.rng.IntN(6)), Gang: true,
				})
			}
			f.playTick()
			for n := range gangs {
				j := f.cell.jobs[gangID(n+1)]
				if waited := f.now.Sub(j.submission.AcceptedAt); !j.started && waited > maxGangWait {
					t.Fatalf("gang %d has waited for %v, want a start within %v", n+1, waited, maxGangWait)
				}
			}
		}
		for n := range count {
			j := f.cell.jobs[bestEffortID(n+1)]
			if j.state == medlarsubmission.StateCompleted && !j.finishedAt.After(j.softDeadline) {
				inTime++
			}
		}
		t.Logf("%d of %d other submissions in time", inTime, count)
	})
}

func gangID(n int) medlarsubmission.ID { return medlarsubmission.ID(fmt.Sprintf("gang-%d", n)) }
