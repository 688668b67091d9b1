package medlartransport

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
)

// conn is one connection to an upstream with its progress.
type conn struct {
	net.Conn
	clock  medlarwheel.Clock
	reader *bufio.Reader
	writer *bufio.Writer
	// opened is when the connection was dialled.
	opened time.Time
	// lastProgress is when a complete response last arrived, or when the connection was opened.
	lastProgress time.Time
	// readTimeout bounds each read while a body is being read. Zero means no bound.
	readTimeout time.Duration
	// deadline bounds the whole call.
	deadline time.Time
}

func newConn(raw net.Conn, opened time.Time, config *Config) *conn {
	c := &conn{Conn: raw, clock: config.Clock, opened: opened, lastProgress: opened}
	c.reader = bufio.NewReaderSize(c, config.ReadBufferSize)
	c.writer = bufio.NewWriterSize(raw, 4<<10)
	return c
}

// Read reads from the connection. While a body is read, each read must make progress within the stall limit.
func (c *conn) Read(p []byte) (int, error) {
	if c.readTimeout > 0 {
		limit := c.clock.Now().Add(c.readTimeout)
		if limit.After(c.deadline) {
			limit = c.deadline
		}
		if err := c.SetReadDeadline(limit); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(p)
}

// errUnexpectedData reports bytes that belong to no request.
var errUnexpectedData = errors.New("unexpected data on an idle connection")

// checkIdle reports an error when the peer has closed an idle connection or has sent bytes on it. Such a connection
// must not carry a request: a non-idempotent request on it would end with an unknown outcome.
func (c *conn) checkIdle() error {
	if c.reader.Buffered() > 0 {
		return errUnexpectedData
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return err
	}
	var state error
	err = control.Read(func(fd uintptr) bool {
		state = checkSocket(int(fd))
		return true
	})
	if err != nil {
		return err
	}
	return state
}

func checkSocket(fd int) error {
	var buffer [1]byte
	n, _, err := syscall.Recvfrom(fd, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return nil
	case err != nil:
		return err
	case n == 0:
		return net.ErrClosed
	default:
		return errUnexpectedData
	}
}
