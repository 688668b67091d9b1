package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// listedEnds is the number of ends that a runner lists at a time.
	listedEnds = 500
	// silentReports is the number of status report intervals after which the platform removes a silent runner's entry.
	silentReports = 3
)

// workerSpec describes a runner.
type workerSpec struct {
	cpu, memMB int
	labels     []string
	// service is the service of the runner, or empty for the first one.
	service string
}

// worker stands in for a runner. Its state is lost with each life.
type worker struct {
	world *world
	id    string
	host  int

	mu       sync.Mutex
	spec     workerSpec
	listener *net.TCPListener
	conns    map[net.Conn]struct{}
	up       bool
	// leavesAt is set once the runner drains.
	leavesAt   time.Time
	life       int
	seq        int
	lastReport time.Time

	born      time.Time
	fence     uint64
	leaseEnd  time.Time
	runs      map[string]*workerRun
	stopped   map[string]uint64
	ends      []workerEnd
	lastEnd   uint64
	usedCPU   int
	usedMemMB int
	changed   chan struct{}
}

type workerRun struct {
	task    string
	run     uint64
	started time.Time
	takes   time.Duration
	lasting bool
	stops   bool
	cpu     int
	memMB   int
	quiet   bool
}

type workerEnd struct {
	n          uint64
	task       string
	run        uint64
	how, saved string
}

func newWorker(w *world, index int, spec workerSpec) (*worker, error) {
	k := &worker{world: w, id: fmt.Sprintf("i-%02d", index), host: firstWorkerHost + index, spec: spec}
	if err := k.boot(spec); err != nil {
		return nil, err
	}
	go k.heartbeats()
	return k, nil
}

// boot begins a new life.
func (k *worker) boot(spec workerSpec) error {
	l, err := listen(k.world.address(k.host, 8200))
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.spec, k.listener, k.up, k.conns = spec, l, true, map[net.Conn]struct{}{}
	k.life++
	k.born, k.fence, k.leaseEnd = time.Now(), 0, time.Time{}
	k.runs, k.stopped, k.ends, k.lastEnd = map[string]*workerRun{}, map[string]uint64{}, nil, 0
	k.usedCPU, k.usedMemMB, k.changed = 0, 0, make(chan struct{})
	k.seq = 0
	conns := k.conns
	k.mu.Unlock()
	server := &http.Server{Handler: http.HandlerFunc(k.serve), ConnState: func(c net.Conn, s http.ConnState) {
		k.mu.Lock()
		defer k.mu.Unlock()
		if s == http.StateClosed {
			delete(conns, c)
		} else {
			conns[c] = struct{}{}
		}
	}}
	go func() { _ = server.Serve(l) }()
	k.report()
	return nil
}

// crash ends the life. Everything that runs ends with it.
func (k *worker) crash() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.up = false
	k.life++
	_ = k.listener.Close()
	for c := range k.conns {
		_ = c.Close()
	}
	now := time.Now()
	k.world.note("%s: ends with %d runs", k.id, len(k.runs))
	for _, r := range k.runs {
		k.world.jobs.update(r.task, func(t *taskState) { t.running--; t.lastEnd = now })
	}
	k.runs = map[string]*workerRun{}
	k.usedCPU, k.usedMemMB = 0, 0
}

// crashFor crashes the runner, which starts again with the same id after a while.
func (k *worker) crashFor(down time.Duration, spec workerSpec) {
	k.crash()
	time.Sleep(down)
	if err := k.boot(spec); err != nil {
		k.world.note("%s: not started again: %v", k.id, err)
		return
	}
	k.world.note("%s: started again", k.id)
}

// heartbeats writes the status reports of the runner, and removes its entry after three intervals of silence.
func (k *worker) heartbeats() {
	for {
		time.Sleep(k.world.bounds.heartbeat)
		k.report()
		k.mu.Lock()
		silent := time.Since(k.lastReport) > silentReports*k.world.bounds.heartbeat
		k.mu.Unlock()
		if silent {
			k.world.store.drop("servers", k.id)
		}
	}
}

