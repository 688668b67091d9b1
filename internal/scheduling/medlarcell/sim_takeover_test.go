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

// simCut is a worker that an owner does not reach, though others may.
type simCut struct {
	owner  int
	worker medlarwheel.WorkerID
}

func (sim *simCluster) isCut(worker *simWorker, owner int) bool {
	return worker.partitioned || sim.cuts[simCut{owner, worker.info.ID}]
}

// actingCell returns the cell of an owner that may send orders, or nil.
func (sim *simCluster) actingCell(owner int) *Cell {
	if owner == sim.owner {
		return sim.cell
	}
	return sim.superseded[owner]
}

// processOutputOf does what an owner does after each event. One that is superseded writes nothing.
func (sim *simCluster) processOutputOf(owner int) {
	cell := sim.superseded[owner]
	if owner == sim.owner {
		sim.processOutput()
	} else if cell != nil {
		cell.Place(sim.time())
		for _, c := range cell.TakeCommands() {
			sim.send(c, owner)
		}
	}
}

// claimFromLive lets the owner lose the table, and starts a new one beside it while it may still send orders, as under a slow table.
// The new one does not reach half of the workers for a while.
func (sim *simCluster) claimFromLive() {
	if sim.tableUnreachable {
		return
	}
	before, cell := sim.owner, sim.cell
	sim.tableUnreachable = true
	cell.Authorize(sim.time().Add(simSuspectTimeout + simAuthorityDuration))
	sim.after(simSuspectTimeout, func() {
		if before != sim.owner {
			return
		}
		sim.superseded[before], sim.actedBeside[before] = cell, true
		sim.graceEnd = max(sim.graceEnd, sim.now+simAuthorityDuration)
		for i := range len(sim.workers) {
			cut := simCut{before + 1, medlarwheel.WorkerID(fmt.Sprintf("w%d", i))}
			if sim.rng.IntN(2) == 0 {
				sim.cuts[cut] = true
				sim.after(time.Duration(sim.rng.Int64N(int64(2*DefaultConfig().Lease))), func() { delete(sim.cuts, cut) })
			}
		}
		sim.after(simAuthorityDuration, func() { delete(sim.superseded, before) })
		sim.claimCell(true)
		sim.tickSuperseded(before)
	})
}

// claimAtLeaseEnd cuts the owner off from workers, and lets a new one that reaches them claim the cell when their leases are about to end.
func (sim *simCluster) claimAtLeaseEnd() {
	owner := sim.owner
	for i := range len(sim.workers) {
		if sim.rng.IntN(2) == 0 {
			sim.cuts[simCut{owner, medlarwheel.WorkerID(fmt.Sprintf("w%d", i))}] = true
		}
	}
	sim.after(DefaultConfig().Lease-simSuspectTimeout-simAuthorityDuration/2+time.Duration(sim.rng.Int64N(int64(simAuthorityDuration))), func() {
		if owner == sim.owner {
			sim.claimFromLive()
		}
	})
}

// simSuspectTimeout is the time without a renewal after which a new owner may claim the cell.
const simSuspectTimeout = 900 * time.Millisecond

func (sim *simCluster) tickSuperseded(owner int) {
	sim.after(50*time.Millisecond, func() {
		if cell := sim.superseded[owner]; cell != nil {
			cell.Tick(sim.time())
			sim.processOutputOf(owner)
			sim.tickSuperseded(owner)
		}
	})
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

// changeOwners lets one owner after another die, lose the table or be superseded while it lives, just before or after workers are
// partitioned.
func (sim *simCluster) changeOwners() {
	if sim.now >= simTakeoverDuration {
		return
	}
	around := func() time.Duration { return time.Duration(sim.rng.Int64N(int64(2 * simAuthorityDuration))) }
	sim.after(around(), sim.partitionSome)
	switch sim.rng.IntN(4) {
	case 0:
		sim.after(around(), func() { sim.claimCell(false) })
	case 1:
		sim.after(around(), sim.disconnectOwner)
	case 2:
		sim.after(around(), sim.claimFromLive)
	default:
		sim.after(around(), sim.claimAtLeaseEnd)
	}
	sim.after(simAuthorityDuration+time.Duration(sim.rng.Int64N(int64(simMaxOwnership))), sim.changeOwners)
}

// TestSimulatedTakeovers guards against a new owner that takes tasks for not running while a worker that it has not heard runs them
// for an earlier owner: owners change again and again, some beside one that still sends orders, while half of the workers are out of reach.
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
