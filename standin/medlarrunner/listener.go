package medlarrunner

import (
	"net"
	"sync"
)

// countedListener closes connections above the limit at once and counts them as violations.
type countedListener struct {
	net.Listener
	runner *Runner
}

// Accept returns the next connection within the limit.
func (l *countedListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		faults, _ := l.runner.faults.get()
		if faults.CloseConnections {
			_ = connection.Close()
			continue
		}
		open := l.runner.open.Add(1)
		raise(&l.runner.peakConnections, open)
		if open > int64(l.runner.config.Connections) {
			l.runner.connectionViolations.Add(1)
			l.runner.open.Add(-1)
			_ = connection.Close()
			continue
		}
		return &countedConn{Conn: connection, runner: l.runner}, nil
	}
}

type countedConn struct {
	net.Conn
	runner *Runner
	once   sync.Once
}

// Close closes the connection and counts it off.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.runner.open.Add(-1) })
	return c.Conn.Close()
}
