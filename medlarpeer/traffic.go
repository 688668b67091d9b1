package medlarpeer

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of peer connections, headers included.
type Traffic struct {
	received, sent atomic.Int64
}

// BytesReceived returns the bytes received.
func (t *Traffic) BytesReceived() int64 { return t.received.Load() }

// BytesSent returns the bytes sent.
func (t *Traffic) BytesSent() int64 { return t.sent.Load() }

// countingConn counts the bytes of one connection.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read reads and counts.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	traffic *Traffic
}

// Accept waits for a connection.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, traffic: l.traffic}, nil
}
