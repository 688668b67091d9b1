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

// reservedDescriptors is the number of file descriptors kept for files, clients, other instances and the table. An owner
// that has none left for the table cannot renew its claim.
const reservedDescriptors = 1650

// connectionsPerWorker returns how many connections an owner may open to each worker for its orders, so that the
// connections to all workers together do not use the reserved descriptors.
func connectionsPerWorker(descriptors, workers, limit int) int {
	if descriptors <= 0 || workers <= 0 {
		return limit
	}
	return min(limit, max(1, (descriptors-reservedDescriptors)/workers-platform.RenewalConnections))
}

// acceptRetryDelay is the pause after an accept that failed because a resource was exhausted.
const acceptRetryDelay = 20 * time.Millisecond

// retryListener keeps accepting after transient errors such as descriptor exhaustion, which ends when connections are
// closed. The fasthttp server would stop at the first error.
type retryListener struct {
	net.Listener
	name  string
	log   zerolog.Logger
	meter *medlarmetrics.Meter
	clock medlarwheel.Clock
	// loggedAt is when an accept error was last logged. Only Accept uses it.
	loggedAt time.Time
}

// acceptLogInterval is the minimum interval between two log lines about accept errors.
const acceptLogInterval = time.Second

// Accept waits for the next connection and retries after transient errors.
func (l *retryListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || !isTransientAcceptError(err) {
			return conn, err
		}
		l.meter.Count("accept-failed." + l.name)
		if now := l.clock.Now(); now.Sub(l.loggedAt) >= acceptLogInterval {
			l.loggedAt = now
			l.log.Warn().Str("event", "accept-failed").Str("server", l.name).Err(err).
				Msg("cannot accept a connection; retrying")
		}
		time.Sleep(acceptRetryDelay)
	}
}

// isTransientAcceptError reports whether accepting may succeed later on the same listener.
func isTransientAcceptError(err error) bool {
	for _, transient := range []error{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO, syscall.EPERM,
	} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}
