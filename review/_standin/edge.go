package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// edge is an instance of medlarwheel.
type edge struct {
	world *world
	name  string
	host  int

	mu      sync.Mutex
	command *exec.Cmd
	stopped bool
}

// Ports of an instance.
const (
	frontPort   = 8161
	controlPort = 8166
	readyPort   = 8167
)

// settings returns the settings file, with the bounds of the site.
func (e *edge) settings() string {
	address := func(port int) string { return e.world.address(e.host, port) }
	b := &e.world.bounds
	return fmt.Sprintf(`node = %q
role = "edge"
machineClass = "edge"
serves = ["edge"]
ip = "%s.%d"
zone = "z1"
region = "r"
internalPorts = [7720,7735]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = %d
orders = "rpc"
[listen]
front = %q
ready = %q
control = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
[bounds]
graceS = 6
contactMs = %d
ackMs = 4000
maxHoldMs = %d
stopMs = %d
gangMs = 3000
cancel_ms = %d
visible_ms = 3000
finish_s = %g
status_s = 120
farX = %g
checkpointS = %g
restoreMs = 250
[platform]
address = %q
form = "table"
writesPerS = 800
readsPerS = 2000
txMs = 3.0
rowBytes = 65536
historyS = 20
`, e.name, e.world.network, e.host, b.heartbeat.Milliseconds(), address(frontPort), address(readyPort), address(controlPort),
		b.contact.Milliseconds(), b.maxHold.Milliseconds(), b.stop.Milliseconds(), b.cancel.Milliseconds(), b.finish.Seconds(), b.farX,
		b.checkpoint.Seconds(), e.world.address(storeHost, 8169))
}

// start starts the process with the command of the deploy file.
func (e *edge) start() error {
	path := e.world.path(e.name + ".toml")
	if err := os.WriteFile(path, []byte(e.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(e.world.path(e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(e.world.program, "edge")
	// The machines of the users have one core.
	command.Env = append(os.Environ(), "MEDLARWHEEL_NODE_FILE="+path, "GOMAXPROCS=1")
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	e.mu.Lock()
	e.command = command
	e.mu.Unlock()
	e.world.note("%s: process started", e.name)
	go func() {
		err := command.Wait()
		e.mu.Lock()
		stopped := e.stopped
		e.mu.Unlock()
		if stopped {
			return
		}
		// A process that exits or is killed is restarted after a short delay.
		e.world.note("%s: process ended: %v", e.name, err)
		time.Sleep(restartDelay)
		if err := e.start(); err != nil {
			e.world.note("%s: not restarted: %v", e.name, err)
		}
	}()
	return nil
}

// restartDelay is the time until the platform restarts a process that has ended.
const restartDelay = 500 * time.Millisecond

// kill sends SIGKILL to the process.
func (e *edge) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.world.note("%s: SIGKILL", e.name)
	_ = e.command.Process.Kill()
}

// stop ends the process for good.
func (e *edge) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
	if e.command != nil {
		_ = e.command.Process.Kill()
	}
}

var readyClient = &http.Client{Timeout: time.Second}

func (e *edge) isReady() bool {
	response, err := readyClient.Get("http://" + e.world.address(e.host, readyPort) + "/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// clientBudget is the time that a client waits for a response.
const clientBudget = 3 * time.Second

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableKeepAlives: true}}

// call sends a client's request to an instance. The status is 0 if there was no response.
func (e *edge) call(method, path string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), clientBudget)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+e.world.address(e.host, frontPort)+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	request.Header.Set("Deadline-Ms", fmt.Sprint(clientBudget.Milliseconds()))
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(data)
}

// anyEdge returns an instance at random.
func (w *world) anyEdge() *edge { return w.edges[rand.IntN(len(w.edges))] }

// callAny sends a request to an instance, and to others while there is no answer or a refusal, four more times at most.
func (w *world) callAny(method, path string, body []byte) (status int, answer string) {
	for range 5 {
		e := w.anyEdge()
		status, answer = e.call(method, path, body)
		if status != 0 && status != 502 && status != 503 && status != 504 && status != 429 {
			return status, answer
		}
		time.Sleep(300 * time.Millisecond)
	}
	return status, answer
}
