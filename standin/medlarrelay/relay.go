package medlarrelay

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Relay forwards the connections of one route, from a listen address to a target.
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
	// changed is closed and replaced when the faults change, to wake stalled connections.
	changed chan struct{}
}

// dialTimeout limits the time to connect to the target.
const dialTimeout = 5 * time.Second

// New starts a relay from the address listen to the address target. Close stops it.
func New(listen, target string, log zerolog.Logger) (*Relay, error) {
	r := &Relay{listen: listen, target: target, connections: map[*relayedConn]bool{}, changed: make(chan struct{})}
	if err := r.startListening(); err != nil {
		return nil, err
	}
	r.log = log.With().Str("listen", r.listen).Str("to", target).Logger()
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
	for conn := range r.connections {
		conn.stalled = f.Stall != StallNone
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
	for conn := range r.connections {
		if conn.stalled {
			s.Stalled++
		}
	}
	return s
}

// Close stops the relay and closes all its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.closeConnections()
	r.mu.Unlock()
	r.group.Wait()
}

// startListening opens the listener and accepts connections. The caller holds the lock, except in New.
func (r *Relay) startListening() error {
	listener, err := net.Listen("tcp", r.listen)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", r.listen, err)
	}
	r.listener, r.listen = listener, listener.Addr().String()
	r.group.Go(func() { r.accept(listener) })
	return nil
}

// closeConnections closes the listener and all connections. The caller holds the lock.
func (r *Relay) closeConnections() {
	if r.listener != nil {
		_ = r.listener.Close()
		r.listener = nil
	}
	for conn := range r.connections {
		conn.close()
	}
}

func (r *Relay) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		r.group.Go(func() { r.connect(listener, client) })
	}
}

// connect opens a connection to the target and forwards bytes between the two until both directions end.
func (r *Relay) connect(listener net.Listener, client net.Conn) {
	target, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		r.log.Warn().Err(err).Msg("cannot connect to the target; closing the client connection")
		_ = client.Close()
		return
	}
	conn := &relayedConn{relay: r, client: client, target: target, done: make(chan struct{})}
	r.mu.Lock()
	if r.listener != listener {
		r.mu.Unlock()
		conn.close()
		return
	}
	r.accepted++
	conn.stalled = r.faults.Stall == StallAll
	r.connections[conn] = true
	r.mu.Unlock()
	conn.run()
	r.mu.Lock()
	delete(r.connections, conn)
	r.mu.Unlock()
}
