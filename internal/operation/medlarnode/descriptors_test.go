package medlarnode

import (
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/rs/zerolog"

	"medlarwheel/internal/operation/medlarclock"
	"medlarwheel/internal/operation/medlarmetrics"
	"medlarwheel/platform"
)

// TestConnectionsPerWorkerLeaveDescriptorReserve guards against an owner that uses up its file descriptors for
// connections to workers, and then can neither renew its claim nor respond to other instances.
func TestConnectionsPerWorkerLeaveDescriptorReserve(t *testing.T) {
	const limit = 12
	for _, c := range []struct{ descriptors, workers, want int }{
		{descriptors: 4100, workers: 66, want: limit},
		{descriptors: 8192, workers: 890, want: 6},
		{descriptors: 8192, workers: 3000, want: 1},
		{descriptors: 4100, workers: 890, want: 1},
		{descriptors: 4100, workers: 0, want: limit},
		{descriptors: 0, workers: 890, want: limit},
		{descriptors: 1000, workers: 890, want: 1},
	} {
		if got := connectionsPerWorker(c.descriptors, c.workers, limit); got != c.want {
			t.Errorf("with %d descriptors and %d workers: got %d connections to each worker, want %d",
				c.descriptors, c.workers, got, c.want)
		}
	}
	// The design size, and the largest size of the sweep.
	for _, workers := range []int{2800, 3000} {
		const descriptors = 8192
		if all := workers * (connectionsPerWorker(descriptors, workers, limit) + platform.RenewalConnections); all > descriptors-reservedDescriptors {
			t.Errorf("%d connections to %d workers leave less than the reserve of %d of %d descriptors",
				all, workers, reservedDescriptors, descriptors)
		}
	}
}

// failingListener returns the errors one after another before it accepts.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return nil, nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
}

// TestAcceptRetriesTransientErrors guards against an instance that stops because it had no free file descriptor for a
// moment.
func TestAcceptRetriesTransientErrors(t *testing.T) {
	clock, err := medlarclock.NewBootClock()
	if err != nil {
		t.Fatal(err)
	}
	wrap := func(failures ...error) *retryListener {
		return &retryListener{
			Listener: &failingListener{errs: failures}, name: "test", log: zerolog.Nop(), meter: medlarmetrics.New(), clock: clock,
		}
	}
	if _, err := wrap(syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED).Accept(); err != nil {
		t.Errorf("Accept returned a transient error: %v", err)
	}
	if _, err := wrap(syscall.EMFILE, net.ErrClosed).Accept(); err == nil {
		t.Error("Accept on a closed listener returned no error")
	}
}
