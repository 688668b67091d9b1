package medlarcell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"medlarwheel/internal/acceptance/medlaradmission"
	"medlarwheel/internal/acceptance/medlarsubmission"
)

// The load of TestOverloadLeavesNoWorkBehind: best-effort submissions of very different sizes arrive at a rate that asks for
// somewhat more than the workers have left.
const (
	overloadRate     = 4.0
	overloadTasks    = 30
	overloadDuration = 150 * time.Second
	overloadSeeds    = 4
	// overloadMaxWait is several times the time after which the result of a submission is of no use to its client.
	overloadMaxWait = 110 * time.Second
)

// overloadInstances is the number of instances that accept submissions.
const overloadInstances = 4

// overloadOutcome is what became of the submissions of the load.
type overloadOutcome struct {
	// waits holds how long each accepted submission has waited for its first start.
	waits []time.Duration
	// offered and refused count the submissions by tercile of their size.
	offered, refused [3]int
	// done is the work of the tasks that are done, in core-seconds.
	done float64
}

// door decides on submissions as the instances do, by reports that are as old as theirs may be.
type door struct {
	config  medlaradmission.Config
	reports [overloadInstances]medlaradmission.Load
	pending [overloadInstances]medlaradmission.Pending
}

// admits reports whether an instance accepts the submission.
func (d *door) admits(f *loadFleet, s *medlarsubmission.Submission) bool {
	i := f.rng.IntN(overloadInstances)
	if f.now.Sub(d.reports[i].At) >= 250*time.Millisecond {
		d.reports[i] = f.cell.Load(f.now, s.Service)
		d.reports[i].BestEffort.Instances = overloadInstances
	}
	load := d.pending[i].Apply(&d.config.BestEffort, d.reports[i])
	if !d.config.Admit(f.now, s, load).Accept {
		return false
	}
	d.pending[i].Add(f.now, &d.config.BestEffort, s, load)
	return true
}

// playOverload plays the load at a rate. Without a door, everything is accepted.
func (f *loadFleet) playOverload(rate float64, d *door) overloadOutcome {
	var o overloadOutcome
	waiting, number := map[int]time.Time{}, 0
	ids := []int{}
	for f.elapsed() < overloadDuration {
		for range f.arrivalsAt(rate) {
			number++
			tasks := 1 + f.rng.IntN(overloadTasks)
			step := medlarsubmission.Step{
				Count: tasks, Size: medlarsubmission.Size{MilliCPU: loadTaskCPU}, Estimate: 1900 * time.Millisecond,
				BestEffort: true, Image: "filling-0",
			}
			size := (tasks - 1) * len(o.offered) / overloadTasks
			o.offered[size]++
			s := f.submission(bestEffortID(number), 2, step)
			if d != nil && !d.admits(f, &s) {
				o.refused[size]++
				continue
			}
			n := len(o.waits)
			o.waits, ids = append(o.waits, 0), append(ids, number)
			waiting[n] = f.now
			f.cell.Accept(f.now, s)
		}
		f.playTick()
		for n, since := range waiting {
			o.waits[n] = f.now.Sub(since)
			if f.cell.jobs[bestEffortID(ids[n])].started {
				delete(waiting, n)
			}
		}
	}
	for _, n := range ids {
		if j := f.cell.jobs[bestEffortID(n)]; j != nil {
			o.done += j.totalWork - remainingWork(j)
		}
	}
	return o
}

// remainingWork returns the estimated work of the tasks of a job that are not done.
func remainingWork(j *job) float64 {
	sum := 0.0
	for _, o := range j.created() {
		sum += o.remainingWork
	}
	return sum
}

// forSeeds runs a test for the seeds from 1 on, in parallel.
func forSeeds(t *testing.T, count int, test func(t *testing.T, seed uint64)) {
	for seed := uint64(1); seed <= uint64(count); seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			test(t, seed)
		})
	}
}

// TestOverloadLeavesNoWorkBehind guards against accepted work that is started only when nothing else waits, long after its
// result is of no use: it has to be refused, or started.
func TestOverloadLeavesNoWorkBehind(t *testing.T) {
	forSeeds(t, overloadSeeds, func(t *testing.T, seed uint64) {
		o := newLoadFleet(t, seed).playOverload(overloadRate, &door{config: medlaradmission.DefaultConfig()})
		waits := o.waits
		t.Logf("refused %v of %v submissions by size, longest wait %v, %.0f core-seconds done", o.refused, o.offered, slices.Max(waits), o.done)
		tooLong := 0
		for _, wait := range waits {
			if wait > overloadMaxWait {
				tooLong++
			}
		}
		if tooLong > 0 {
			t.Errorf("%d of %d submissions have waited for more than %v for their first start", tooLong, len(waits), overloadMaxWait)
		}
	})
}

// TestOverloadRefusesOnlyWhatCannotBeDone guards against a door that is closed while there is room: what is done in the whole time must not
// be less than without a door, small submissions must pass, and at a load that can be done nearly all must.
func TestOverloadRefusesOnlyWhatCannotBeDone(t *testing.T) {
	forSeeds(t, 2, func(t *testing.T, seed uint64) {
		o := newLoadFleet(t, seed).playOverload(overloadRate, &door{config: medlaradmission.DefaultConfig()})
		if all := newLoadFleet(t, seed).playOverload(overloadRate, nil); o.done < 0.95*all.done {
			t.Errorf("%.0f core-seconds done, %.0f without a door, want 0.95 of them", o.done, all.done)
		}
		if o.refused[0]*5 > o.offered[0] {
			t.Errorf("%d of %d small submissions refused, want at most a fifth", o.refused[0], o.offered[0])
		}
		if o.refused[2]*10 > o.offered[2]*9 {
			t.Errorf("%d of %d large submissions refused, want some of them accepted", o.refused[2], o.offered[2])
		}
		o = newLoadFleet(t, seed).playOverload(overloadRate/2, &door{config: medlaradmission.DefaultConfig()})
		refused, offered := o.refused[0]+o.refused[1]+o.refused[2], o.offered[0]+o.offered[1]+o.offered[2]
		if refused*50 > offered {
			t.Errorf("%d of %d submissions refused at a load that can be done, want at most 1 in 50", refused, offered)
		}
	})
}

// TestAcceptedWorkStartsInBursts guards against accepted work that has not begun after a minute, in bursts of 1.5 to 5 times the rate that
// can be done.
func TestAcceptedWorkStartsInBursts(t *testing.T) {
	const feasibleRate, maxWait = 2.4, 60 * time.Second
	factors := []float64{1.5, 2.6, 5}
	forSeeds(t, len(factors), func(t *testing.T, seed uint64) {
		factor := factors[seed-1]
		o := newLoadFleet(t, seed).playOverload(factor*feasibleRate, &door{config: medlaradmission.DefaultConfig()})
		if wait := slices.Max(o.waits); wait > maxWait {
			t.Errorf("%v times the rate: an accepted submission has waited for %v for its first start, want at most %v", factor, wait, maxWait)
		}
		t.Logf("%v times the rate: refused %v of %v, longest wait %v", factor, o.refused, o.offered, slices.Max(o.waits))
	})
}
