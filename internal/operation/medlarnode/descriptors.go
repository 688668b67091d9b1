package medlarnode

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"medlarwheel"
	"medlarwheel/internal/operation/medlarmetrics"
	"medlarwheel/platform"
)

// reservedDescriptors are kept for files, clients, other instances and the table: an owner without them can't renew its
// claim.
const reservedDescriptors = 1500

// connectionsPerWorker returns how many connections an owner may have to one worker for its orders, so that the connections to
// all workers leave the reserve untouched.
func connectionsPerWorker(descriptors, workers, limit int) int {
	if descriptors <= 0 || workers <= 0 {
		return limit
	}
	return min(limit, max(1, (descriptors-reservedDescriptors)/workers-platform.RenewalConnections))
}

// acceptRetryDelay is the pause after a connection that can't be accepted for want of resources.
const acceptRetryDelay = 20 * time.Millisecond

// retryListener goes on accepting after a want of resources, which passes when connections are closed. The library's
// server ends with the first error.
type retryListener struct {
	net.Listener
	name  string
	log   zerolog.Logger
	meter *medlarmetrics.Meter
	clock medlarwheel.Clock
	// loggedAt is when the last failure was logged. Only Accept uses it.
	loggedAt time.Time
}

// acceptLogInterval is the least time between two lines about failures.
const acceptLogInterval = time.Second

// Accept waits for the next connection.
func (l *retryListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || !isTransientAcceptError(err) {
			return conn, err
		}
		l.meter.Count("accept-failed." + l.name)
		if now := l.clock.Now(); now.Sub(l.loggedAt) >= acceptLogInterval {
			l.loggedAt = now
			l.log.Warn().Str("event", "accept-failed").Str("server", l.name).Err(err).Msg("")
		}
		time.Sleep(acceptRetryDelay)
	}
}

// isTransientAcceptError reports whether a failed accept says nothing about the listener itself.
func isTransientAcceptError(err error) bool {
	for _, passing := range []error{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO, syscall.EPERM,
	} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}
