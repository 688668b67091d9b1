package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"time"

	"medlarwheel/platform/medlaremulator"
)

// world is the surroundings of a case: the emulated platform, the instances, and the record.
type world struct {
	emulator *medlaremulator.Emulator
	// store, if set, is the proxy through which the instances reach the store.
	store     *proxy
	program   string
	directory string
	trouble   bool
	began     time.Time
	instances []*instance
	mu        sync.Mutex
	record    *os.File
}

// instance is a process of the program.
type instance struct {
	name, address string
	command       *exec.Cmd
	log           *os.File
}

func newWorld(program, path string) (*world, error) {
	directory, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(path)
	if err != nil {
		return nil, errors.Join(err, os.RemoveAll(directory))
	}
	return &world{program: program, directory: directory, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}, nil
}

// note writes a line to the record, with the seconds since the start of the case.
func (w *world) note(format string, arguments ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// close ends all processes and closes the record.
func (w *world) close() {
	for _, i := range w.instances {
		_ = i.command.Process.Kill()
		_ = i.command.Wait()
		_ = i.log.Close()
	}
	if w.emulator != nil {
		w.emulator.Close()
	}
	_ = w.record.Close()
	_ = os.RemoveAll(w.directory)
}

// Ports lie below the ephemeral range of the system.
const minPort, maxPort = 15_000, 32_000

// freePorts returns the first of four consecutive free ports of a loopback address.
func freePorts(ip string) (int, error) {
	for range 200 {
		first, free := minPort+4*rand.IntN((maxPort-minPort)/4), true
		for port := first; port < first+4 && free; port++ {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, errors.New("found no four consecutive free ports")
}

// startInstance starts an instance on a loopback address of its own, since the port for metrics is the same for all.
func (w *world) startInstance(n int) error {
	ip := fmt.Sprintf("127.0.71.%d", n)
	first, err := freePorts("127.0.0.1")
	if err != nil {
		return err
	}
	i := &instance{name: fmt.Sprintf("edge-%d", n), address: fmt.Sprintf("%s:%d", ip, first+2)}
	settings := bytes.ReplaceAll([]byte(w.emulator.Settings(i.name, first)), fmt.Appendf(nil, "127.0.0.1:%d", first+2), fmt.Appendf(nil, "%s:%d", ip, first+2))
	settings = bytes.ReplaceAll(settings, fmt.Appendf(nil, "127.0.0.1:%d", first+3), fmt.Appendf(nil, "%s:%d", ip, first+3))
	settings = bytes.ReplaceAll(settings, []byte(`ip = "127.0.0.1"`), fmt.Appendf(nil, "ip = %q", ip))
	if w.store != nil {
		settings = bytes.ReplaceAll(settings, []byte(w.store.target), []byte(w.store.address()))
	}
	path := filepath.Join(w.directory, i.name+".toml")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	if i.log, err = os.Create(filepath.Join(w.directory, i.name+".log")); err != nil {
		return err
	}
	i.command = exec.Command(w.program, "edge")
	i.command.Env = append(os.Environ(), "MEDLARWHEEL_NODE_FILE="+path, "GOMAXPROCS=1")
	i.command.Stdout, i.command.Stderr = i.log, i.log
	if err := i.command.Start(); err != nil {
		return err
	}
	w.instances = append(w.instances, i)
	w.note("started instance %s, process %d", i.name, i.command.Process.Pid)
	return nil
}

// call sends a client's request to the first instance and returns the status and the body. Status 0 means no answer.
func (w *world) call(method, id, body string) (int, string) {
	const clientTime = 3 * time.Second
	request, err := http.NewRequest(method, "http://"+w.instances[0].address+medlaremulator.PathPrefix+id, bytes.NewBufferString(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = medlaremulator.Host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", fmt.Sprint(clientTime.Milliseconds()))
	client := http.Client{Timeout: clientTime}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(data)
}

// submit sends a submission until it is accepted.
func (w *world) submit(id, body string) error {
	const patience = 15 * time.Second
	for deadline := time.Now().Add(patience); ; time.Sleep(100 * time.Millisecond) {
		status, answer := w.call(http.MethodPost, id, body)
		w.note("POST %s %s -> %d %s", id, body, status, answer)
		if status == http.StatusOK {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.New("the submission is not accepted")
		}
	}
}

// state returns the state that a client sees, or an empty text if it got none.
func (w *world) state(id string) string {
	status, answer := w.call(http.MethodGet, id, "")
	var body struct{ State string }
	if status != http.StatusOK || json.Unmarshal([]byte(answer), &body) != nil {
		w.note("GET %s -> %d %s", id, status, answer)
		return ""
	}
	return body.State
}

// noteRuns writes all runs to the record.
func (w *world) noteRuns() {
	for _, r := range w.emulator.Runs() {
		ended := "still running"
		if !r.EndedAt.IsZero() {
			ended = fmt.Sprintf("%s at %.3f s", r.EndKind, r.EndedAt.Sub(w.began).Seconds())
		}
		w.note("run %d of %s on %s: started at %.3f s, %s", r.Number, r.Task, r.Worker, r.StartedAt.Sub(w.began).Seconds(), ended)
	}
}

// workerID returns the id of a worker by its position in the emulator's list.
func workerID(n int) string { return fmt.Sprintf("i-%d", n) }

// storeAddress returns the address of the store.
func (w *world) storeAddress() (string, error) {
	address := regexp.MustCompile(`\[platform\]\naddress = "([^"]+)"`).FindStringSubmatch(w.emulator.Settings("unused", minPort))
	if address == nil {
		return "", errors.New("the settings name no address of the store")
	}
	return address[1], nil
}
