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

// binaryDir is the folder of the built programs.
var binaryDir string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	folder, err := os.MkdirTemp("", "medlarproof")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	build := exec.Command("go", "build", "-o", folder+string(filepath.Separator), "medlarwheel/cmd/...")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	binaryDir = folder
	defer killAll()
	return m.Run()
}

// startedProcesses lists every process of this run, so that none outlives it when a test or a benchmark ends early.
var startedProcesses struct {
	mu        sync.Mutex
	processes []*process
}

// killAll ends all processes that still run, each by its id.
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
	// exited is closed after the end, when err is set.
	exited chan struct{}
	err    error
}

// startProcess runs a program until it is stopped.
func startProcess(t testing.TB, name, program string, arguments ...string) *process {
	t.Helper()
	p := &process{name: name, logs: &logBuffer{}, exited: make(chan struct{})}
	p.command = exec.Command(filepath.Join(binaryDir, program), arguments...)
	p.command.Env = append(os.Environ(), "MEDLARWHEEL_SYSTEM_KEY=medlarproof-system-key", "MEDLARWHEEL_AUTHOR=medlarproof")
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
		t.Fatalf("signal %s to %s: %v", s, p.name, err)
	}
}

// kill ends the process without warning and waits for its end.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// logBuffer collects the output of a process. It is safe for concurrent use.
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

// linesContaining returns the lines that contain every part.
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

// tail returns the last lines.
func (l *logBuffer) tail(n int) string {
	all := l.linesContaining()
	return strings.Join(all[max(0, len(all)-n):], "\n")
}

// freeAddress returns a loopback address whose port was free a moment ago.
func freeAddress(t testing.TB) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// pollInterval is the time between two looks at a condition of another process.
const pollInterval = 20 * time.Millisecond

// await waits until the condition holds and fails the test when it does not within the limit. It returns the time taken.
func await(t testing.TB, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	begin := time.Now()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		if time.Since(begin) > limit {
			t.Fatalf("not within %s: %s", limit, what)
		}
		<-ticker.C
	}
	return time.Since(begin)
}
