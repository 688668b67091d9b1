package main

import (
	"time"

	"medlarwheel/platform/medlaremulator"
)

// flappingWorker submits work that lasts. One of ten workers then goes down and up by turns. No task ever fails, and nobody
// cancels.
func flappingWorker(w *world) (broken bool, err error) {
	const (
		workers, submissions = 10, 3
		// The largest doses in the site files: a tenth of the workers, a period of 1.4 s for 6.5 s.
		period, flapping = 1400 * time.Millisecond, 6500 * time.Millisecond
		calm, settling   = 4 * time.Second, 6 * time.Second
	)
	config := medlaremulator.DefaultConfig()
	config.Workers, config.SlotsPerWorker = workers, 8
	if w.emulator, err = medlaremulator.Start(config); err != nil {
		return false, err
	}
	if err := w.completeEntries(nil); err != nil {
		return false, err
	}
	if err := w.startInstance(1); err != nil {
		return false, err
	}
	ids := []string{"00000000000000a1", "00000000000000a2", "00000000000000a3"}[:submissions]
	for _, id := range ids {
		body := `{"spec":"` + medlaremulator.SpecLongRunning + `","steps":[{"count":6,"cpu":1000,"memMb":64,"estimateMs":1000,"longRunning":true,"antiAffinity":1}]}`
		if err := w.submit(id, body); err != nil {
			return false, err
		}
	}
	time.Sleep(calm)
	if w.trouble {
		w.flap(w.emulator.Workers[w.busiest()], period, flapping)
	} else {
		time.Sleep(flapping)
	}
	time.Sleep(settling)
	for _, id := range ids {
		state := w.state(id)
		w.note("GET %s -> state %q", id, state)
		broken = broken || state == "failed" || state == "cancelled"
	}
	w.noteRuns()
	for _, r := range w.emulator.Runs() {
		if r.EndKind == "failed" {
			w.note("run %d of %s has failed by itself, which the case does not expect", r.Number, r.Task)
			broken = false
		}
	}
	return broken, nil
}

// flap lets a worker go down and up by turns.
func (w *world) flap(worker *medlaremulator.Worker, period, length time.Duration) {
	for began := time.Now(); time.Since(began) < length; {
		w.note("a worker goes down for %v", period/2)
		if err := w.emulator.CrashWorker(worker, medlaremulator.Crash{Downtime: period / 2}); err != nil {
			w.note("restart of a worker: %v", err)
		}
		if err := w.completeEntries(nil); err != nil {
			w.note("entry of a worker: %v", err)
		}
		time.Sleep(period / 2)
	}
}

// busiest returns the index of the worker on which most tasks run.
func (w *world) busiest() (most int) {
	running := map[string]int{}
	for _, r := range w.emulator.Runs() {
		if r.EndedAt.IsZero() {
			running[r.Worker]++
		}
	}
	for i := range w.emulator.Workers {
		if running[workerID(i)] > running[workerID(most)] {
			most = i
		}
	}
	return most
}