// report writes the runner's entry, if it is up and reaches the store.
func (k *worker) report() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.up {
		return
	}
	k.seq++
	k.lastReport = time.Now()
	entry := map[string]any{
		"service": cmp.Or(k.spec.service, service), "address": k.world.address(k.host, 8200), "zone": "z1", "version": "1", "slots": 8,
		"state": "ready", "coldRemainingMs": 0, "seq": k.seq, "born": k.born.UnixMilli(), "labels": k.spec.labels,
		"capacity": map[string]any{"cpu": k.spec.cpu, "memMb": k.spec.memMB, "gpu": 0},
	}
	if !k.leavesAt.IsZero() {
		entry["state"], entry["remainingMs"] = "draining", max(0, time.Until(k.leavesAt).Milliseconds())
	}
	k.world.store.put("servers", k.id, mustJSON(entry))
}

// leave drains the runner for drainMs and a little longer. It then leaves for good, and its entry is removed.
func (k *worker) leave() {
	k.mu.Lock()
	k.leavesAt = time.Now().Add(drainTime)
	k.mu.Unlock()
	k.report()
	k.world.note("%s: draining", k.id)
	time.Sleep(drainTime + time.Second)
	k.crash()
	k.world.store.drop("servers", k.id)
	k.world.note("%s: has left", k.id)
}

// drainTime is drainMs.
const drainTime = 2 * time.Second

// clock is the reading of the runner's steady clock.
func (k *worker) clock() time.Duration { return time.Since(k.born) }

type orderBody struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      uint64 `json:"fence"`
	AckedUpto  uint64 `json:"ackedUpto"`
	WaitMs     int64  `json:"waitMs"`
	Checkpoint string `json:"checkpoint"`
}

func (k *worker) serve(rw http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != k.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o orderBody
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.up {
		panic(http.ErrAbortHandler)
	}
	life := k.life
	status, answer := k.execute(r, &o)
	if life != k.life {
		panic(http.ErrAbortHandler)
	}
	answer["clockMs"] = k.clock().Milliseconds()
	answer["born"] = k.born.UnixMilli()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(mustJSON(answer))
}

func rejected(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (k *worker) execute(r *http.Request, o *orderBody) (int, map[string]any) {
	if o.Fence < k.fence {
		return rejected("fence")
	}
	k.fence = o.Fence
	switch r.URL.Path {
	case "/v1/run-start":
		return k.start(o)
	case "/v1/run-stop":
		return k.stop(o)
	case "/v1/hold":
		return k.hold(r, o)
	case "/v1/pace":
		return http.StatusOK, map[string]any{}
	default:
		return http.StatusNotFound, map[string]any{}
	}
}

// extendLease extends the lease, at most by maxHoldMs. It ends everything that runs when the lease expires.
func (k *worker) extendLease(deadlineMs int64) {
	if deadlineMs <= 0 {
		return
	}
	end := k.born.Add(time.Duration(deadlineMs) * time.Millisecond)
	if latest := time.Now().Add(k.world.bounds.maxHold); end.After(latest) {
		end = latest
	}
	if !end.After(k.leaseEnd) {
		return
	}
	k.leaseEnd = end
	life := k.life
	time.AfterFunc(time.Until(end)+time.Millisecond, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.life != life || time.Now().Before(k.leaseEnd) {
			return
		}
		for _, run := range k.runs {
			k.end(run, "lapsed")
		}
	})
}

