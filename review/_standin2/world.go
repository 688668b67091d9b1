// Command standin2 plays the cases of the second review: it starts instances of the system as separate processes, with stand-ins for
// the platform's store, the servers and the clients, and tells by its exit code whether the rule of the case was broken.
package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the small deployment trapezi-dispatch.
const (
	serviceName = "svc"
	hostName    = "jobs.example"
	pathPrefix  = "/batch/"
	memoryMB    = 284
	maxHold     = 6 * time.Second
	stopTime    = 100 * time.Millisecond
	restartTime = 500 * time.Millisecond
	// usualShare is the processor share of a machine.
	usualShare = 0.4
)

// record is the log of a case: what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	// ends counts the ends by submission and kind. Large cases have too many runs to list.
	ends map[string]map[string]int
	// listsRuns is true if each start and end is written. runs is the number of runs of each task, and lostAt when its last run has ended.
	listsRuns bool
	runs      map[string]int
	endedAt   map[string]time.Time
	// longest is the longest time for which a task that had run did not run, and longestTask that task.
	longest     time.Duration
	longestTask string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{
		file: file, started: time.Now(), ends: map[string]map[string]int{}, runs: map[string]int{}, endedAt: map[string]time.Time{},
	}, err
}

func (r *record) printf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, arguments...)
	fmt.Println(line)
	fmt.Fprintln(r.file, line)
}

// start records that a server has started a run.
func (r *record) start(worker, task string, run uint64) {
	if r.listsRuns {
		r.printf("%s starts %s run %d", worker, task, run)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[task]++
	if at, ended := r.endedAt[task]; ended {
		r.noteGap(task, time.Since(at))
		delete(r.endedAt, task)
	}
}

// noteGap notes for how long a task has not run. The caller holds the lock.
func (r *record) noteGap(task string, gap time.Duration) {
	if gap > r.longest {
		r.longest, r.longestTask = gap, task
	}
}

// end records the end of a run.
func (r *record) end(worker, task string, run uint64, how string) {
	if r.listsRuns {
		r.printf("%s: %s run %d has ended: %s", worker, task, run, how)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	id := submissionOf(task)
	if r.ends[id] == nil {
		r.ends[id] = map[string]int{}
	}
	r.ends[id][how]++
	if r.runs[task]--; r.runs[task] == 0 {
		r.endedAt[task] = time.Now()
	}
}

// longestGap returns the longest time for which a task that had run did not run, up to now.
func (r *record) longestGap() (task string, gap time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task, at := range r.endedAt {
		r.noteGap(task, time.Since(at))
	}
	return r.longestTask, r.longest
}

// world holds the stand-ins and the processes of a case.
type world struct {
	record    *record
	dir       string
	store     *store
	storeAt   string
	workers   []*worker
	instances []*instance
	closing   bool
	mu        sync.Mutex
}

// instance is a machine of the system with its process.
type instance struct {
	world *world
	name  string
	front string
	log   *os.File

	mu      sync.Mutex
	command *exec.Cmd
	// peakMB is the largest memory of its processes, and ends how many of them were killed for their memory.
	peakMB int64
	ends   int
}

func newWorld(rec *record, dir string) (*world, error) {
	w := &world{record: rec, dir: dir, store: newStore()}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAt = listener.Addr().String()
	go func() { _ = http.Serve(listener, w.store) }()
	w.store.put("op", "config", map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "batch", "host": hostName, "pathPrefix": pathPrefix, "service": serviceName, "priority": 0, "maxAttempts": 3,
			"stretch": 2, "targetDurationMs": 1000,
		}},
		"services": []map[string]any{{"name": serviceName, "admissionControl": true}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
	})
	return w, nil
}

// addWorkers starts servers of one size, eight to a rack.
func (w *world) addWorkers(n int, capacity size, needs func(string) size, runTime time.Duration) {
	for i := range n {
		server := newWorker(fmt.Sprintf("i-%d", i), fmt.Sprintf("z%d", i%3), capacity, []string{"a", fmt.Sprintf("r%d-%d", i%3, i/8)}, needs, runTime, w.record)
		w.workers = append(w.workers, server)
		w.store.put("servers", server.id, server.registration())
	}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			for _, server := range w.workers {
				server.check()
			}
		}
	}()
}

