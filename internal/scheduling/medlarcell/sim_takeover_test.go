package medlarcell

import (
	"fmt"
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/internal/execution/medlarorder"
)

// checkEvents checks the events of the owner.
func (sim *simCluster) checkEvents(events []Event) {
	for i := range events {
		switch e := &events[i]; {
		case e.Kind == EventTakeoverReconciled:
			sim.checkTakeover()
		case e.Kind == EventWorkerNotAwaited && e.Reason == string(basisNone):
			sim.t.Fatalf("%v: term %d does not wait for worker %s, whose lease may be in force", sim.now, sim.term, e.Worker)
		}
	}
}

// checkTakeover checks that the owner knows all runs of earlier owners once it takes all other inherited tasks for not running.
func (sim *simCluster) checkTakeover() {
	for id, worker := range sim.workers {
		if !worker.up {
			continue
		}
		worker.advance(sim.now, sim.recordEnd)
		known := sim.cell.workers[id]
		for name, r := range worker.runs {
			if r.number < sim.cell.firstRun && (known == nil || !known.allRunsKnown && known.findRun(name, r.number) == nil) {
				sim.t.Fatalf("%v: term %d is settled while task %s run %d of an earlier owner is on worker %s, which has not reported",
					sim.now, sim.term, name, r.number, id)
			}
		}
	}
}

// checkOwnerOf checks that no start of an earlier owner can take effect once the cell is settled. The caller has checked that the
// worker does not reject it.
func (sim *simCluster) checkOwnerOf(on *simWorker, s medlarorder.Start) {
	if s.Run < sim.cell.firstRun && sim.cell.reconciled {
		sim.t.Fatalf("%v: task %s run %d of an earlier owner can start on worker %s after term %d is settled", sim.now, s.Task, s.Run, on.info.ID, sim.term)
	}
}

// simTakeoverDuration is how long owners change in TestSimulatedTakeovers. simMaxOwnership is the longest time between two changes,
// in some of which a cell is settled by leases and in others by reports.
const (
	simTakeoverDuration = 60 * time.Second
	simMaxOwnership     = 12 * time.Second
)

// partitionSome cuts workers off from the next owner, with runs of the current one, for up to twice a lease.
func (sim *simCluster) partitionSome() {
	for i := range len(sim.workers) {
		worker := sim.workers[medlarwheel.WorkerID(fmt.Sprintf("w%d", i))]
		if sim.rng.IntN(2) == 0 || worker.partitioned || worker.removed {
			continue
		}
		worker.partitioned = true
		sim.after(time.Duration(sim.rng.Int64N(int64(2*DefaultConfig().Lease))), func() {
			worker.partitioned = false
			sim.cell.SetWorker(sim.time(), worker.info)
			sim.processOutput()
		})
	}
}

// changeOwners lets one owner after another die or lose the table, just before or after workers are partitioned.
func (sim *simCluster) changeOwners() {
	if sim.now >= simTakeoverDuration {
		return
	}
	around := func() time.Duration { return time.Duration(sim.rng.Int64N(int64(2 * simAuthorityDuration))) }
	sim.after(around(), sim.partitionSome)
	if sim.rng.IntN(2) == 0 {
		sim.after(around(), func() { sim.claimCell(false) })
	} else {
		sim.after(around(), sim.disconnectOwner)
	}
	sim.after(simAuthorityDuration+time.Duration(sim.rng.Int64N(int64(simMaxOwnership))), sim.changeOwners)
}

// TestSimulatedTakeovers guards against a new owner that takes tasks for not running while a worker that it has not heard runs them
// for an earlier owner: owners change again and again while half of the workers are out of reach.
func TestSimulatedTakeovers(t *testing.T) {
	seeds := 20
	if testing.Short() {
		seeds = 5
	}
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			sim := newSimCluster(t, uint64(seed))
			sim.events = nil
			for _, worker := range sim.workers {
				worker.maxRunTime = simOutageLease
			}
			sim.after(0, func() { sim.claimCell(false) })
			for n := range 60 {
				sim.after(time.Duration(sim.rng.Int64N(int64(simTakeoverDuration))), func() { sim.submitJob(n) })
			}
			sim.after(time.Second, sim.changeOwners)
			sim.run(simTakeoverDuration + 2*simMaxOwnership)
			sim.faults = false
			sim.run(simTakeoverDuration + 2*simMaxOwnership + 2*simRecoveryTime)
			sim.checkFinished()
		})
	}
}
