package medlarrelay

import (
	"net"
	"sync"
	"time"
)

// link is one relayed connection. The relay's lock guards silent.
type link struct {
	relay  *Relay
	near   net.Conn
	far    net.Conn
	silent bool
	once   sync.Once
	done   chan struct{}
}

// chunk holds bytes that are due at a time. A chunk without bytes is the end of the stream.
type chunk struct {
	data []byte
	due  time.Time
}

const (
	// chunkBytes bounds one read.
	chunkBytes = 32 << 10
	// queuedChunks bounds the delayed bytes of one direction to 8 MiB.
	queuedChunks = 256
)

// run passes bytes both ways until both directions have ended or the link was closed.
func (l *link) run() {
	var group sync.WaitGroup
	group.Go(func() { l.pass(l.near, l.far, func(f Faults) time.Duration { return f.DelayTo.Std() }) })
	group.Go(func() { l.pass(l.far, l.near, func(f Faults) time.Duration { return f.DelayFrom.Std() }) })
	group.Wait()
	l.close()
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.done)
		_ = l.near.Close()
		_ = l.far.Close()
	})
}

// pass copies one direction through a queue, so that a delay costs no throughput.
func (l *link) pass(from, to net.Conn, delay func(Faults) time.Duration) {
	queue := make(chan chunk, queuedChunks)
	var group sync.WaitGroup
	group.Go(func() { l.read(from, queue, delay) })
	group.Go(func() { l.write(to, queue) })
	group.Wait()
}

func (l *link) read(from net.Conn, queue chan<- chunk, delay func(Faults) time.Duration) {
	for {
		data := make([]byte, chunkBytes)
		n, err := from.Read(data)
		c := chunk{data: data[:n], due: time.Now().Add(delay(l.relay.present()))}
		if err != nil {
			c.data = nil
		}
		if !l.enqueue(queue, c) || err != nil {
			return
		}
	}
}

func (l *link) enqueue(queue chan<- chunk, c chunk) bool {
	if !l.speaking() {
		return false
	}
	select {
	case queue <- c:
		return true
	case <-l.done:
		return false
	}
}

func (l *link) write(to net.Conn, queue <-chan chunk) {
	for {
		select {
		case c := <-queue:
			if !l.sleep(time.Until(c.due)) || !l.speaking() {
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

// speaking waits while the link is silenced. It reports false when the link was closed.
func (l *link) speaking() bool {
	for {
		l.relay.mu.Lock()
		silent, changed := l.silent, l.relay.changed
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

func (l *link) sleep(d time.Duration) bool {
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

func (r *Relay) present() Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}
