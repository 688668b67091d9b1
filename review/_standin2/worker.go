package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// size is an amount of a server's room.
type size struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"memMb"`
}

// taskRun is a run of a task on a server.
type taskRun struct {
	task      string
	run       uint64
	size      size
	startedAt time.Time
	endsAt    time.Time
	stopped   bool
}

// runEnd is an entry of the list of ended runs.
type runEnd struct {
	number uint64
	task   string
	run    uint64
	how    string
}

// worker is a stand-in for a server that guards its capacity and runs tasks for a fixed time.
type worker struct {
	id, zone string
	capacity size
	labels   []string
	// runTime is how long a run takes. Zero stands for tasks that last.
	runTime time.Duration
	maxHold time.Duration
	// needs tells how much room a task takes.
	needs  func(task string) size
	record *record

	address string
	server  *http.Server

	mu      sync.Mutex
	changed chan struct{}
	born    time.Time
	fence   uint64
	lease   time.Duration
	used    size
	runs    map[string]*taskRun
	// over holds the highest run of each task that was stopped or has ended here.
	over  map[string]uint64
	ended []runEnd
	last  uint64
	gone  bool
}

func newWorker(id, zone string, capacity size, labels []string, needs func(string) size, runTime time.Duration, rec *record) *worker {
	w := &worker{
		id: id, zone: zone, capacity: capacity, labels: labels, needs: needs, runTime: runTime, maxHold: maxHold, record: rec,
		changed: make(chan struct{}), born: time.Now(), runs: map[string]*taskRun{}, over: map[string]uint64{},
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	w.address = listener.Addr().String()
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	return w
}

// registration is the row of the server in the store.
func (w *worker) registration() map[string]any {
	return map[string]any{
		"service": serviceName, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "seq": 1,
		"capacity": w.capacity, "labels": w.labels, "born": w.born.UnixMilli(),
	}
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

// notify wakes the calls that wait for an end. The caller holds the lock.
func (w *worker) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// end ends a run. The caller holds the lock.
func (w *worker) end(r *taskRun, how string) {
	delete(w.runs, r.task)
	w.used.CPU -= r.size.CPU
	w.used.MemMB -= r.size.MemMB
	w.over[r.task] = max(w.over[r.task], r.run)
	w.last++
	w.ended = append(w.ended, runEnd{w.last, r.task, r.run, how})
	w.record.end(w.id, r.task, r.run, how)
}

// tick ends the runs that are over, and all runs once the lease has ended. The caller holds the lock.
func (w *worker) tick() {
	if w.gone {
		return
	}
	now, lapsed := time.Now(), w.clock() >= w.lease
	for _, r := range w.runs {
		switch {
		case lapsed:
			w.end(r, "lapsed")
		case r.stopped && !now.Before(r.endsAt):
			w.end(r, "stopped")
		case !r.stopped && w.runTime > 0 && !now.Before(r.endsAt):
			w.end(r, "done")
		}
	}
}

// check ends the runs that are over, and wakes the calls that wait for that.
func (w *worker) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.last
	if w.tick(); w.last > before {
		w.notify()
	}
}

// crash ends the server for good: its connections are closed, and nothing listens at its address.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone = true
	for _, r := range w.runs {
		w.end(r, "crashed")
	}
	_ = w.server.Close()
}

type order struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	Fence      uint64 `json:"fence"`
	DeadlineMs int64  `json:"deadlineMs"`
	AckedUpto  uint64 `json:"ackedUpto"`
	WaitMs     int64  `json:"waitMs"`
}

// ServeHTTP serves the calls of PROTOCOL.md that the system makes.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	status, body := w.execute(r.URL.Path, o)
	body["clockMs"], body["born"] = w.clock().Milliseconds(), w.born.UnixMilli()
	reply(rw, status, body)
}

func rejected(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (w *worker) execute(path string, o order) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tick()
	if o.Fence < w.fence {
		return rejected("fence")
	}
	w.fence = o.Fence
	switch path {
	case "/v1/run-start":
		return w.start(o)
	case "/v1/run-stop":
		w.over[o.Task] = max(w.over[o.Task], o.Run)
		if r := w.runs[o.Task]; r != nil && r.run == o.Run && !r.stopped {
			r.stopped, r.endsAt = true, time.Now().Add(stopTime)
		}
	case "/v1/hold":
		return w.hold(o)
	case "/v1/pace":
	default:
		return http.StatusNotFound, map[string]any{}
	}
	return http.StatusOK, map[string]any{}
}

// extend extends the lease, which is never shortened and at most maxHold.
func (w *worker) extend(deadlineMs int64) {
	w.lease = max(w.lease, min(time.Duration(deadlineMs)*time.Millisecond, w.clock()+w.maxHold))
}

func (w *worker) start(o order) (int, map[string]any) {
	r, need := w.runs[o.Task], w.needs(o.Task)
	switch {
	case r != nil && r.run == o.Run:
	case r != nil || w.over[o.Task] >= o.Run:
		w.extend(o.DeadlineMs)
		return rejected("old")
	case time.Duration(o.DeadlineMs)*time.Millisecond <= w.clock():
		return rejected("late")
	case w.used.CPU+need.CPU > w.capacity.CPU || w.used.MemMB+need.MemMB > w.capacity.MemMB:
		w.extend(o.DeadlineMs)
		return rejected("room")
	default:
		now := time.Now()
		w.runs[o.Task] = &taskRun{task: o.Task, run: o.Run, size: need, startedAt: now, endsAt: now.Add(w.runTime)}
		w.used.CPU += need.CPU
		w.used.MemMB += need.MemMB
		w.record.start(w.id, o.Task, o.Run)
		if w.runTime > 0 {
			time.AfterFunc(w.runTime, w.check)
		}
	}
	w.extend(o.DeadlineMs)
	return http.StatusOK, map[string]any{}
}

// maxListedEnds is the number of ends in one answer (PROTOCOL.md).
const maxListedEnds = 500

func (w *worker) hold(o order) (int, map[string]any) {
	w.extend(o.DeadlineMs)
	w.ended = slices.DeleteFunc(w.ended, func(e runEnd) bool { return e.number <= o.AckedUpto })
	deadline := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond)
	for len(w.ended) == 0 && time.Now().Before(deadline) {
		changed, timer := w.changed, time.NewTimer(time.Until(deadline))
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
		w.mu.Lock()
		w.tick()
	}
	now, running, ended := time.Now(), [][]any{}, [][]any{}
	for _, r := range w.runs {
		percent := 100
		if w.runTime > 0 {
			percent = min(100, int(100*now.Sub(r.startedAt)/w.runTime))
		}
		running = append(running, []any{r.task, r.run, "", percent, r.size.CPU})
	}
	for _, e := range w.ended[:min(len(w.ended), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended}
}

// submissionOf returns the id of the submission of a task.
func submissionOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

func (w *worker) String() string { return fmt.Sprintf("%s at %s", w.id, w.address) }
