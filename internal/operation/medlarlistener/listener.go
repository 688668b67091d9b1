package medlarlistener

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlaringress"
)

// ReceiveWindow is the size of the receive buffer of a connection. What a client sends beyond it waits at the client.
const ReceiveWindow = 32 << 10

// Config configures a listener.
type Config struct {
	Limits medlaringress.Limits
	// ReaderBytes is the size of the header buffer that a connection holds from its first byte on.
	ReaderBytes int
	// MaxBody returns the largest size of a body.
	MaxBody func() int
	Clock   medlarwheel.Clock
	// OnEvent is called for each refusal and each connection that gives way.
	OnEvent func(Event)
}

// Event is what happens to a connection that meets a limit.
type Event string

// The events. A connection that gives way is evicted in favour of another one.
const (
	ConnectionRefused Event = "refused-connections"
	ConnectionEvicted Event = "evicted-connections"
	MemoryRefused     Event = "refused-for-memory"
	BodyRefused       Event = "refused-bodies"
)

// Listener accepts connections within the limits.
type Listener struct {
	net.Listener
	config Config
	// mu guards the ledger and the connections.
	mu     sync.Mutex
	ledger *medlaringress.Ledger
	conns  map[medlaringress.ConnectionID]*conn
}

// New returns a listener that accepts from inner.
func New(inner net.Listener, c Config) *Listener {
	return &Listener{
		Listener: inner, config: c, ledger: medlaringress.New(c.Limits), conns: map[medlaringress.ConnectionID]*conn{},
	}
}

// maxPending is the number of connections that wait to be accepted, each with up to ReceiveWindow unread bytes. The system's own
// is several thousand. Further clients try again after a second.
const maxPending = 512

// Listen opens a TCP listener whose connections have a receive window of ReceiveWindow, and of which maxPending may wait. A system
// that does not support this keeps its own limits.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, ReceiveWindow)
		})
	}}
	l, err := config.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := l.(*net.TCPListener); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			// Listening again changes the limit of a listening socket.
			_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), maxPending) })
		}
	}
	return l, nil
}

// refusal is the response to a connection that is refused before it is read.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refusalTimeout bounds the time for which a refused client can hold up the listener. The refusal fits into the send buffer.
const refusalTimeout = 10 * time.Millisecond

// Accept returns the next connection that is admitted.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(accepted); c != nil {
			return c, nil
		}
		l.config.OnEvent(ConnectionRefused)
		refuseConnection(accepted)
	}
}

// refuseConnection responds and closes the connection. The client may have gone already, so that errors do not matter.
func refuseConnection(c net.Conn) {
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Write([]byte(refusal))
	_ = c.Close()
}

// admit returns the connection, or nil if it is refused.
func (l *Listener) admit(accepted net.Conn) *conn {
	now := l.config.Clock.Now()
	l.mu.Lock()
	id, evicted, ok := l.ledger.Open(now)
	victims := l.remove(evicted)
	var c *conn
	if ok {
		c = &conn{Conn: accepted, listener: l, id: id}
		l.conns[id] = c
	}
	l.mu.Unlock()
	l.closeEvicted(victims)
	return c
}

// remove returns the connections that the ledger has removed, to be closed without holding the lock.
func (l *Listener) remove(ids ...medlaringress.ConnectionID) []*conn {
	var victims []*conn
	for _, id := range ids {
		if c := l.conns[id]; c != nil {
			delete(l.conns, id)
			victims = append(victims, c)
		}
	}
	return victims
}

// closeEvicted closes connections and returns once their descriptors are free, which Close waits for.
func (l *Listener) closeEvicted(victims []*conn) {
	for _, c := range victims {
		// The client may have closed it at the same time.
		_ = c.Conn.Close()
		l.config.OnEvent(ConnectionEvicted)
	}
}

// errEvicted means that the connection has given way to another one.
var errEvicted = errors.New("connection was closed in favour of others, because a limit was met")

// conn is an admitted connection.
type conn struct {
	net.Conn
	listener *Listener
	id       medlaringress.ConnectionID
	// readerCounted is true once the header buffer is counted. Only the goroutine that serves the connection uses it.
	readerCounted bool
	// bodyBytes is what the body that is being read or handled takes. Only that goroutine uses it.
	bodyBytes int64
}

// Close closes the connection and no longer counts it.
func (c *conn) Close() error {
	err := c.Conn.Close()
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.Close(c.id)
	delete(l.conns, c.id)
	return err
}

// enter notes the phase of the connection.
func (c *conn) enter(p medlaringress.Phase) bool {
	l := c.listener
	now := l.config.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if p == medlaringress.Idle {
		l.ledger.Shrink(c.id, c.bodyBytes)
		c.bodyBytes = 0
	}
	return l.ledger.Enter(now, c.id, p)
}

// grow asks for more bytes. If they are refused, the connection has given way and still has to respond and to be closed.
func (c *conn) grow(bytes int) bool {
	l := c.listener
	now := l.config.Clock.Now()
	l.mu.Lock()
	evicted, ok := l.ledger.Grow(now, c.id, int64(bytes))
	victims := l.remove(evicted...)
	l.mu.Unlock()
	l.closeEvicted(victims)
	return ok
}
