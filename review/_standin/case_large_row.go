package main

import (
	"sync/atomic"
	"time"
)

// Figures of the case large-row. Instances accept submissions of up to 20,000 tasks. Three of 24 runners are a share of 0.125.
const (
	largeTasks    = 20000
	largeRunTime  = 15 * time.Second
	crashTogether = 3
	crashDowntime = 1500 * time.Millisecond
	crashRounds   = 4
	// fullShare is the share of the capacity in use from which the service counts as full.
	fullShare = 0.95
)

// playLargeRow submits one large submission whose tasks keep checkpoints, crashes some runners once it fills the service, and
// checks that all accepted work is still carried on.
func playLargeRow(w *world) (broken bool, err error) {
	specs := make([]workerSpec, 24)
	for i := range specs {
		specs[i] = workerSpec{cpu: 16000, memMB: 62500, labels: []string{"a", "r1-" + string(rune('1'+i/8))}}
	}
	var refusals atomic.Int64
	w.store.onRefusal = func(reason string) {
		if refusals.Add(1) <= 5 {
			w.note("store: refuses a transaction: %s", reason)
		}
	}
	if err := w.start(3, specs); err != nil {
		return false, err
	}
	large := w.jobs.add(batch, jobSpec{Spec: "large", Steps: []stepSpec{
		{Count: largeTasks, CPU: 62, MemMB: 128, EstimateMs: 15000, Checkpointing: true, takes: largeRunTime},
	}}, true)
	if !w.submit(large) {
		return false, errNotAccepted
	}
	go w.logUsage(large)
	if w.trouble {
		go w.crashInRounds()
	}
	var small []*job
	for range 120 {
		n := w.jobs.add(urgent, jobSpec{Spec: "small", Steps: []stepSpec{
			{Count: 1, CPU: 1000, MemMB: 256, EstimateMs: 400, takes: 400 * time.Millisecond},
			{Count: 1, CPU: 1000, MemMB: 256, EstimateMs: 400, After: []int{0}, takes: 400 * time.Millisecond},
		}}, false)
		small = append(small, n)
		go w.submit(n)
		time.Sleep(500 * time.Millisecond)
	}
	w.note("end of the traffic: %d small submissions sent, %d transactions refused by the store", len(small), refusals.Load())
	time.Sleep(w.bounds.finish)
	states := map[string]int{}
	for _, n := range small {
		states[w.state(n)]++
	}
	w.note("%v later: the small submissions are %v, the large one %s", w.bounds.finish, states, w.state(large))
	return w.isNeglected(append(small, large)), nil
}

// crashInRounds crashes some runners at a time, once the service is full. All start again.
func (w *world) crashInRounds() {
	for {
		used, capacity, _ := w.usage()
		if float64(used) >= fullShare*float64(capacity) {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(2 * w.bounds.checkpoint)
	for round := range crashRounds {
		for _, k := range w.workers[round*crashTogether:][:crashTogether] {
			go k.crashFor(crashDowntime, k.spec)
		}
		time.Sleep(crashDowntime)
	}
}

// isNeglected reports whether, for 3 s, an accepted submission has nothing running while a task's turn has come, there is
// room for it twice over, and under half of the capacity is in use.
func (w *world) isNeglected(all []*job) bool {
	since := map[*job]time.Time{}
	for began := time.Now(); time.Since(began) < 5*time.Second; time.Sleep(50 * time.Millisecond) {
		used, capacity, _ := w.usage()
		for _, n := range all {
			waiting, running, _ := w.jobs.waiting(n)
			if !w.jobs.isAccepted(n) || waiting == 0 || running > 0 || 2*used >= capacity {
				delete(since, n)
				continue
			}
			if since[n].IsZero() {
				since[n] = time.Now()
			}
			if time.Since(since[n]) >= 3*time.Second {
				w.note("LOST: submission %s has %d tasks whose turn has come and nothing running for 3 s; %d of %d thousandths of a core are in use",
					n.id, waiting, used, capacity)
				return true
			}
		}
	}
	return false
}

// logUsage notes once a second what runs.
func (w *world) logUsage(large *job) {
	for {
		time.Sleep(time.Second)
		used, capacity, unacked := w.usage()
		waiting, running, done := w.jobs.waiting(large)
		w.note("usage %d of %d, ends not acknowledged %d; large submission: %d wait, %d run, %d done", used, capacity, unacked, waiting, running, done)
	}
}
