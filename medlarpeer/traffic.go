package medlarpeer

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes sent and received on peer connections, including HTTP headers.
type Traffic struct {
	received, sent atomic.Int64
}

// BytesReceived returns the total of bytes received so far.
func (t *Traffic) BytesReceived() int64 { return t.received.Load() }

// BytesSent returns the total of bytes sent so far.
func (t *Traffic) BytesSent() int64 { return t.sent.Load() }

// countingConn counts the bytes of one connection.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read reads from the connection and counts the bytes read.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes written.
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

// Accept returns the next connection, wrapped in a countingConn.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, traffic: l.traffic}, nil
}
