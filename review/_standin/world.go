package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// world is everything around the instances: the store, the runners, the clients, and the record of what happens.
type world struct {
	bounds  bounds
	program string
	dir     string
	// trouble is false if the disruption is left out.
	trouble bool
	started time.Time
	// network is the prefix of the loopback addresses of this play.
	network string
	store   *store
	jobs    *jobs
	workers []*worker
	edges   []*edge

	mu     sync.Mutex
	file   *os.File
	record *bufio.Writer
}

// bounds are those bounds of a site that the stand-ins keep.
type bounds struct {
	heartbeat, maxHold, stop, checkpoint, cancel, contact, finish time.Duration
	farX                                                          float64
}

// abasSertao are the bounds of abas-sertao.
var abasSertao = bounds{
	heartbeat: 1500 * time.Millisecond, maxHold: 10 * time.Second, stop: 900 * time.Millisecond, checkpoint: time.Second,
	cancel: 3 * time.Second, contact: 3 * time.Second, finish: 14 * time.Second, farX: 1.5,
}

// Addresses within the network of a play.
const (
	storeHost       = 2
	firstEdgeHost   = 11
	firstWorkerHost = 101
)

func newWorld(b bounds, program, record string, trouble bool) (*world, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{bounds: b, program: program, dir: dir, trouble: trouble, started: time.Now(), jobs: newJobs(), file: file, record: bufio.NewWriter(file)}
	w.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	w.store, err = newStore(w.address(storeHost, 8169))
	w.note("trouble: %v", trouble)
	return w, err
}

func (w *world) address(host, port int) string { return fmt.Sprintf("%s.%d:%d", w.network, host, port) }

// note writes a line to the record, with the seconds since the start.
func (w *world) note(format string, a ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, a...))
}

// putConfig writes a version of the operator's configuration: two queues of one service, and another service.
func (w *world) putConfig(version int, service string) {
	route := func(name, prefix string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "service": service, "priority": priority, "maxAttempts": maxAttempts,
			"stretch": 2, "targetDurationMs": 1000,
		}
	}
	w.store.put("op", "config", mustJSON(map[string]any{
		"version":  version,
		"routes":   []any{route("urgent", urgent, 0), route("batch", batch, 2)},
		"services": []any{map[string]any{"name": firstService, "admissionControl": true}, map[string]any{"name": secondService, "admissionControl": true}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
	}))
}

// Names in the operator's configuration.
const (
	host                        = "review.example"
	service                     = firstService
	firstService, secondService = "svc", "svc-2"
	urgent                      = "/urgent/"
	batch                       = "/batch/"
	maxAttempts                 = 4
)

// start starts the runners and the instances, and waits until the instances report that they are ready.
func (w *world) start(edges int, specs []workerSpec) error {
	w.putConfig(1, firstService)
	for i, spec := range specs {
		worker, err := newWorker(w, i, spec)
		if err != nil {
			return err
		}
		w.workers = append(w.workers, worker)
	}
	for i := range edges {
		e := &edge{world: w, name: fmt.Sprintf("edge-%d", i+1), host: firstEdgeHost + i}
		if err := e.start(); err != nil {
			return err
		}
		w.edges = append(w.edges, e)
	}
	deadline := time.Now().Add(10 * time.Second)
	for _, e := range w.edges {
		for !e.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready 10 s after its start", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.note("%d instances ready", edges)
	return nil
}

func (w *world) close() {
	for _, e := range w.edges {
		e.stop()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.record.Flush()
	_ = w.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// listen opens a listener on a loopback address.
func listen(address string) (*net.TCPListener, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

func (w *world) path(name string) string { return filepath.Join(w.dir, name) }
