package medlarpeer

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of peer connections, headers included.
type Traffic struct {
	in, out atomic.Int64
}

// In returns the bytes received.
func (t *Traffic) In() int64 { return t.in.Load() }

// Out returns the bytes sent.
func (t *Traffic) Out() int64 { return t.out.Load() }

// countedConn counts the bytes of one connection.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read reads and counts.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.in.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.out.Add(int64(n))
	return n, err
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	traffic *Traffic
}

// Accept waits for a connection.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, traffic: l.traffic}, nil
}
