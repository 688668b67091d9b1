package medlarrunner

import (
	"net"
	"sync"
)

// limitListener closes connections above the limit at once and counts them as violations.
type limitListener struct {
	net.Listener
	runner *Runner
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
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
		open := l.runner.openConnections.Add(1)
		updateMax(&l.runner.peakConnections, open)
		if open > int64(l.runner.config.MaxConnections) {
			l.runner.connectionViolations.Add(1)
			l.runner.openConnections.Add(-1)
			_ = connection.Close()
			continue
		}
		return &limitConn{Conn: connection, runner: l.runner}, nil
	}
}

type limitConn struct {
	net.Conn
	runner *Runner
	once   sync.Once
}

// Close closes the connection and counts it off.
func (c *limitConn) Close() error {
	c.once.Do(func() { c.runner.openConnections.Add(-1) })
	return c.Conn.Close()
}
