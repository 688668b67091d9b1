package main

import (
	"encoding/json"
	"syscall"
	"time"
)

// Figures of the case crash-blame. One of eight runners is a share of 0.125.
const (
	fullRunners  = 8
	slotCPU      = 1000
	slotsEach    = 16
	fillerTasks  = 108
	victimTasks  = 12
	restartGap   = 9 * time.Second
	restarts     = 4
	settlingTime = 10 * time.Second
	// startedFor is how long tasks of the victim run before their runner is lost.
	startedFor = 100 * time.Millisecond
)

// playCrashBlame fills the service with long-running tasks, lets one runner be lost for good just after it has started some of
// them, and restarts instances in turn while these tasks wait for room. Their submission must not be shown as failed.
func playCrashBlame(w *world) (broken bool, err error) {
	specs := make([]workerSpec, fullRunners)
	for i := range specs {
		specs[i] = workerSpec{cpu: slotCPU * slotsEach, memMB: 62500, labels: []string{"a", "r1-1"}}
	}
	if err := w.start(3, specs); err != nil {
		return false, err
	}
	time.Sleep(settlingTime)
	add := func(name string, count int) *job {
		return w.jobs.add(urgent, jobSpec{Spec: name, Steps: []stepSpec{
			{Count: count, CPU: slotCPU, MemMB: 2000, EstimateMs: 400, LongRunning: true},
		}}, false)
	}
	filler, victim := add("filler", fillerTasks), add("victim", victimTasks)
	if !w.submit(filler) {
		return false, errNotAccepted
	}
	time.Sleep(4 * time.Second)
	if !w.submit(victim) {
		return false, errNotAccepted
	}
	if w.trouble {
		for deadline := time.Now().Add(3 * time.Second); w.mostTasksOf(victim) == nil; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				return false, errNotStarted
			}
		}
		time.Sleep(startedFor)
		// srv_crash with how = "gone": share 0.125, lost for good.
		w.mostTasksOf(victim).crash()
	}
	// Until the lease of the lost runner has ended.
	time.Sleep(settlingTime)
	w.note("state of the victim: %s", w.state(victim))
	for range restarts {
		e := w.owner()
		if e == nil {
			return false, errNoOwner
		}
		// roll_term: one instance at a time. It happens with and without the lost runner.
		e.terminate()
		time.Sleep(restartGap)
		w.note("state of the victim: %s", w.state(victim))
	}
	failed := 0
	w.jobs.mu.Lock()
	for i := range victim.tasks[0] {
		failed = max(failed, victim.tasks[0][i].failed)
	}
	w.jobs.mu.Unlock()
	if state := w.state(victim); state == "failed" {
		w.note("LOST: submission %s, whose tasks last, is shown as failed. No client has cancelled it, and at most %d runs of a task of it have ended failed", victim.id, failed)
		return true, nil
	}
	return false, nil
}

// mostTasksOf returns the runner that runs most tasks of a submission, or nil if none runs.
func (w *world) mostTasksOf(n *job) (most *worker) {
	highest := 0
	for _, k := range w.workers {
		if count := k.tasksOf(n); count > highest {
			most, highest = k, count
		}
	}
	return most
}

// tasksOf returns how many tasks of the submission the runner runs.
func (k *worker) tasksOf(n *job) (count int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range k.runs {
		if found, _, _, ok := k.world.jobs.find(r.task); ok && found == n {
			count++
		}
	}
	return count
}

// owner returns the instance that last wrote to the store under a condition as the owner of the cell.
func (w *world) owner() *edge {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	var term struct{ Instance string }
	if err := json.Unmarshal(w.store.rows[rowKey{"medlar-owner", "c0", "term"}].Value, &term); err != nil {
		return nil
	}
	for _, e := range w.edges {
		if e.name == term.Instance {
			return e
		}
	}
	return nil
}

// terminate sends SIGTERM to the process, which the platform starts again.
func (e *edge) terminate() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.world.note("%s: SIGTERM", e.name)
	_ = e.command.Process.Signal(syscall.SIGTERM)
}
