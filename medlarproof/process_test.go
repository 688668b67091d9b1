package medlarproof

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// binaryDir is the directory of the built programs.
var binaryDir string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	directory, err := os.MkdirTemp("", "medlarproof")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	build := exec.Command("go", "build", "-o", directory+string(filepath.Separator), "medlarwheel/cmd/...")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the programs: %v\n%s", err, output)
		return 1
	}
	binaryDir = directory
	defer killAll()
	return m.Run()
}

// startedProcesses holds every process of this run, so that none outlives it if a test or a benchmark ends early.
var startedProcesses struct {
	mu        sync.Mutex
	processes []*process
}

// killAll kills all processes that are still running, each by its process id.
func killAll() {
	startedProcesses.mu.Lock()
	defer startedProcesses.mu.Unlock()
	for _, p := range startedProcesses.processes {
		p.kill()
	}
}

// process is a started program.
type process struct {
	name    string
	command *exec.Cmd
	logs    *logBuffer
	// exited is closed after the process has exited and err is set.
	exited chan struct{}
	err    error
}

// startProcess starts a program, which runs until it is stopped.
func startProcess(t testing.TB, name, program string, arguments ...string) *process {
	t.Helper()
	return startProcessWith(t, nil, name, program, arguments...)
}

// startProcessWith starts a program with additional environment variables.
func startProcessWith(t testing.TB, environment []string, name, program string, arguments ...string) *process {
	t.Helper()
	p := &process{name: name, logs: &logBuffer{}, exited: make(chan struct{})}
	p.command = exec.Command(filepath.Join(binaryDir, program), arguments...)
	p.command.Env = append(append(os.Environ(), "MEDLARWHEEL_AUTHOR=medlarproof"), environment...)
	p.command.Stdout, p.command.Stderr = p.logs, p.logs
	if err := p.command.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go func() {
		p.err = p.command.Wait()
		close(p.exited)
	}()
	startedProcesses.mu.Lock()
	defer startedProcesses.mu.Unlock()
	startedProcesses.processes = append(startedProcesses.processes, p)
	return p
}

func (p *process) signal(t testing.TB, s syscall.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		t.Fatalf("send signal %s to %s: %v", s, p.name, err)
	}
}

// kill sends SIGKILL to the process and waits for its exit.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// hasExited reports whether the process has exited.
func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// logBuffer holds the output of a process. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write appends to the log.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.data.Write(p)
}

// linesContaining returns the lines that contain all parts.
func (l *logBuffer) linesContaining(parts ...string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
lines:
	for _, line := range strings.Split(l.data.String(), "\n") {
		for _, part := range parts {
			if !strings.Contains(line, part) {
				continue lines
			}
		}
		found = append(found, line)
	}
	return found
}

// tail returns the last n lines.
func (l *logBuffer) tail(n int) string {
	all := l.linesContaining()
	return strings.Join(all[max(0, len(all)-n):], "\n")
}

// addressPool selects loopback addresses for processes to listen on. It never returns an address twice: the operating system
// may assign the port of a closed listener again at once, and of two processes with the same address one exits.
type addressPool struct {
	mu   sync.Mutex
	used map[string]struct{}
}

// addresses selects the addresses of this run.
var addresses addressPool

// freeAddress returns a loopback address with a port that was free at the time of the call and is not returned again.
func freeAddress(t testing.TB) string {
	t.Helper()
	return addresses.next(t)
}

func (a *addressPool) next(t testing.TB) string {
	t.Helper()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.used == nil {
		a.used = map[string]struct{}{}
	}
	for {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		// Listeners on used addresses stay open until the search ends, so that each attempt gets another port.
		defer func() { _ = listener.Close() }()
		address := listener.Addr().String()
		if _, used := a.used[address]; !used {
			a.used[address] = struct{}{}
			return address
		}
	}
}

// pollInterval is the interval between checks of a condition in another process.
const pollInterval = 20 * time.Millisecond

// await polls a condition until it holds and returns the time taken. It fails the test if the limit passes first.
func await(t testing.TB, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	begin := time.Now()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		if time.Since(begin) > limit {
			t.Fatalf("condition not met within %s: %s", limit, what)
		}
		<-ticker.C
	}
	return time.Since(begin)
}