func (k *worker) start(o *orderBody) (int, map[string]any) {
	current := k.runs[o.Task]
	n, step, _, known := k.world.jobs.find(o.Task)
	if !known {
		k.world.note("%s: told to start %s, which no client sent", k.id, o.Task)
		return http.StatusBadRequest, map[string]any{}
	}
	s := &n.spec.Steps[step]
	switch {
	case current != nil && current.run == o.Run:
		k.extendLease(o.DeadlineMs)
		return http.StatusOK, map[string]any{}
	case current != nil || k.stopped[o.Task] >= o.Run:
		k.extendLease(o.DeadlineMs)
		return rejected("old")
	case time.Duration(o.DeadlineMs)*time.Millisecond <= k.clock():
		return rejected("late")
	case k.usedCPU+s.CPU > k.spec.cpu || k.usedMemMB+s.MemMB > k.spec.memMB:
		k.extendLease(o.DeadlineMs)
		return rejected("room")
	}
	k.extendLease(o.DeadlineMs)
	r := &workerRun{task: o.Task, run: o.Run, started: time.Now(), takes: s.takes, lasting: s.LongRunning, cpu: s.CPU, memMB: s.MemMB, quiet: n.quiet}
	k.runs[o.Task] = r
	k.usedCPU += s.CPU
	k.usedMemMB += s.MemMB
	k.world.jobs.update(o.Task, func(t *taskState) { t.starts++; t.running++ })
	if !r.quiet {
		k.world.note("%s: starts %s run %d", k.id, o.Task, o.Run)
	}
	if !r.lasting {
		life := k.life
		time.AfterFunc(r.takes, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			if k.life == life && k.runs[r.task] == r && !r.stops {
				k.end(r, "done")
			}
		})
	}
	return http.StatusOK, map[string]any{}
}

// end ends a run and lists its end.
func (k *worker) end(r *workerRun, how string) {
	delete(k.runs, r.task)
	k.usedCPU -= r.cpu
	k.usedMemMB -= r.memMB
	k.stopped[r.task] = max(k.stopped[r.task], r.run)
	k.lastEnd++
	k.ends = append(k.ends, workerEnd{n: k.lastEnd, task: r.task, run: r.run, how: how, saved: r.checkpoint(k.world.bounds.checkpoint)})
	now := time.Now()
	k.world.jobs.update(r.task, func(t *taskState) {
		t.running--
		t.lastEnd = now
		switch how {
		case "done":
			t.done = true
		case "failed":
			t.failed++
		}
	})
	if !r.quiet {
		k.world.note("%s: %s run %d ends %s", k.id, r.task, r.run, how)
	}
	k.notify()
}

func (k *worker) notify() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// checkpoint returns the last checkpoint of a run.
func (r *workerRun) checkpoint(every time.Duration) string {
	if r.lasting || time.Since(r.started) < every {
		return ""
	}
	return fmt.Sprintf("%08x%08x", uint32(r.run), uint32(time.Since(r.started)/every))
}

func (k *worker) stop(o *orderBody) (int, map[string]any) {
	k.stopped[o.Task] = max(k.stopped[o.Task], o.Run)
	if r := k.runs[o.Task]; r != nil && r.run == o.Run && !r.stops {
		r.stops = true
		life := k.life
		time.AfterFunc(k.world.bounds.stop/2, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			if k.life == life && k.runs[r.task] == r {
				k.end(r, "stopped")
			}
		})
	}
	return http.StatusOK, map[string]any{}
}

// hold serves a renewal of the lease, and waits for an end if it is asked to.
func (k *worker) hold(r *http.Request, o *orderBody) (int, map[string]any) {
	k.extendLease(o.DeadlineMs)
	for len(k.ends) > 0 && k.ends[0].n <= o.AckedUpto {
		k.ends = k.ends[1:]
	}
	deadline := time.After(time.Duration(o.WaitMs) * time.Millisecond)
	life := k.life
	for expired := o.WaitMs == 0; len(k.ends) == 0 && !expired && life == k.life; {
		changed := k.changed
		k.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			expired = true
		case <-r.Context().Done():
			expired = true
		}
		k.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, run := range k.runs {
		percent, figure := 100, 20
		if !run.lasting {
			percent, figure = min(99, int(100*time.Since(run.started)/max(run.takes, 1))), run.cpu
		}
		running = append(running, []any{run.task, run.run, run.checkpoint(k.world.bounds.checkpoint), percent, figure})
	}
	for _, e := range k.ends[:min(len(k.ends), listedEnds)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, e.saved})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended}
}

// usage returns the used and the whole capacity of the runners that are up, in thousandths of a core, and the number of ends
// that are listed and not acknowledged.
func (w *world) usage() (used, capacity, unacked int) {
	for _, k := range w.workers {
		k.mu.Lock()
		if k.up {
			used += k.usedCPU
			capacity += k.spec.cpu
			unacked += len(k.ends)
		}
		k.mu.Unlock()
	}
	return used, capacity, unacked
}
