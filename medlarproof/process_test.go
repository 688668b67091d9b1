package medlarproof

import (
	"bytes"
	"fmt"
	"net/netip"
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

// addressPool reserves loopback addresses for processes to listen on. For each address it holds a bound socket that does not
// listen. The operating system then assigns the port to no other socket, but a process may still listen on it, because both
// sockets have the option SO_REUSEADDR, which Go sets for listeners.
type addressPool struct {
	mu      sync.Mutex
	sockets []int
}

// addresses holds the addresses of this run, which are reserved until it ends.
var addresses addressPool

// freeAddress returns a loopback address that is reserved for a process of this run.
func freeAddress(t testing.TB) string {
	t.Helper()
	address, err := addresses.reserve()
	if err != nil {
		t.Fatalf("reserve an address: %v", err)
	}
	return address
}

func (a *addressPool) reserve() (string, error) {
	socket, address, err := bindFreePort()
	if err != nil {
		return "", err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sockets = append(a.sockets, socket)
	return address, nil
}

// close gives up all addresses.
func (a *addressPool) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, socket := range a.sockets {
		_ = syscall.Close(socket)
	}
	a.sockets = nil
}

// bindFreePort binds a socket to a free port of the loopback interface and returns its address.
func bindFreePort() (socket int, address string, err error) {
	// Started processes must not inherit the socket.
	syscall.ForkLock.RLock()
	socket, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err == nil {
		syscall.CloseOnExec(socket)
	}
	syscall.ForkLock.RUnlock()
	if err != nil {
		return 0, "", err
	}
	defer func() {
		if err != nil {
			_ = syscall.Close(socket)
		}
	}()
	if err = syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return 0, "", err
	}
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	if err = syscall.Bind(socket, &syscall.SockaddrInet4{Addr: loopback.As4()}); err != nil {
		return 0, "", err
	}
	bound, err := syscall.Getsockname(socket)
	if err != nil {
		return 0, "", err
	}
	return socket, netip.AddrPortFrom(loopback, uint16(bound.(*syscall.SockaddrInet4).Port)).String(), nil
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
