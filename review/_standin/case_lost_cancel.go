package main

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// Figures of the disruption: platform_lost with x = 0.35, for_s = 4.5 and how = "late" (done 1 to 6 s later).
const (
	lostShare = 0.35
	lostFor   = 4500 * time.Millisecond
	lostMin   = time.Second
	lostMax   = 6 * time.Second
)

// playLostCancel has clients submit while answers of the store are lost. A client whose request has no certain outcome gives
// up and cancels; all others cancel a little later. Tasks that a client has cancelled must not run.
func playLostCancel(w *world) (broken bool, err error) {
	specs := make([]workerSpec, 12)
	for i := range specs {
		specs[i] = workerSpec{cpu: 16000, memMB: 62500, labels: []string{"a", "r1-1"}}
	}
	var lossEnd time.Time
	var mu sync.Mutex
	w.store.loseWrite = func(t *storeTx) (time.Duration, bool) {
		mu.Lock()
		defer mu.Unlock()
		if !w.trouble || time.Now().After(lossEnd) || rand.Float64() >= lostShare {
			return 0, false
		}
		after := lostMin + rand.N(lostMax-lostMin)
		var rows []string
		for _, p := range t.Puts {
			rows = append(rows, p.Table+"/"+p.Key)
		}
		w.note("store: write of %s gets no answer and is done %.3f s later", strings.Join(rows, " "), after.Seconds())
		return after, true
	}
	if err := w.start(3, specs); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	mu.Lock()
	lossEnd = time.Now().Add(lostFor)
	mu.Unlock()
	w.note("answers of the store are lost from now on: %v", w.trouble)
	acked := map[*job]time.Time{}
	var group sync.WaitGroup
	for began := time.Now(); time.Since(began) < lostFor; time.Sleep(40 * time.Millisecond) {
		group.Add(1)
		go func() {
			defer group.Done()
			n := w.jobs.add(batch, jobSpec{Spec: "cancelled", Steps: []stepSpec{
				{Count: 2, CPU: 500, MemMB: 256, EstimateMs: 15000, takes: 15 * time.Second},
			}}, false)
			e := w.anyEdge()
			status, _ := e.call("POST", n.path(), n.body())
			w.note("client: POST %s to %s -> %d", n.path(), e.name, status)
			if status == 200 {
				time.Sleep(2 * time.Second)
			}
			for range 20 {
				e := w.anyEdge()
				status, _ := e.call("DELETE", n.path(), nil)
				w.note("client: DELETE %s to %s -> %d", n.path(), e.name, status)
				if status == 200 || status == 410 {
					mu.Lock()
					acked[n] = time.Now()
					mu.Unlock()
					return
				}
				time.Sleep(500 * time.Millisecond)
			}
		}()
	}
	time.Sleep(lostMax)
	group.Wait()
	// All losses and late writes are over. After contactMs, cancel_ms and stopMs without impairment, nothing may run.
	time.Sleep(w.bounds.contact + w.bounds.cancel + w.bounds.stop)
	runs := map[*job]int{}
	for _, k := range w.workers {
		k.mu.Lock()
		for _, r := range k.runs {
			if n, _, _, ok := w.jobs.find(r.task); ok && !acked[n].IsZero() {
				runs[n]++
				w.note("UNASKED: %s runs %s, whose submission's cancelling was acknowledged %.3f s ago; it has run for %.3f s", k.id, r.task,
					time.Since(acked[n]).Seconds(), time.Since(r.started).Seconds())
			}
		}
		k.mu.Unlock()
	}
	w.note("%d submissions cancelled with an ack, %d of them still run", len(acked), len(runs))
	for n := range runs {
		w.note("state of %s: %s", n.id, w.state(n))
	}
	return len(runs) > 0, nil
}
