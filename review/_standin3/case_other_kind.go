package main

import (
	"time"

	"medlarwheel/platform/medlaremulator"
)

// otherKind lets a worker crash and start again under its id as a machine of another kind while the store is away. The entry of
// its earlier life stays in the list of workers until shortly after the store is back.
func otherKind(w *world) (broken bool, err error) {
	const (
		// The longest outage of the whole store in the site files, and a time in which entries are back after one: about a
		// status report interval, while the pages allow about two seconds.
		outage, entriesBack = 6600 * time.Millisecond, 1200 * time.Millisecond
		// The time until the worker runs again.
		downtime          = 300 * time.Millisecond
		calm, settling    = 4 * time.Second, 4 * time.Second
		wanted, instances = "b", 3
	)
	config := medlaremulator.DefaultConfig()
	// One worker of eight is within the share of the site file.
	config.Workers = 8
	if w.emulator, err = medlaremulator.Start(config); err != nil {
		return false, err
	}
	if err := w.completeEntries(map[string]string{workerID(0): wanted}); err != nil {
		return false, err
	}
	address, err := w.storeAddress()
	if err != nil {
		return false, err
	}
	if w.store, err = newProxy(address); err != nil {
		return false, err
	}
	for n := range instances {
		if err := w.startInstance(n + 1); err != nil {
			return false, err
		}
	}
	const id = "00000000000000b1"
	body := `{"spec":"` + medlaremulator.SpecLongRunning + `","steps":[{"count":2,"cpu":1000,"memMb":64,"estimateMs":1000,"longRunning":true,"requires":"` + wanted + `"}]}`
	if err := w.submit(id, body); err != nil {
		return false, err
	}
	time.Sleep(calm)
	if w.trouble {
		w.note("the store goes away, and %s crashes", workerID(0))
		w.store.setSilent(true)
		time.AfterFunc(outage, func() {
			w.store.setSilent(false)
			w.note("the store is back")
		})
		if err := w.emulator.CrashWorker(w.emulator.Workers[0], medlaremulator.Crash{
			Downtime: downtime, RegistrationDelay: outage + entriesBack - downtime,
		}); err != nil {
			return false, err
		}
		if err := w.completeEntries(nil); err != nil {
			return false, err
		}
		w.note("the new life of %s, which is of kind a and lacks the label %q, has written its entry", workerID(0), wanted)
	} else {
		time.Sleep(outage + entriesBack)
	}
	time.Sleep(settling)
	w.note("GET %s -> state %q", id, w.state(id))
	w.noteRuns()
	for _, r := range w.emulator.Runs() {
		if crashed := w.crashOf(r.Worker); !crashed.IsZero() && r.StartedAt.After(crashed) {
			w.note("run %d of %s was started on a worker without the label %q", r.Number, r.Task, wanted)
			broken = true
		}
	}
	return broken, nil
}

// crashOf returns when the last run on a worker was ended by a crash of the worker, or zero.
func (w *world) crashOf(worker string) (last time.Time) {
	for _, r := range w.emulator.Runs() {
		if r.Worker == worker && r.EndKind == "crashed" && r.EndedAt.After(last) {
			last = r.EndedAt
		}
	}
	return last
}
