package medlarrelay

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Relay passes the bytes of one route.
type Relay struct {
	listen string
	target string
	log    zerolog.Logger
	group  sync.WaitGroup

	mu          sync.Mutex
	listener    net.Listener // nil while cut or closed
	connections map[*relayedConn]bool
	faults      Faults
	accepted    int
	closed      bool
	// changed is closed when the faults change, so that silenced links look again.
	changed chan struct{}
}

// dialTimeout bounds the connection to the target.
const dialTimeout = 5 * time.Second

// New starts a relay from the address listen to the address to. Close ends it.
func New(listen, to string, log zerolog.Logger) (*Relay, error) {
	r := &Relay{listen: listen, target: to, connections: map[*relayedConn]bool{}, changed: make(chan struct{})}
	if err := r.startListening(); err != nil {
		return nil, err
	}
	r.log = log.With().Str("listen", r.listen).Str("to", to).Logger()
	r.log.Info().Msg("relaying")
	return r, nil
}

// Address returns the listen address with its port.
func (r *Relay) Address() string { return r.listen }

// SetFaults replaces the faults.
func (r *Relay) SetFaults(f Faults) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return net.ErrClosed
	}
	r.faults = f
	for l := range r.connections {
		l.stalled = f.Stall != StallNone
	}
	close(r.changed)
	r.changed = make(chan struct{})
	r.log.Info().Interface("faults", f).Int("links", len(r.connections)).Msg("faults changed")
	if f.Cut {
		r.closeConnections()
		return nil
	}
	if r.listener == nil {
		return r.startListening()
	}
	return nil
}

// Status returns the state of the relay.
func (r *Relay) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Status{Listen: r.listen, Target: r.target, Faults: r.faults, Open: len(r.connections), Accepted: r.accepted}
	for l := range r.connections {
		if l.stalled {
			s.Stalled++
		}
	}
	return s
}

// Close ends the relay and all its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.closeConnections()
	r.mu.Unlock()
	r.group.Wait()
}

// startListening starts to accept connections. The caller holds the lock, except in New.
func (r *Relay) startListening() error {
	listener, err := net.Listen("tcp", r.listen)
	if err != nil {
		return fmt.Errorf("listen at %s: %w", r.listen, err)
	}
	r.listener, r.listen = listener, listener.Addr().String()
	r.group.Go(func() { r.accept(listener) })
	return nil
}

// closeConnections closes the listener and all links. The caller holds the lock.
func (r *Relay) closeConnections() {
	if r.listener != nil {
		_ = r.listener.Close()
		r.listener = nil
	}
	for l := range r.connections {
		l.close()
	}
}

func (r *Relay) accept(listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		r.group.Go(func() { r.connect(listener, near) })
	}
}

// connect joins an accepted connection with one to the target and passes bytes until both directions end.
func (r *Relay) connect(listener net.Listener, near net.Conn) {
	far, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		r.log.Warn().Err(err).Msg("target not reached")
		_ = near.Close()
		return
	}
	l := &relayedConn{relay: r, client: near, target: far, done: make(chan struct{})}
	r.mu.Lock()
	if r.listener != listener {
		r.mu.Unlock()
		l.close()
		return
	}
	r.accepted++
	l.stalled = r.faults.Stall == StallAll
	r.connections[l] = true
	r.mu.Unlock()
	l.run()
	r.mu.Lock()
	delete(r.connections, l)
	r.mu.Unlock()
}
