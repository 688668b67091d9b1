package medlarrelay

import (
	"net"
	"sync"
	"time"
)

// relayedConn is one relayed connection. The relay's lock guards stalled.
type relayedConn struct {
	relay   *Relay
	client  net.Conn
	target  net.Conn
	stalled bool
	once    sync.Once
	done    chan struct{}
}

// chunk holds bytes to forward at the time due. A chunk with nil data marks the end of the stream.
type chunk struct {
	data []byte
	due  time.Time
}

const (
	// chunkBytes is the size of the buffer for one read.
	chunkBytes = 32 << 10
	// maxQueuedChunks limits the delayed bytes of one direction to 8 MiB.
	maxQueuedChunks = 256
)

// run forwards bytes both ways until both directions have ended or the connection was closed.
func (conn *relayedConn) run() {
	var group sync.WaitGroup
	group.Go(func() {
		conn.forward(conn.client, conn.target, func(f Faults) time.Duration { return f.DelayToTarget.Std() })
	})
	group.Go(func() {
		conn.forward(conn.target, conn.client, func(f Faults) time.Duration { return f.DelayFromTarget.Std() })
	})
	group.Wait()
	conn.close()
}

func (conn *relayedConn) close() {
	conn.once.Do(func() {
		close(conn.done)
		_ = conn.client.Close()
		_ = conn.target.Close()
	})
}

// forward copies one direction through a queue, so that a delay does not reduce the throughput.
func (conn *relayedConn) forward(from, to net.Conn, delay func(Faults) time.Duration) {
	queue := make(chan chunk, maxQueuedChunks)
	var group sync.WaitGroup
	group.Go(func() { conn.read(from, queue, delay) })
	group.Go(func() { conn.write(to, queue) })
	group.Wait()
}

func (conn *relayedConn) read(from net.Conn, queue chan<- chunk, delay func(Faults) time.Duration) {
	for {
		data := make([]byte, chunkBytes)
		n, err := from.Read(data)
		c := chunk{data: data[:n], due: time.Now().Add(delay(conn.relay.currentFaults()))}
		if err != nil {
			c.data = nil
		}
		if !conn.enqueue(queue, c) || err != nil {
			return
		}
	}
}

func (conn *relayedConn) enqueue(queue chan<- chunk, c chunk) bool {
	if !conn.waitWhileStalled() {
		return false
	}
	select {
	case queue <- c:
		return true
	case <-conn.done:
		return false
	}
}

func (conn *relayedConn) write(to net.Conn, queue <-chan chunk) {
	for {
		select {
		case c := <-queue:
			if !conn.sleep(time.Until(c.due)) || !conn.waitWhileStalled() {
				return
			}
			if c.data == nil {
				if tcp, ok := to.(*net.TCPConn); ok {
					_ = tcp.CloseWrite()
				}
				return
			}
			if _, err := to.Write(c.data); err != nil {
				conn.close()
				return
			}
		case <-conn.done:
			return
		}
	}
}

// waitWhileStalled returns when the connection is not stalled. It reports false if the connection was closed.
func (conn *relayedConn) waitWhileStalled() bool {
	for {
		conn.relay.mu.Lock()
		stalled, changed := conn.stalled, conn.relay.changed
		conn.relay.mu.Unlock()
		if !stalled {
			return true
		}
		select {
		case <-changed:
		case <-conn.done:
			return false
		}
	}
}

func (conn *relayedConn) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-conn.done:
		return false
	}
}

func (r *Relay) currentFaults() Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}
