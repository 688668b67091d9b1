package medlarcell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

const (
	// simGangTime is how long the members of a gang wait for one that does not come, or that has ended out of reach.
	simGangTime = 3 * time.Second
	simGangSize = 3
	// simLongFaults is when the last fault of a gangSim has ended, after simDuration: a change of owner after a lease, and a cut of two.
	simLongFaults = 24 * time.Second
)

// simMember is a member of a gang that runs on a worker.
type simMember struct {
	worker *simWorker
	name   medlarsubmission.TaskName
}

// membersOf returns the members of a gang that run under the given number, in a fixed order.
func (sim *simCluster) membersOf(id medlarsubmission.ID, number medlarorder.RunNumber) (members []simMember) {
	for i := range len(sim.workers) {
		worker := sim.workers[medlarwheel.WorkerID(fmt.Sprintf("w%d", i))]
		for index := range simGangSize {
			name := medlarsubmission.TaskName{Submission: id, Index: index}
			if r := worker.runs[name]; worker.up && r != nil && r.number == number {
				members = append(members, simMember{worker, name})
			}
		}
	}
	return members
}

// breakGang ends the other members of a gang of which one has ended, those out of reach after simGangTime. Those of a worker that is lost do
// not end.
func (sim *simCluster) breakGang(id medlarsubmission.ID, number medlarorder.RunNumber) {
	if !sim.gangs[id] {
		return
	}
	for _, delay := range []time.Duration{sim.latency(), simGangTime} {
		sim.after(delay, func() {
			for _, m := range sim.membersOf(id, number) {
				if !m.worker.partitioned || delay == simGangTime {
					m.worker.end(m.name, m.worker.runs[m.name], medlarorder.EndBroken, sim.recordEnd)
				}
			}
		})
	}
}

// awaitGang ends a member that was started and has waited for the others in vain.
func (sim *simCluster) awaitGang(worker *simWorker, s medlarorder.Start) {
	if !sim.gangs[s.Task.Submission] {
		return
	}
	sim.after(simGangTime, func() {
		members := sim.membersOf(s.Task.Submission, s.Run)
		if slices.Contains(members, simMember{worker, s.Task}) && len(members) < simGangSize {
			worker.end(s.Task, worker.runs[s.Task], medlarorder.EndAlone, sim.recordEnd)
		}
	})
}

// gangSim adds gangs that last, workers that fail all runs or are slow for long, and owners that change while most workers are away.
type gangSim struct {
	*waitingSim
	// gangWaitsSince is since when each gang does not run, and gangRoomSince since when there is room for two such gangs.
	gangWaitsSince, gangRoomSince map[medlarsubmission.ID]time.Duration
}

func newGangSim(t *testing.T, seed uint64, ownerChanges int) *gangSim {
	sim := &gangSim{
		waitingSim: newWaitingSimWithoutWork(t, seed, 0), gangWaitsSince: map[medlarsubmission.ID]time.Duration{},
		gangRoomSince: map[medlarsubmission.ID]time.Duration{},
	}
	sim.gangs, sim.faultsUntil = map[medlarsubmission.ID]bool{}, simDuration+simLongFaults
	between := func(from, to time.Duration) time.Duration {
		return from + time.Duration(sim.rng.Int64N(int64(to-from)))
	}
	for n := range 4 {
		sim.after(between(0, simDuration/4), func() { sim.submitLongRunning(1000 + n) })
	}
	for n := range 2 {
		sim.after(between(0, simDuration/4), func() { sim.submitGang(2000 + n) })
	}
	workers := sim.workersInOrder()
	for _, i := range sim.rng.Perm(len(workers))[:4] {
		worker := workers[i]
		sim.after(between(simDuration/4, simDuration/2), func() { worker.failsAll = true })
		sim.after(between(simDuration, sim.faultsUntil), func() { worker.failsAll = false })
	}
	for range 3 {
		worker := workers[sim.rng.IntN(len(workers))]
		sim.after(between(0, simDuration), func() { worker.slowness = between(20*time.Millisecond, 400*time.Millisecond) })
		sim.after(between(simDuration, sim.faultsUntil), func() { worker.slowness = 0 })
	}
	for range ownerChanges {
		at := between(simDuration/4, simDuration)
		sim.after(at, sim.partitionMost)
		change := []func(){func() { sim.claimCell(false) }, sim.disconnectOwner, sim.claimFromLive, sim.claimAtLeaseEnd}[sim.rng.IntN(4)]
		sim.after(at+between(0, simAuthorityDuration), change)
	}
	sim.check = func() {
		if sim.now >= sim.checkedAt+simCheckInterval {
			sim.checkGangs()
		}
		sim.checkWaiting()
	}
	return sim
}

