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
	to     string
	log    zerolog.Logger
	group  sync.WaitGroup

	mu       sync.Mutex
	listener net.Listener // nil while cut or closed
	links    map[*link]bool
	faults   Faults
	accepted int
	closed   bool
	// changed is closed when the faults change, so that silenced links look again.
	changed chan struct{}
}

// dialTimeout bounds the connection to the target.
const dialTimeout = 5 * time.Second

// New starts a relay from the address listen to the address to. Close ends it.
func New(listen, to string, log zerolog.Logger) (*Relay, error) {
	r := &Relay{listen: listen, to: to, links: map[*link]bool{}, changed: make(chan struct{})}
	if err := r.open(); err != nil {
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
	for l := range r.links {
		l.silent = f.Silence != SilenceNone
	}
	close(r.changed)
	r.changed = make(chan struct{})
	r.log.Info().Interface("faults", f).Int("links", len(r.links)).Msg("faults changed")
	if f.Cut {
		r.cut()
		return nil
	}
	if r.listener == nil {
		return r.open()
	}
	return nil
}

// Status returns the state of the relay.
func (r *Relay) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Status{Listen: r.listen, To: r.to, Faults: r.faults, Open: len(r.links), Accepted: r.accepted}
	for l := range r.links {
		if l.silent {
			s.Silenced++
		}
	}
	return s
}

// Close ends the relay and all its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.cut()
	r.mu.Unlock()
	r.group.Wait()
}

// open starts to accept connections. The caller holds the lock, except in New.
func (r *Relay) open() error {
	listener, err := net.Listen("tcp", r.listen)
	if err != nil {
		return fmt.Errorf("listen at %s: %w", r.listen, err)
	}
	r.listener, r.listen = listener, listener.Addr().String()
	r.group.Go(func() { r.accept(listener) })
	return nil
}

// cut closes the listener and all links. The caller holds the lock.
func (r *Relay) cut() {
	if r.listener != nil {
		_ = r.listener.Close()
		r.listener = nil
	}
	for l := range r.links {
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
	far, err := net.DialTimeout("tcp", r.to, dialTimeout)
	if err != nil {
		r.log.Warn().Err(err).Msg("target not reached")
		_ = near.Close()
		return
	}
	l := &link{relay: r, near: near, far: far, done: make(chan struct{})}
	r.mu.Lock()
	if r.listener != listener {
		r.mu.Unlock()
		l.close()
		return
	}
	r.accepted++
	l.silent = r.faults.Silence == SilenceAll
	r.links[l] = true
	r.mu.Unlock()
	l.run()
	r.mu.Lock()
	delete(r.links, l)
	r.mu.Unlock()
}
