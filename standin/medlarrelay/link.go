package medlarrelay

import (
	"net"
	"sync"
	"time"
)

// relayedConn is one relayed connection. The relay's lock guards silent.
type relayedConn struct {
	relay   *Relay
	client  net.Conn
	target  net.Conn
	stalled bool
	once    sync.Once
	done    chan struct{}
}

// chunk holds bytes that are due at a time. A chunk without bytes is the end of the stream.
type chunk struct {
	data []byte
	due  time.Time
}

const (
	// chunkBytes bounds one read.
	chunkBytes = 32 << 10
	// maxQueuedChunks bounds the delayed bytes of one direction to 8 MiB.
	maxQueuedChunks = 256
)

// run passes bytes both ways until both directions have ended or the link was closed.
func (l *relayedConn) run() {
	var group sync.WaitGroup
	group.Go(func() { l.forward(l.client, l.target, func(f Faults) time.Duration { return f.DelayToTarget.Std() }) })
	group.Go(func() { l.forward(l.target, l.client, func(f Faults) time.Duration { return f.DelayFromTarget.Std() }) })
	group.Wait()
	l.close()
}

func (l *relayedConn) close() {
	l.once.Do(func() {
		close(l.done)
		_ = l.client.Close()
		_ = l.target.Close()
	})
}

// forward copies one direction through a queue, so that a delay costs no throughput.
func (l *relayedConn) forward(from, to net.Conn, delay func(Faults) time.Duration) {
	queue := make(chan chunk, maxQueuedChunks)
	var group sync.WaitGroup
	group.Go(func() { l.read(from, queue, delay) })
	group.Go(func() { l.write(to, queue) })
	group.Wait()
}

func (l *relayedConn) read(from net.Conn, queue chan<- chunk, delay func(Faults) time.Duration) {
	for {
		data := make([]byte, chunkBytes)
		n, err := from.Read(data)
		c := chunk{data: data[:n], due: time.Now().Add(delay(l.relay.currentFaults()))}
		if err != nil {
			c.data = nil
		}
		if !l.enqueue(queue, c) || err != nil {
			return
		}
	}
}

func (l *relayedConn) enqueue(queue chan<- chunk, c chunk) bool {
	if !l.waitWhileStalled() {
		return false
	}
	select {
	case queue <- c:
		return true
	case <-l.done:
		return false
	}
}

func (l *relayedConn) write(to net.Conn, queue <-chan chunk) {
	for {
		select {
		case c := <-queue:
			if !l.sleep(time.Until(c.due)) || !l.waitWhileStalled() {
				return
			}
			if c.data == nil {
				if half, ok := to.(*net.TCPConn); ok {
					_ = half.CloseWrite()
				}
				return
			}
			if _, err := to.Write(c.data); err != nil {
				l.close()
				return
			}
		case <-l.done:
			return
		}
	}
}

// waitWhileStalled waits while the link is silenced. It reports false when the link was closed.
func (l *relayedConn) waitWhileStalled() bool {
	for {
		l.relay.mu.Lock()
		silent, changed := l.stalled, l.relay.changed
		l.relay.mu.Unlock()
		if !silent {
			return true
		}
		select {
		case <-changed:
		case <-l.done:
			return false
		}
	}
}

func (l *relayedConn) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.done:
		return false
	}
}

func (r *Relay) currentFaults() Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}