// partitionMost cuts all workers but one or two off for up to twice a lease.
func (sim *gangSim) partitionMost() {
	for i, n := range sim.rng.Perm(len(sim.workers)) {
		worker := sim.workersInOrder()[n]
		if i < 1+sim.rng.IntN(2) || worker.partitioned || worker.removed {
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

func (sim *gangSim) submitGang(n int) {
	id := medlarsubmission.ID(fmt.Sprintf("%016x", n))
	sim.gangs[id] = true
	sim.submitLongRunning(n)
}

// checkGangs checks that no gang has waited for simRoomTime in calm times while there was room for two such gangs.
func (sim *gangSim) checkGangs() {
	for i := range sim.accepted {
		s := &sim.accepted[i]
		if !sim.gangs[s.ID] {
			continue
		}
		if sim.isGangRunning(s.ID) {
			delete(sim.gangWaitsSince, s.ID)
		} else if _, known := sim.gangWaitsSince[s.ID]; !known {
			sim.gangWaitsSince[s.ID] = sim.now
		}
		if sim.now < sim.faultsUntil+simCalmTime-simRoomTime || !sim.hasRoomForTwo(&s.Steps[0]) {
			delete(sim.gangRoomSince, s.ID)
		} else if _, known := sim.gangRoomSince[s.ID]; !known {
			sim.gangRoomSince[s.ID] = sim.now
		}
		waits, isWaiting := sim.gangWaitsSince[s.ID]
		room, isRoom := sim.gangRoomSince[s.ID]
		if isWaiting && isRoom && sim.now-max(waits, room) > simRoomTime {
			sim.t.Fatalf("%v: long-running gang %s has waited since %v although there has been room for two since %v", sim.now, s.ID, waits, room)
		}
	}
}

// isGangRunning reports whether all members run under the same number.
func (sim *gangSim) isGangRunning(id medlarsubmission.ID) bool {
	for _, worker := range sim.workers {
		if r := worker.runs[medlarsubmission.TaskName{Submission: id}]; r != nil {
			return len(sim.membersOf(id, r.number)) == simGangSize
		}
	}
	return false
}

// hasRoomForTwo reports whether the workers have room for two such gangs that do not share the places of a worker beyond its limit.
func (sim *gangSim) hasRoomForTwo(spec *medlarsubmission.Step) bool {
	places := 0
	for _, worker := range sim.workers {
		if !worker.up || worker.partitioned || worker.failsAll || worker.slowness > 0 {
			continue
		}
		free := int((worker.info.Capacity.MilliCPU - worker.used()) / simTaskCPU)
		if spec.MaxPerWorker > 0 {
			free = min(free/2, spec.MaxPerWorker) * 2
		}
		places += free
	}
	return places >= 2*simGangSize
}

// TestSimulatedLongRunningGangsRunWhereThereIsRoom guards against a long-running gang or task that does not run again beside workers
// with room, after workers have failed all runs or were slow for long and owners have changed while most workers were away.
func TestSimulatedLongRunningGangsRunWhereThereIsRoom(t *testing.T) {
	for seed := range simGangSeeds {
		for _, ownerChanges := range []int{0, 1, 4} {
			t.Run(fmt.Sprintf("seed-%d-owner-changes-%d", seed, ownerChanges), func(t *testing.T) {
				t.Parallel()
				sim := newGangSim(t, uint64(seed), ownerChanges)
				sim.run(simDuration)
				sim.faults = false
				sim.run(sim.faultsUntil + simRecoveryTime)
				sim.checkEnd()
			})
		}
	}
}

const simGangSeeds = 5