// freePorts returns free ports of an address.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		listener, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// addInstance writes the settings of a machine, which has a loopback address of its own, and starts its process.
func (w *world) addInstance(n int, cpuShare float64) error {
	ip := fmt.Sprintf("127.0.%d.%d", 40+os.Getpid()%200, n+1)
	ports, err := freePorts(ip, 3)
	if err != nil {
		return err
	}
	i := &instance{world: w, name: fmt.Sprintf("edge-z%d-%d", n%3, n), front: fmt.Sprintf("%s:%d", ip, ports[1])}
	settings := fmt.Sprintf(`node = %q
role = "edge"
machineClass = "edge"
serves = ["edge"]
ip = %q
zone = "z%d"
region = "r"
internalPorts = [%d,%d]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
orders = "rpc"
[listen]
front = %q
ready = "%s:%d"
[limits]
cpuShare = %.1f
cores = 1
memoryMb = %d
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
graceS = 6
maxHoldMs = %d
stopMs = 400
status_s = 120
farX = 3
[platform]
address = %q
form = "table"
writesPerS = 600
readsPerS = 2000
txMs = 3.0
partitionWritesS = 300
rowBytes = 65536
across = true
historyS = 20
`, i.name, ip, n%3, ports[0], ports[0]+15, i.front, ip, ports[2], cpuShare, memoryMB, maxHold.Milliseconds(), w.storeAt)
	if err := os.WriteFile(i.settings(), []byte(settings), 0o600); err != nil {
		return err
	}
	if i.log, err = os.Create(filepath.Join(w.dir, i.name+".log")); err != nil {
		return err
	}
	w.instances = append(w.instances, i)
	return i.start()
}

func (i *instance) settings() string { return filepath.Join(i.world.dir, i.name+".toml") }

// start runs the command of the deploy file.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.command = exec.Command("target/medlarwheel", "edge")
	i.command.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MEDLARWHEEL_NODE_FILE=" + i.settings(),
		// The processor list of a machine has one core.
		"GOMAXPROCS=1",
	}
	i.command.Stdout, i.command.Stderr = i.log, i.log
	return i.command.Start()
}

// residentMB returns the resident memory of the process.
func (i *instance) residentMB() int64 {
	i.mu.Lock()
	pid := i.command.Process.Pid
	i.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmRSS:" {
			kb, _ := strconv.ParseInt(fields[1], 10, 64)
			return kb >> 10
		}
	}
	return 0
}

// watchMemory does what the platform does with a process that exceeds its memory: it kills it, and starts it again after a short delay.
func (w *world) watchMemory() {
	for range time.Tick(10 * time.Millisecond) {
		if w.isClosing() {
			return
		}
		for _, i := range w.instances {
			used := i.residentMB()
			if ends := i.noteMemory(used); ends > 0 {
				w.record.printf("%s uses %d MB, its limit is %d MB: the platform kills it (%d times so far)", i.name, used, memoryMB, ends)
				i.kill()
				time.AfterFunc(restartTime, func() { w.restart(i) })
			}
		}
	}
}

// noteMemory notes the memory of the process. It returns the number of its ends if the memory is over the limit, and zero otherwise.
func (i *instance) noteMemory(usedMB int64) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.peakMB = max(i.peakMB, usedMB)
	if usedMB <= memoryMB {
		return 0
	}
	i.ends++
	return i.ends
}

// memoryEnds returns the largest memory of the processes of the machine, and how many of them were killed for it.
func (i *instance) memoryEnds() (peakMB int64, ends int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.peakMB, i.ends
}

func (w *world) isClosing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closing
}

// restart starts the process of a machine again, unless the case is over.
func (w *world) restart(i *instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closing {
		return
	}
	if err := i.start(); err != nil {
		w.record.printf("%s can't be started again: %v", i.name, err)
	}
}

// kill ends the process and waits for its end.
func (i *instance) kill() {
	i.mu.Lock()
	defer i.mu.Unlock()
	_ = i.command.Process.Signal(syscall.SIGKILL)
	_ = i.command.Wait()
}

// close ends all processes.
func (w *world) close() {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
	for _, i := range w.instances {
		i.kill()
	}
}

// deadline is how long clients wait for an answer.
const deadline = 3 * time.Second

var client = http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes a client's request to an instance. It returns status 0 if there is no answer.
func (w *world) call(i *instance, method, id, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+i.front+pathPrefix+id, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = hostName
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	answer, _ := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(answer))
}

// submit sends a submission until it is accepted, to one instance after the other, as clients do.
func (w *world) submit(first int, id, body string, tries int) bool {
	for n := range tries {
		i := w.instances[(first+n)%len(w.instances)]
		status, answer := w.call(i, http.MethodPost, id, body)
		w.record.printf("POST %s at %s: %d %.80s", id, i.name, status, answer)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// state returns the state that an instance shows.
func (w *world) state(first int, id string) string {
	for n := range w.instances {
		status, answer := w.call(w.instances[(first+n)%len(w.instances)], http.MethodGet, id, "")
		if status == http.StatusOK || status == http.StatusGone {
			return strconv.Itoa(status) + " " + answer
		}
	}
	return "no answer"
}

// waitReady waits until all instances have a configuration.
func (w *world) waitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for n, i := range w.instances {
			if status, _ := w.call(i, http.MethodGet, fmt.Sprintf("%016x", n), ""); status == http.StatusGone {
				ready++
			}
		}
		if ready == len(w.instances) {
			return true
		}
	}
	return false
}

// endsOf returns the number of ends of the runs of a submission by kind.
func (r *record) endsOf(id string) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	ends := map[string]int{}
	for how, n := range r.ends[id] {
		ends[how] = n
	}
	return ends
}
