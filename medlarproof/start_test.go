package medlarproof

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// failureRecorder records the failure of a helper instead of failing the test.
type failureRecorder struct {
	testing.TB
	message string
}

// Fatalf records the message and ends the calling goroutine.
func (r *failureRecorder) Fatalf(format string, arguments ...any) {
	r.message = fmt.Sprintf(format, arguments...)
	runtime.Goexit()
}

// Guards against a start that waits for the votes of an instance that has exited, and then reports the time-out of another
// instance instead of the cause. The last instance has the client address of another one, so one of the two exits while the
// readiness probes of both succeed.
func TestStartReportsExitedInstance(t *testing.T) {
	for other := range 3 {
		t.Run(fmt.Sprintf("address of entry-%d", other+1), func(t *testing.T) {
			s := newStoppedSystem("")
			t.Cleanup(s.stop)
			s.startPlatform(t)
			s.addEntries(t)
			s.entries[3].clientAddress = s.entries[other].clientAddress
			recorder := &failureRecorder{TB: t}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				s.startEntries(recorder)
			}()
			<-ended
			if !strings.Contains(recorder.message, " exited ") || !strings.Contains(recorder.message, "address already in use") {
				t.Errorf("the start failed with %q, want the exited instance and its error", recorder.message)
			}
		})
	}
}

// Guards against an instance that takes a process of another system for its own later process and stops, when the other
// process has the address of a stopped instance. Several test runs on one machine can assign addresses in this way.
func TestSystemsDoNotAcceptEachOthersCalls(t *testing.T) {
	s := newSystem(t, "")
	stopped := s.entries[3]
	stopped.kill()
	other := newStoppedSystem("")
	t.Cleanup(other.stop)
	other.startPlatform(t)
	other.addEntries(t)
	other.entries[0].peerAddress = stopped.peerAddress
	other.startEntries(t)
	for _, e := range s.entries[:3] {
		before := e.counter("peer-failure.exchange")
		await(t, capacityTimeout, "rejected call to the other system by "+string(e.id), func() bool {
			if e.hasExited() {
				t.Fatalf("%s exited, error %v; want it to keep running; last log lines:\n%s", e.id, e.err, e.logs.tail(3))
			}
			return e.counter("peer-failure.exchange") > before
		})
	}
	for _, e := range append(s.entries[:3:3], other.entries...) {
		if e.hasExited() {
			t.Errorf("%s exited, error %v; want it to keep running", e.id, e.err)
		}
	}
}
