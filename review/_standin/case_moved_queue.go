package main

import "time"

// playMovedQueue moves both queues to another service by a change of the configuration, and takes the two runners of the former
// service away, one after the other. Accepted submissions must go on.
func playMovedQueue(w *world) (broken bool, err error) {
	specs := make([]workerSpec, 12)
	for i := range specs {
		specs[i] = workerSpec{cpu: 16000, memMB: 62500, labels: []string{"a", "r1-1"}, service: secondService}
	}
	specs[0].service, specs[1].service = firstService, firstService
	if err := w.start(3, specs); err != nil {
		return false, err
	}
	time.Sleep(settlingTime)
	watch := w.jobs.add(urgent, jobSpec{Spec: "watch", Steps: []stepSpec{
		{Count: 6, CPU: 2000, MemMB: 2000, EstimateMs: 400, LongRunning: true},
	}}, false)
	plan := w.jobs.add(batch, jobSpec{Spec: "plan", Steps: []stepSpec{
		{Count: 6, CPU: 1000, MemMB: 2000, EstimateMs: 20000, Checkpointing: true, takes: 20 * time.Second},
		{Count: 6, CPU: 1000, MemMB: 2000, EstimateMs: 1000, After: []int{0}, takes: time.Second},
	}}, false)
	if !w.submit(watch) || !w.submit(plan) {
		return false, errNotAccepted
	}
	time.Sleep(3 * time.Second)
	if w.trouble {
		w.putConfig(2, secondService)
		w.note("operator: version 2 sends both queues to %s", secondService)
		time.Sleep(5 * time.Second)
		for _, k := range w.workers[:2] {
			// scale_in: 1 of 12 runners is a share of 0.083.
			k.leave()
			time.Sleep(2 * time.Second)
		}
	}
	later := w.jobs.add(batch, jobSpec{Spec: "later", Steps: []stepSpec{
		{Count: 6, CPU: 1000, MemMB: 2000, EstimateMs: 1000, takes: time.Second},
	}}, false)
	if !w.submit(later) {
		return false, errNotAccepted
	}
	time.Sleep(30*time.Second + w.bounds.finish)
	w.note("states: watch %s, plan %s, later %s", w.state(watch), w.state(plan), w.state(later))
	return w.isNeglected([]*job{watch, plan, later}), nil
}
